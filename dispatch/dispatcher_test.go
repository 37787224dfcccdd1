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

const doubtTime = 1200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench steps a dispatcher.
type bench struct {
	*GomegaWithT
	d    *dispatch.Dispatcher
	now  time.Time
	last []dispatch.Effect
	call dispatch.CallID
	seq  uint64
}

func newBench(t *testing.T) *bench {
	b := &bench{GomegaWithT: NewWithT(t), now: start}
	b.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: doubtTime, AnswerRetention: dispatch.DefaultAnswerRetention})
	return b
}

func (b *bench) step(ev dispatch.Event) { b.last = b.d.Step(b.now, ev) }

func effects[T dispatch.Effect](b *bench) []T {
	var list []T
	for _, ef := range b.last {
		if v, ok := ef.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

// server is what an agent tells of its server.
type server struct {
	capacity, free, slowness int
	running                  []session.RunningTask
	queue                    []session.QueuedTask
}

func (b *bench) state(s server) session.State {
	b.seq++
	return session.State{
		Seq: b.seq, Identity: &session.Identity{Service: "booking", Capacity: s.capacity}, Ready: true, FreeCPU: s.free, FreeMem: 1 << 20,
		Slowness: s.slowness, Samples: 100, Running: s.running, Queue: s.queue,
	}
}

func (b *bench) agent(id dispatch.AgentID, s server) {
	b.step(dispatch.AgentUp{ID: id, Agent: fmt.Sprintf("agent-%d", id), Zone: "zone-a", State: b.state(s)})
}

func queue() routing.Queue {
	return routing.Queue{Name: "holds", Service: "booking", Attempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
}

func (b *bench) submit(name string, tasks, cpu int, estimate time.Duration) dispatch.CallID {
	b.call++
	b.step(dispatch.SubmitCalled{Call: b.call, Job: dispatch.Job{
		Name: name, Queue: queue(), Tasks: tasks, CPU: cpu, MemMB: 1, Estimate: estimate, Timeout: 3 * time.Second,
	}})
	return b.call
}

// placed returns how many tasks the last step sent to each agent, and their
// placements.
func (b *bench) placed() (map[dispatch.AgentID]int, []uint64) {
	counts := make(map[dispatch.AgentID]int)
	var ids []uint64
	for _, o := range effects[dispatch.Order](b) {
		for _, p := range o.Start {
			counts[o.ID] += len(p.Tasks)
			for _, t := range p.Tasks {
				ids = append(ids, t.ID)
			}
		}
	}
	return counts, ids
}

func (b *bench) stopped() []uint64 {
	var ids []uint64
	for _, o := range effects[dispatch.Order](b) {
		ids = append(ids, o.Stop...)
	}
	return ids
}

func (b *bench) report(agent dispatch.AgentID, s server, id uint64, o session.Outcome) {
	b.step(dispatch.Polled{ID: agent, Reply: session.PollReply{
		Reports: []session.Report{{ID: id, Outcome: o}}, State: b.state(s),
	}})
}

// poll answers a poll without reports.
func (b *bench) poll(agent dispatch.AgentID, s server) {
	b.step(dispatch.Polled{ID: agent, Reply: session.PollReply{State: b.state(s)}})
}

var idle = server{capacity: 20_000, free: 20_000, slowness: 1000}

// Heavy mornings: fast servers had queues while slow ones, which would have
// been in time, stood idle.
func TestShortTasksGoToIdleSlowServersThatMakeIt(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 6_000, slowness: 600, running: []session.RunningTask{{CPU: 14_000, Ms: 40}}})
	b.agent(2, server{capacity: 20_000, free: 20_000, slowness: 1600})
	b.submit("hold", 3, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 3}))
}

// Confirmations run for most of their objective: on a slow server they are late
// though it is idle.
func TestLongTasksGoToTheServerThatMakesIt(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 6_000, slowness: 600, running: []session.RunningTask{{CPU: 14_000, Ms: 40}}})
	b.agent(2, server{capacity: 20_000, free: 20_000, slowness: 1700})
	b.submit("party", 1, 6000, 900*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{1: 1}))
}

// A burst of large jobs: each is spread, so that none waits behind itself.
func TestJobIsSpreadOverEqualServers(t *testing.T) {
	b := newBench(t)
	for id := range dispatch.AgentID(4) {
		b.agent(id+1, idle)
	}
	b.submit("burst", 8, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{1: 2, 2: 2, 3: 2, 4: 2}))
}

