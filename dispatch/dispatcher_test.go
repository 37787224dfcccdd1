package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const inDoubtTimeout = 1200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness steps a Dispatcher with a simulated time and keeps the effects of the
// last step.
type harness struct {
	*GomegaWithT
	d    *dispatch.Dispatcher
	now  time.Time
	last []dispatch.Effect
	call dispatch.CallID
	seq  uint64
	dispatch.Callers
}

func newHarness(t *testing.T) *harness {
	h := &harness{GomegaWithT: NewWithT(t), now: start}
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	return h
}

// step applies an event, replies to CheckCallers and ProbeCallers, and checks the deadlines that the dispatcher has
// indexed.
func (h *harness) step(ev dispatch.Event) {
	h.last = h.d.StepChecked(h.now, ev, h.Callers)
	open, earliest := h.d.ScannedDeadlines()
	if indexed, by := h.d.IndexedDeadlines(); indexed != open || !by.Equal(earliest) {
		h.Expect([]any{indexed, by}).To(Equal([]any{open, earliest}), "open jobs and earliest deadline indexed after %T", ev)
	}
}

func effects[T dispatch.Effect](h *harness) []T {
	var list []T
	for _, ef := range h.last {
		if v, ok := ef.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

// serverState is the part of an agent's state that the tests vary.
type serverState struct {
	capacity, free, slowness int
	running                  []session.RunningTask
	queue                    []session.QueuedTask
}

func (h *harness) state(s serverState) session.State {
	h.seq++
	return session.State{
		Seq: h.seq, Identity: &session.Identity{Service: "booking", Capacity: s.capacity}, Ready: true, FreeCPU: s.free, FreeMem: 1 << 20,
		Slowness: s.slowness, Samples: 100, Running: s.running, Queue: s.queue,
	}
}

func (h *harness) agent(id dispatch.SessionID, s serverState) {
	h.step(dispatch.SessionOpened{ID: id, Agent: fmt.Sprintf("agent-%d", id), Zone: "zone-a", State: h.state(s)})
}

func queue() routing.Queue {
	return routing.Queue{Name: "holds", Service: "booking", Attempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
}

func (h *harness) submit(name string, tasks, cpu int, estimate time.Duration) dispatch.CallID {
	h.call++
	h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
		Name: name, Queue: queue(), Tasks: tasks, CPU: cpu, MemMB: 1, Estimate: estimate, Timeout: 3 * time.Second,
	}})
	return h.call
}

// placed returns how many tasks the last step sent to each agent, and the ids of
// their placements.
func (h *harness) placed() (map[dispatch.SessionID]int, []uint64) {
	counts := make(map[dispatch.SessionID]int)
	var ids []uint64
	for _, o := range effects[dispatch.Order](h) {
		for _, p := range o.Start {
			counts[o.ID] += len(p.Tasks)
			for _, t := range p.Tasks {
				ids = append(ids, t.ID)
			}
		}
	}
	return counts, ids
}

func (h *harness) stopped() []uint64 {
	var ids []uint64
	for _, o := range effects[dispatch.Order](h) {
		ids = append(ids, o.Stop...)
	}
	return ids
}

func (h *harness) report(agent dispatch.SessionID, s serverState, id uint64, o session.Outcome) {
	h.step(dispatch.PollReplied{ID: agent, Reply: session.PollReply{
		Reports: []session.Report{{ID: id, Outcome: o}}, State: h.state(s),
	}})
}

// poll delivers a poll reply without reports.
func (h *harness) poll(agent dispatch.SessionID, s serverState) {
	h.step(dispatch.PollReplied{ID: agent, Reply: session.PollReply{State: h.state(s)}})
}

var idle = serverState{capacity: 20_000, free: 20_000, slowness: 1000}

// Guards against queues at fast servers while slow ones that would meet the
// objective are idle, as seen under heavy load.
func TestShortTasksUseIdleSlowServersThatMeetObjective(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 6_000, slowness: 600, running: []session.RunningTask{{CPU: 14_000, Ms: 40}}})
	h.agent(2, serverState{capacity: 20_000, free: 20_000, slowness: 1600})
	h.submit("hold", 3, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 3}))
}