// What is under way to an agent counts before the agent tells of it.
func TestOrdersUnderWayTakeRoom(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 20_000, slowness: 1000})
	b.agent(2, server{capacity: 20_000, free: 18_000, slowness: 1000})
	b.submit("a", 1, 6000, 60*time.Millisecond)
	b.submit("b", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

func TestJobThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2500}}})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	refused := effects[dispatch.Refused](b)
	b.Expect(refused).To(HaveLen(1))
	b.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	b.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">=", 2400*time.Millisecond), "there is no room before")
	b.Expect(effects[dispatch.Order](b)).To(BeEmpty())
}

func TestNoAgentIsRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Refused](b)).To(ConsistOf(HaveField("Error.Code", structs.CodeUnavailable)))
}

// Estimates are off: a job that was taken is carried through as long as its
// caller waits, also beyond the time after which it would not be taken.
func TestTakenJobIsCarriedThrough(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := b.placed()
	b.now = b.now.Add(2 * time.Second)
	b.step(dispatch.Ticked{})
	b.Expect(b.stopped()).To(BeEmpty())
	b.report(1, idle, ids[0], session.Done)
	b.Expect(effects[dispatch.Answered](b)).To(ConsistOf(HaveField("Status", dispatch.Completed)))
}

// "Not run" waits for the agents' word, for a short time.
func TestGiveUpSaysNotRunOnlyIfNoTaskStarted(t *testing.T) {
	for outcome, want := range map[session.Outcome]structs.Verdict{
		session.NotStarted: structs.NotRun,
		session.Stopped:    structs.MayHaveRun,
		session.Done:       structs.MayHaveRun,
	} {
		b := newBench(t)
		b.agent(1, idle)
		b.submit("hold", 1, 6000, 60*time.Millisecond)
		_, ids := b.placed()
		b.now = b.now.Add(3 * time.Second)
		b.step(dispatch.Ticked{})
		b.Expect(b.stopped()).To(Equal(ids))
		b.Expect(effects[dispatch.Refused](b)).To(BeEmpty())
		b.report(1, idle, ids[0], outcome)
		b.Expect(effects[dispatch.Refused](b)).To(ConsistOf(HaveField("Error.Verdict", want)), outcome.String())
	}
}

func TestGiveUpWithoutWordMayHaveRun(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	b.now = b.now.Add(3 * time.Second)
	b.step(dispatch.Ticked{})
	b.now = b.now.Add(100 * time.Millisecond)
	b.step(dispatch.Ticked{})
	b.Expect(effects[dispatch.Refused](b)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
}

func TestCopyJoinsTheJobUnderWay(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := b.placed()
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Order](b)).To(BeEmpty())
	b.report(1, idle, ids[0], session.Done)
	b.Expect(effects[dispatch.Answered](b)).To(HaveLen(2))
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Answered](b)).To(ConsistOf(HaveField("Status", dispatch.Completed)), "a late copy gets the answer again")
}

func TestCopyWaitsWhileTheAbandonedJobIsStopped(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	call := b.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := b.placed()
	b.step(dispatch.CallClosed{Call: call})
	b.Expect(b.stopped()).To(Equal(ids))
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(BeEmpty(), "the first run may still be at work")
	b.report(1, idle, ids[0], session.Stopped)
	counts, _ = b.placed()
	b.Expect(counts).To(HaveLen(1))
}

func TestFailedTaskIsRunAgainElsewhereUntilItsAttemptsAreUsed(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 20_000, slowness: 1000})
	b.agent(2, server{capacity: 20_000, free: 10_000, slowness: 1000})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := b.placed()
	b.report(1, idle, ids[0], session.Failed)
	counts, ids := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
	b.report(2, idle, ids[0], session.Failed)
	b.Expect(effects[dispatch.Answered](b)).To(ConsistOf(HaveField("Status", dispatch.Failed)))
}