// Some tasks need most of their objective to run: on a slow server they are late
// even if it is idle.
func TestLongTasksUseFastServerThatMeetsObjective(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 6_000, slowness: 600, running: []session.RunningTask{{CPU: 14_000, Ms: 40}}})
	h.agent(2, serverState{capacity: 20_000, free: 20_000, slowness: 1700})
	h.submit("party", 1, 6000, 900*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 1}))
}

// A large job is spread, so that its tasks do not queue behind each other.
func TestJobIsSpreadOverEqualServers(t *testing.T) {
	h := newHarness(t)
	for id := range dispatch.SessionID(4) {
		h.agent(id+1, idle)
	}
	h.submit("burst", 8, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 2, 2: 2, 3: 2, 4: 2}))
}

// Tasks sent to an agent count as load before the agent's state includes them.
func TestUnacknowledgedOrdersReduceFreeCapacity(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 20_000, slowness: 1000})
	h.agent(2, serverState{capacity: 20_000, free: 18_000, slowness: 1000})
	h.submit("a", 1, 6000, 60*time.Millisecond)
	h.submit("b", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

func TestJobThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2500}}})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">=", 2400*time.Millisecond), "the server has no free capacity before")
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
}

func TestJobWithoutAgentsIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Code", structs.CodeUnavailable)))
}

// Estimates are inexact: an admitted job continues as long as its caller waits,
// even past latestUsefulEnd, which is the limit only for admission.
func TestAdmittedJobContinuesAfterUsefulTime(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := h.placed()
	h.wait(2*time.Second, func() { h.Expect(h.stopped()).To(BeEmpty()) })
	h.report(1, idle, ids[0], session.Done)
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Completed)))
}

// The answer of an abandoned job waits for the agent's report, because only the
// report shows whether a task has started.
func TestAbandonedJobIsNotRunOnlyIfNoTaskStarted(t *testing.T) {
	for outcome, want := range map[session.Outcome]structs.Verdict{
		session.NotStarted: structs.NotRun,
		session.Stopped:    structs.MayHaveRun,
		session.Done:       structs.MayHaveRun,
	} {
		h := newHarness(t)
		h.agent(1, idle)
		h.submit("hold", 1, 6000, 60*time.Millisecond)
		_, ids := h.placed()
		h.now = h.now.Add(3 * time.Second)
		h.step(dispatch.Ticked{})
		h.Expect(h.stopped()).To(Equal(ids))
		h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
		h.report(1, idle, ids[0], outcome)
		h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", want)), outcome.String())
	}
}

func TestAbandonedJobWithoutReportMayHaveRun(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	h.now = h.now.Add(3 * time.Second)
	h.step(dispatch.Ticked{})
	h.now = h.now.Add(100 * time.Millisecond)
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
}

func TestDuplicateSubmissionJoinsOpenJob(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := h.placed()
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
	h.report(1, idle, ids[0], session.Done)
	h.Expect(effects[dispatch.Answered](h)).To(HaveLen(2))
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Completed)), "a duplicate after the answer gets the same answer")
}

func TestDuplicateWaitsUntilTasksOfClosedJobHaveEnded(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := h.placed()
	h.step(dispatch.CallClosed{Call: call})
	h.Expect(h.stopped()).To(Equal(ids))
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(BeEmpty(), "the first placement may still be running")
	h.report(1, idle, ids[0], session.Stopped)
	counts, _ = h.placed()
	h.Expect(counts).To(HaveLen(1))
}

func TestFailedTaskIsRetriedOnOtherAgentUpToQueueAttempts(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 20_000, slowness: 1000})
	h.agent(2, serverState{capacity: 20_000, free: 10_000, slowness: 1000})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := h.placed()
	h.report(1, idle, ids[0], session.Failed)
	counts, ids := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
	h.report(2, idle, ids[0], session.Failed)
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Failed)))
}

func TestTaskOfLostAgentIsReassignedAfterInDoubtTimeout(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 20_000, slowness: 500})
	h.agent(2, serverState{capacity: 20_000, free: 10_000, slowness: 500})
	h.submit("party", 1, 6000, 900*time.Millisecond)
	lastHeard := h.now
	h.now = h.now.Add(300 * time.Millisecond)
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: lastHeard, Reason: "test"})
	counts, _ := h.placed()
	h.Expect(counts).To(BeEmpty())
	until := lastHeard.Add(inDoubtTimeout)
	for wake := h.d.NextWake(); wake.Before(until); wake = h.d.NextWake() { // its caller is probed meanwhile
		h.Expect(wake).To(BeTemporally(">", h.now))
		h.now = wake
		h.step(dispatch.Ticked{})
		h.expectNoStart()
	}
	h.Expect(h.d.NextWake()).To(Equal(until))
	h.now = until
	h.poll(2, serverState{capacity: 20_000, free: 10_000, slowness: 500}) // keeps the agent's state recent
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

func TestTaskOfLostAgentIsReassignedWhenAgentReconnects(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 20_000, free: 20_000, slowness: 500})
	h.submit("party", 1, 6000, 900*time.Millisecond)
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: h.now, Reason: "test"})
	h.step(dispatch.SessionOpened{ID: 9, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{9: 1}))
}

// A job submitted during a graceful shutdown must end before it, or be refused.
func TestLeavingEntryAdmitsOnlyJobsThatEndInTime(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.step(dispatch.LeaveRequested{Until: h.now.Add(500 * time.Millisecond)})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(HaveLen(1))
	h.submit("party", 1, 6000, 900*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(HaveLen(1))
}

func TestFailingServerIsAvoidedWhileOthersAreAvailable(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, serverState{capacity: 20_000, free: 10_000, slowness: 1000})
	st := h.state(idle)
	st.Failing = 700
	h.step(dispatch.PollReplied{ID: 1, Reply: session.PollReply{State: st}})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

// Servers can become slow, or stall, while they run tasks.
func TestStragglerIsMovedIfItMissesObjective(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, serverState{capacity: 20_000, free: 10_000, slowness: 1000})
	h.submit("hold", 1, 6000, 200*time.Millisecond)
	_, ids := h.placed()
	reportStraggler := func(ms int) {
		st := h.state(idle)
		st.Laggards = []session.Straggler{{ID: ids[0], Ms: ms}}
		h.step(dispatch.PollReplied{ID: 1, Reply: session.PollReply{State: st}})
	}
	reportStraggler(250)
	h.Expect(h.stopped()).To(BeEmpty(), "it is still expected to meet the objective")
	h.now = h.now.Add(150 * time.Millisecond)
	reportStraggler(900)
	h.Expect(h.stopped()).To(Equal(ids))
	h.report(1, idle, ids[0], session.Stopped)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

// After a power failure, callers reach an entry some tens of ms before its
// sessions are open. Their jobs were refused although all servers were idle.
func TestJobsAfterEntryStartAreHeldUntilAgentsJoin(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, Started: start})
	h.submit("hold", 2, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
	h.now = h.now.Add(40 * time.Millisecond)
	h.agent(1, idle)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 2}))
}

func TestHeldJobIsRefusedIfNoAgentJoins(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, Started: start})
	call := h.submit("hold", 2, 6000, 60*time.Millisecond)
	h.Expect(h.d.NextWake()).To(Equal(start.Add(300 * time.Millisecond)))
	h.now = h.now.Add(300 * time.Millisecond)
	h.step(dispatch.Ticked{})
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Call).To(Equal(call))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.submit("later", 2, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(HaveLen(1))
}

func TestHeldJobIsDroppedWhenCallerDisconnects(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, Started: start})
	call := h.submit("hold", 2, 6000, 60*time.Millisecond)
	h.step(dispatch.CallClosed{Call: call})
	h.agent(1, idle)
	counts, _ := h.placed()
	h.Expect(counts).To(BeEmpty())
	h.Expect(h.d.OpenJobs()).To(BeZero())
}

// Guards against placing a task again on the agent that refused it. Under heavy
// load, a full agent got the same task seven times within a millisecond, and the
// whole job was abandoned.
func TestTaskRefusedByAgentIsPlacedOnAnother(t *testing.T) {
	h := newHarness(t)
	reportedFree := serverState{capacity: 20_000, free: 20_000, slowness: 1000}
	h.agent(1, reportedFree)
	h.agent(2, serverState{capacity: 20_000, free: 8_000, slowness: 1000})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, ids := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 1}))
	h.report(1, reportedFree, ids[0], session.NotStarted)
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