func TestTaskOfALostAgentMovesOnlyWhenItMustHaveEnded(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 20_000, slowness: 500})
	b.agent(2, server{capacity: 20_000, free: 10_000, slowness: 500})
	b.submit("party", 1, 6000, 900*time.Millisecond)
	word := b.now
	b.now = b.now.Add(300 * time.Millisecond)
	b.step(dispatch.AgentDown{ID: 1, LastHeard: word, Reason: "test"})
	counts, _ := b.placed()
	b.Expect(counts).To(BeEmpty())
	b.Expect(b.d.NextWake()).To(Equal(word.Add(doubtTime)))
	b.now = word.Add(doubtTime)
	b.poll(2, server{capacity: 20_000, free: 10_000, slowness: 500}) // it is still heard
	counts, _ = b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

func TestTaskOfALostAgentMovesAtOnceWhenTheAgentIsBack(t *testing.T) {
	b := newBench(t)
	b.agent(1, server{capacity: 20_000, free: 20_000, slowness: 500})
	b.submit("party", 1, 6000, 900*time.Millisecond)
	b.step(dispatch.AgentDown{ID: 1, LastHeard: b.now, Reason: "test"})
	b.step(dispatch.AgentUp{ID: 9, Agent: "agent-1", Zone: "zone-a", State: b.state(idle)})
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{9: 1}))
}

// A job sent to an entry that stops must end before it does, or be refused.
func TestLeavingEntryTakesOnlyWhatEndsInTime(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.step(dispatch.LeaveRequested{Until: b.now.Add(500 * time.Millisecond)})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(HaveLen(1))
	b.submit("party", 1, 6000, 900*time.Millisecond)
	b.Expect(effects[dispatch.Refused](b)).To(HaveLen(1))
}

func TestFailingServerIsLeftOutWhileOthersAreThere(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.agent(2, server{capacity: 20_000, free: 10_000, slowness: 1000})
	st := b.state(idle)
	st.Failing = 700
	b.step(dispatch.Polled{ID: 1, Reply: session.PollReply{State: st}})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

// Servers turn slow while tasks run there; some stand still.
func TestLaggardMovesIfItGains(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.agent(2, server{capacity: 20_000, free: 10_000, slowness: 1000})
	b.submit("hold", 1, 6000, 200*time.Millisecond)
	_, ids := b.placed()
	lag := func(ms int) {
		st := b.state(idle)
		st.Laggards = []session.Straggler{{ID: ids[0], Ms: ms}}
		b.step(dispatch.Polled{ID: 1, Reply: session.PollReply{State: st}})
	}
	lag(250)
	b.Expect(b.stopped()).To(BeEmpty(), "it is still in time")
	b.now = b.now.Add(150 * time.Millisecond)
	lag(900)
	b.Expect(b.stopped()).To(Equal(ids))
	b.report(1, idle, ids[0], session.Stopped)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

// Mornings after a loss of power: callers reach an entry some tens of ms before
// its sessions are open, and were refused though all servers were free.
func TestJobsOfTheFirstMomentsAreHeldUntilAgentsAreThere(t *testing.T) {
	b := newBench(t)
	b.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: doubtTime, Started: start})
	b.submit("hold", 2, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Refused](b)).To(BeEmpty())
	b.now = b.now.Add(40 * time.Millisecond)
	b.agent(1, idle)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{1: 2}))
}

func TestHeldJobIsRefusedWhenNoAgentComes(t *testing.T) {
	b := newBench(t)
	b.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: doubtTime, Started: start})
	call := b.submit("hold", 2, 6000, 60*time.Millisecond)
	b.Expect(b.d.NextWake()).To(Equal(start.Add(300 * time.Millisecond)))
	b.now = b.now.Add(300 * time.Millisecond)
	b.step(dispatch.Ticked{})
	refused := effects[dispatch.Refused](b)
	b.Expect(refused).To(HaveLen(1))
	b.Expect(refused[0].Call).To(Equal(call))
	b.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	b.submit("later", 2, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Refused](b)).To(HaveLen(1))
}

func TestHeldJobOfACallerThatLeavesIsForgotten(t *testing.T) {
	b := newBench(t)
	b.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: doubtTime, Started: start})
	call := b.submit("hold", 2, 6000, 60*time.Millisecond)
	b.step(dispatch.CallClosed{Call: call})
	b.agent(1, idle)
	counts, _ := b.placed()
	b.Expect(counts).To(BeEmpty())
	b.Expect(b.d.OpenJobs()).To(BeZero())
}

// Heavy mornings: an agent that had filled up refused a task, got it again at
// once, seven times within a millisecond, and the whole job was given up.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	b := newBench(t)
	roomy := server{capacity: 20_000, free: 20_000, slowness: 1000}
	b.agent(1, roomy)
	b.agent(2, server{capacity: 20_000, free: 8_000, slowness: 1000})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, ids := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{1: 1}))
	b.report(1, roomy, ids[0], session.NotStarted)
	counts, _ = b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

// Heavy mornings: jobs that missed their objective were ordered to start before
// their caller goes, seconds later, and newer ones passed them until then.
func TestLateTaskIsOrderedToEndWhileItsAnswerIsWorthSomething(t *testing.T) {
	b := newBench(t)
	busy := server{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 200}}}
	b.agent(1, busy)
	b.submit("hold", 1, 6000, 60*time.Millisecond) // objective 156 ms, worth something until 468 ms
	orders := effects[dispatch.Order](b)
	b.Expect(orders).To(HaveLen(1))
	within := orders[0].Start[0].StartWithin
	b.Expect(within).To(And(BeNumerically(">", 300*time.Millisecond), BeNumerically("<=", 408*time.Millisecond)))
}

// Heavy mornings: new jobs were taken while the tasks of earlier ones waited for
// seconds, and then failed with their callers gone.
func TestNothingIsTakenWhileWhatWaitsTakesTooLong(t *testing.T) {
	b := newBench(t)
	waiting := make([]session.QueuedTask, 8)
	for i := range waiting {
		waiting[i] = session.QueuedTask{CPU: 20_000, Ms: 100, StartWithin: 2000} // late ones, that a new task would pass
	}
	s := server{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 20}}, queue: waiting}
	b.agent(1, s)
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	refused := effects[dispatch.Refused](b)
	b.Expect(refused).To(HaveLen(1))
	b.Expect(refused[0].Error.Code).To(Equal(structs.CodeOverloaded))
	b.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	b.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">=", time.Second))

	s.queue = waiting[:2]
	b.poll(1, s)
	b.submit("again", 1, 6000, 60*time.Millisecond)
	b.Expect(effects[dispatch.Refused](b)).To(BeEmpty())
}

// An entry that is suspended for over a second loses all sessions at once. What
// it held, and what comes in the first moments after, waits for them to be back.
func TestSuspendedEntryHoldsItsJobsUntilSessionsAreBack(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.agent(2, idle)
	b.submit("before", 1, 6000, 60*time.Millisecond)
	word := b.now
	b.now = b.now.Add(1200 * time.Millisecond)
	b.submit("after", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(BeEmpty(), "its sessions are too old to be used")
	b.step(dispatch.AgentDown{ID: 1, LastHeard: word, Reason: "test"})
	b.step(dispatch.AgentDown{ID: 2, LastHeard: word, Reason: "test"})
	b.Expect(effects[dispatch.Refused](b)).To(BeEmpty())
	b.now = b.now.Add(40 * time.Millisecond)
	b.agent(3, idle)
	counts, _ = b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{3: 2}))
}

func TestSilentAgentGetsNoTasks(t *testing.T) {
	b := newBench(t)
	b.agent(1, idle)
	b.agent(2, server{capacity: 20_000, free: 8_000, slowness: 1000})
	b.now = b.now.Add(460 * time.Millisecond)
	b.poll(2, server{capacity: 20_000, free: 8_000, slowness: 1000})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	counts, _ := b.placed()
	b.Expect(counts).To(Equal(map[dispatch.AgentID]int{2: 1}))
}

// The first moments after a restart of all: more jobs had come than the first
// agents had room for, and were held on and on while agents were heard.
func TestHeldJobThatDoesNotFitIsRefusedWhenItsTimeIsOver(t *testing.T) {
	b := newBench(t)
	b.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: doubtTime, Started: start})
	b.submit("hold", 1, 6000, 60*time.Millisecond)
	full := server{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2000}}}
	b.now = b.now.Add(40 * time.Millisecond)
	b.agent(1, full)
	refused := 0
	for b.now.Before(start.Add(320 * time.Millisecond)) {
		b.now = b.now.Add(20 * time.Millisecond)
		b.poll(1, full)
		refused += len(effects[dispatch.Refused](b))
	}
	b.Expect(refused).To(Equal(1))
	b.Expect(b.d.OpenJobs()).To(BeZero())
}