// Guards against starving jobs that miss their objective. Under heavy load, their
// tasks were ordered with the caller's deadline, seconds later, as the limit, and
// newer tasks overtook them until then.
func TestTaskThatMissesObjectiveMustEndWithinUsefulTime(t *testing.T) {
	h := newHarness(t)
	busy := serverState{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 200}}}
	h.agent(1, busy)
	h.submit("hold", 1, 6000, 60*time.Millisecond) // objective 156 ms, useful until 468 ms
	orders := effects[dispatch.Order](h)
	h.Expect(orders).To(HaveLen(1))
	within := orders[0].Start[0].StartWithin
	h.Expect(within).To(And(BeNumerically(">", 300*time.Millisecond), BeNumerically("<=", 408*time.Millisecond)))
}

// Guards against unbounded queues. Under heavy load, new jobs were admitted while
// tasks of earlier ones were queued for seconds, and then failed because their
// callers had disconnected.
func TestJobIsRefusedWhileBacklogIsTooLong(t *testing.T) {
	h := newHarness(t)
	waiting := make([]session.QueuedTask, 8)
	for i := range waiting {
		waiting[i] = session.QueuedTask{CPU: 20_000, Ms: 100, StartWithin: 2000} // late ones that a new task would overtake
	}
	s := serverState{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 20}}, queue: waiting}
	h.agent(1, s)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Code).To(Equal(structs.CodeOverloaded))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">=", time.Second))

	s.queue = waiting[:2]
	h.poll(1, s)
	h.submit("again", 1, 6000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
}

// An entry that is suspended for over a second loses all sessions at once. Its
// open jobs, and those submitted just after, wait until sessions are open again.
func TestSuspendedEntryHoldsJobsUntilSessionsReopen(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	h.submit("before", 1, 6000, 60*time.Millisecond)
	lastHeard := h.now
	h.now = h.now.Add(1200 * time.Millisecond)
	h.submit("after", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(BeEmpty(), "the states of its agents are too old")
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: lastHeard, Reason: "test"})
	h.step(dispatch.SessionEnded{ID: 2, LastHeard: lastHeard, Reason: "test"})
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
	h.now = h.now.Add(40 * time.Millisecond)
	h.agent(3, idle)
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{3: 2}))
}

func TestAgentWithStaleStateGetsNoTasks(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, serverState{capacity: 20_000, free: 8_000, slowness: 1000})
	h.now = h.now.Add(460 * time.Millisecond)
	h.poll(2, serverState{capacity: 20_000, free: 8_000, slowness: 1000})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

// Guards against states that count as fresh because the entry has read them late: tasks were
// placed on agents that could not start them in time.
func TestAgeOfStateIsThatOfItsMessage(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, serverState{capacity: 20_000, free: 8_000, slowness: 1000})
	h.now = h.now.Add(2 * time.Second)
	h.step(dispatch.PollReplied{ID: 1, Reply: session.PollReply{State: h.state(idle)}, AsOf: h.now.Add(-460 * time.Millisecond)})
	h.step(dispatch.OrderReplied{ID: 2, State: h.state(serverState{capacity: 20_000, free: 8_000, slowness: 1000}), AsOf: h.now.Add(-100 * time.Millisecond)})
	h.submit("job", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))

	h.now = h.now.Add(360 * time.Millisecond)
	h.step(dispatch.SessionOpened{ID: 3, Agent: "agent-3", Zone: "zone-a", State: h.state(idle), AsOf: h.now.Add(-time.Second)})
	ages := make(map[string]int64)
	for _, a := range h.d.Dump(h.now).Agents {
		ages[a.Name] = a.AgeMs
	}
	h.Expect(ages).To(HaveKeyWithValue("agent-2", int64(460)))
	h.Expect(ages).To(HaveKeyWithValue("agent-3", int64(1000)))
}

// Guards against holding jobs without limit. After a restart of the whole system,
// more jobs arrived than the first agents had capacity for, and they were held as
// long as agents reported.
func TestHeldJobThatDoesNotFitIsRefusedAfterHoldTimeout(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, Started: start})
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	full := serverState{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2000}}}
	h.now = h.now.Add(40 * time.Millisecond)
	h.agent(1, full)
	refused := 0
	for h.now.Before(start.Add(320 * time.Millisecond)) {
		h.now = h.now.Add(20 * time.Millisecond)
		h.poll(1, full)
		refused += len(effects[dispatch.Refused](h))
	}
	h.Expect(refused).To(Equal(1))
	h.Expect(h.d.OpenJobs()).To(BeZero())
}
