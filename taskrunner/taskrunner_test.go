package taskrunner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const incarnation = 7000 // of the backend server

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness steps a Runner whose backend server has 20 cores.
type harness struct {
	*GomegaWithT
	runner      *taskrunner.Runner
	now         time.Time
	clock       time.Duration // of the backend server
	lastEffects []taskrunner.Effect
	lastCall    taskrunner.CallID
}

var harnessOptions = taskrunner.Options{
	Agent: "agent-1", Incarnation: 1, Zone: "zone-a", Service: "booking", Token: 100,
	Lease: taskrunner.DefaultLease, SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: taskrunner.DefaultRenewalWait,
	PollWait: taskrunner.DefaultPollWait, StopTimeout: 50 * time.Millisecond, LeaseMax: time.Second,
}

func newHarness(t *testing.T) *harness {
	h := &harness{GomegaWithT: NewWithT(t), now: startTime, clock: time.Hour}
	h.runner = taskrunner.New(harnessOptions)
	return h
}

func (h *harness) step(ev taskrunner.Event) []taskrunner.Effect {
	h.lastEffects = h.runner.Step(h.now, ev)
	return h.lastEffects
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.clock += d
}

// effects returns the effects of type T that the last step returned.
func effects[T taskrunner.Effect](h *harness) []T {
	var list []T
	for _, ef := range h.lastEffects {
		if v, ok := ef.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

func (h *harness) heartbeat(seq int64, draining bool) {
	h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{
		ID: "server-1", Incarnation: incarnation, Seq: seq, Service: "booking", Draining: draining, CPU: 20_000, MemMB: 1000,
	}})
}

// answerRenewal replies to the lease renewal with the ID. The ID zero stands for a
// renewal that is not pending any more: its reply does not show that runs missing
// from the list have ended.
func (h *harness) answerRenewal(id uint64, running []taskrunner.RunningRow, ended ...taskrunner.EndRow) {
	h.step(taskrunner.RenewReplied{ID: id, OK: true, ServerIncarnation: incarnation, Clock: h.clock, Running: running, Ended: ended})
}

func (h *harness) newestRenewalID() uint64 {
	renewals := effects[taskrunner.RenewLease](h)
	h.Expect(renewals).NotTo(BeEmpty(), "no lease renewal was sent")
	return renewals[len(renewals)-1].ID
}

// makeReady brings the runner into a state in which tasks start, with one open
// session.
func (h *harness) makeReady() {
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.heartbeat(1, false)
	h.answerRenewal(id, nil)
	h.open(1, 11)
}

func (h *harness) open(id uint64, entry structs.Incarnation) {
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: id, Request: session.HelloRequest{Entry: "entry", Incarnation: entry}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(HaveLen(1))
}

func (h *harness) reading() session.ClockReading {
	return session.ClockReading{Run: incarnation, Clock: h.clock}
}

func (h *harness) order(sessionID uint64, reading session.ClockReading, job string, cpu int, ids ...uint64) {
	part := session.JobPart{Job: job, Service: "booking", CPU: cpu, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: 300 * time.Millisecond}
	for i, id := range ids {
		part.Tasks = append(part.Tasks, session.Placement{ID: id, Index: i, Attempt: 1})
	}
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: sessionID, Request: session.OrderRequest{Echo: reading, Start: []session.JobPart{part}}})
}

func runKey(job string, index int) taskrunner.RunKey {
	return taskrunner.RunKey{TaskKey: taskrunner.TaskKey{Job: job, Index: index}, Number: 1}
}

func (h *harness) acceptStart(k taskrunner.RunKey) {
	h.step(taskrunner.StartReplied{Key: k, Result: taskrunner.StartAccepted, Clock: h.clock, ServerIncarnation: incarnation})
}

// pollReports polls the session and returns the reports it receives.
func (h *harness) pollReports(sessionID uint64) []session.Report {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: sessionID, Request: session.PollRequest{Echo: h.reading()}})
	var list []session.Report
	for _, r := range effects[taskrunner.ReplyPoll](h) {
		list = append(list, r.Reply.Reports...)
	}
	return list
}

// The lease of a start ends relative to the newest reading of the server's clock.
// A start that is delayed, or sent by an agent that was suspended, has therefore
// already expired when it arrives.
func TestStartCarriesLeaseEndByServerClock(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	lastReading := h.clock
	h.advance(40 * time.Millisecond)
	h.order(1, session.ClockReading{Run: incarnation, Clock: lastReading}, "job", 1000, 1)
	starts := effects[taskrunner.StartTask](h)
	h.Expect(starts).To(HaveLen(1))
	h.Expect(starts[0].Until).To(Equal(lastReading + taskrunner.DefaultLease))
}

func TestStaleOrderStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	staleReading := h.reading()
	h.advance(100 * time.Millisecond)
	for range 6 {
		h.step(taskrunner.Ticked{})
		h.answerRenewal(h.newestRenewalID(), nil)
		h.pollReports(1) // keeps the session open
		h.advance(100 * time.Millisecond)
	}
	h.order(1, staleReading, "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1), "the newest echoed clock reading of the session counts, not that of the order")

	h.open(2, 12)
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation, Clock: h.clock + 600*time.Millisecond})
	h.order(2, staleReading, "late", 1000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// The capacity of a stopped task becomes free only when the server lists its end. An
// acknowledged stop is not enough.
func TestStoppingTaskHoldsItsCapacity(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "first", 15_000, 1)
	h.acceptStart(runKey("first", 0))
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	h.order(1, h.reading(), "second", 15_000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "the first task still holds its capacity")
	h.step(taskrunner.StopReplied{Key: runKey("first", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "the end of the first task is not listed yet")
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("first", 0), Outcome: taskrunner.EndStopped})
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}

// Guards against losing or duplicating a task whose start gets no reply, as happens
// to one start in fifteen while the server executes calls late.
func TestUnansweredStartIsRetriedThenStopped(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	for range 2 {
		h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
		retries := effects[taskrunner.StartTask](h)
		h.Expect(retries).To(HaveLen(1))
		h.Expect(retries[0].Key).To(Equal(runKey("job", 0)), "the retry has to use the same run number, so that the task starts once")
	}
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task may still start")
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.answerRenewal(h.newestRenewalID(), nil)
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

// A short task may have run and ended before its start is sent again. The server
// then refuses the run number as used, and the task must not be started under
// another one.
func TestUsedRunNumberAfterUnansweredStartIsSameRun(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartNumberUsed, Clock: h.clock})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Done)))
}

// An earlier session may have run the same task here, so that the server refuses the
// run number of the first start.
func TestUsedRunNumberOnFirstStartIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartNumberUsed, Clock: h.clock})
	h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Key.Number", 2)))
}

// A server that refuses connections makes each call fail at once. Without a delay,
// the agent would send stops in a tight loop.
func TestFailedStopIsRetriedAfterDelay(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.step(taskrunner.SessionClosed{Session: 1})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), Reason: "connection refused", Known: incarnation})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
	h.Expect(h.runner.NextWake().Sub(h.now)).To(BeNumerically("<=", 20*time.Millisecond))
	h.advance(20 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
}

// The server may have run a task whose start got no reply before it ends the task.
// Reporting such a task as not started would be wrong.
func TestStoppedUnansweredStartThatRanIsReportedLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	for range 3 {
		h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	}
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndStopped})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
}

func TestOverdueLeaseRenewalIsRetransmitted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.Ticked{})
	h.advance(taskrunner.DefaultRenewalWait + 10*time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.RenewLease](h)).To(BeEmpty())
	h.advance(15 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.RenewLease](h)).To(HaveLen(1))
}

func TestRunsOfEarlierAgentAreStoppedBeforeSessionsOpen(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.heartbeat(1, false)
	foreign := taskrunner.RunningRow{Key: runKey("old", 3)}
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: 1, Request: session.HelloRequest{Incarnation: 11}})
	h.answerRenewal(id, []taskrunner.RunningRow{foreign})
	h.Expect(effects[taskrunner.StopTask](h)).To(ConsistOf(HaveField("Key", foreign.Key)))
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty())
	h.advance(60 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	renewals := effects[taskrunner.RenewLease](h)
	h.Expect(renewals).To(HaveLen(1))
	h.Expect(renewals[0].Until).To(BeZero(), "the lease of runs of an earlier agent must not be renewed")
	h.answerRenewal(renewals[0].ID, nil)
	h.Expect(effects[taskrunner.ReplyHello](h)).To(HaveLen(1))
}

func TestRefusedFencingTokenIsRaised(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), Fenced: true})
	renewals := effects[taskrunner.RenewLease](h)
	h.Expect(renewals).To(HaveLen(1))
	h.Expect(renewals[0].Token).To(BeNumerically(">", 100))
}

func TestSessionEndStopsItsTasks(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"connection closed": func(h *harness) { h.step(taskrunner.SessionClosed{Session: 1}) },
		"no message from the entry": func(h *harness) {
			for left := taskrunner.DefaultSessionTTL + time.Millisecond; left > 0; left -= 100 * time.Millisecond {
				h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
				h.advance(min(left, 100*time.Millisecond))
				h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 0), Percent: int(left / time.Millisecond)}})
			}
		},
		"agent was suspended and its clock stood still": func(h *harness) {
			h.clock += 2 * time.Second
			h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation, Clock: h.clock, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.order(1, h.reading(), "job", 1000, 1)
			h.acceptStart(runKey("job", 0))
			end(h)
			h.Expect(effects[taskrunner.StopTask](h)).To(ConsistOf(HaveField("Key", runKey("job", 0))))
		})
	}
}

// When an entry's new session opens, no task of its previous session may be running.
func TestHelloWaitsForTasksOfPreviousSession(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: 2, Request: session.HelloRequest{Incarnation: 11}})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty())
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndStopped})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(HaveLen(1))
}

func TestNewServerIncarnationEndsAllTasks(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
	h.order(1, h.reading(), "next", 1000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "the new incarnation has not registered yet")
}

// A restarted server accepts starts before the agent has learned of its new
// incarnation. The agent must not report such a task as lost.
func TestStartAcceptedByNewIncarnationIsNotLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
	h.Expect(h.pollReports(1)).To(BeEmpty())
}

func TestUnansweredStartIsStoppedAtNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	token := effects[taskrunner.StartTask](h)[0].Token
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	stops := effects[taskrunner.StopTask](h)
	h.Expect(stops).To(HaveLen(1))
	h.Expect(stops[0].Token).To(BeNumerically(">", token), "a start still in transit has to be fenced off")
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task may run at the new incarnation")
}

func TestHeartbeatOfEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: "server-0", Incarnation: incarnation - 1, Seq: 90, Service: "booking", Draining: true, CPU: 1}})
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}

func TestDrainingServerStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.heartbeat(2, true)
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

func TestTaskWithoutProgressIsStopped(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	for range 7 {
		h.advance(70 * time.Millisecond)
		h.pollReports(1)
		h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 0), Percent: 3}})
		if len(effects[taskrunner.StopTask](h)) > 0 {
			return
		}
	}
	h.Expect(false).To(BeTrue(), "the task was not stopped")
}

// A server that was measured as slow on its first few tasks got no more tasks, and
// so its slowness was never measured again. A quarter of the capacity stayed idle on
// a day with heavy load.
func TestMeasuredSlownessDecays(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	for range 5 {
		h.advance(100 * time.Millisecond)
		h.pollReports(1)
		h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 0), Percent: int(h.now.Sub(startTime) / (10 * time.Millisecond))}})
	}
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	slowness := h.helloState().Slowness
	h.Expect(slowness).To(BeNumerically(">", 1200))
	h.advance(10 * time.Second)
	h.open(2, 12)
	h.Expect(h.helloState().Slowness).To(BeNumerically("<", 1100))
}

// A restarted agent uses the baseline slowness stored by the earlier agent. A server
// with other labels starts with the nominal slowness.
func TestStoredBaselineIsUsedForSameLabels(t *testing.T) {
	for name, c := range map[string]struct {
		labels   []string
		slowness int
	}{
		"same labels":  {nil, 1600},
		"other labels": {[]string{"b"}, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.step(taskrunner.RecordLoaded{Baseline: taskrunner.Baseline{Slowness: 1600, Labels: c.labels}})
			h.Expect(h.helloState().Slowness).To(Equal(c.slowness))
		})
	}
}

// A server that becomes slow has to be detected before its first task has ended.
func TestSlowServerIsDetectedFromTaskProgress(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1, 2, 3, 4)
	var rows []taskrunner.RunningRow
	for i := range 4 {
		h.acceptStart(runKey("job", i))
		rows = append(rows, taskrunner.RunningRow{Key: runKey("job", i), Percent: 8})
	}
	h.advance(50 * time.Millisecond)
	h.answerRenewal(0, rows)
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading()}})
	st := effects[taskrunner.ReplyOrder](h)[0].Reply.State
	h.Expect(st.Slowness).To(BeNumerically(">", 2000))
	h.Expect(st.Laggards).To(HaveLen(4))
	h.Expect(st.Laggards[0].Ms).To(BeNumerically("~", 575, 5))
}

// Step must be a function of the state and the event. The slowness that is learned from
// running tasks depended on the order in which a map returned them: the estimate of a
// task with little progress was taken from the sums while these were being built.
func TestLearnedSlownessDoesNotDependOnOrderOfRuns(t *testing.T) {
	slowness := make(map[int]bool)
	for range 50 {
		h := newHarness(t)
		h.makeReady()
		h.order(1, h.reading(), "job", 1000, 1, 2)
		for i := range 2 {
			h.acceptStart(runKey("job", i))
		}
		h.advance(50 * time.Millisecond)
		h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 0), Percent: 10}, {Key: runKey("job", 1), Percent: 1}})
		slowness[h.helloState().Slowness] = true
	}
	NewWithT(t).Expect(slowness).To(HaveLen(1))
}

// Lease renewals overlap. A reply that is overtaken by the one to a later renewal
// still lists tasks that have ended since. They must not be taken for unknown tasks
// and stopped.
func TestOutOfOrderRenewalReplyStopsNothing(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	earlierReading := h.clock
	h.advance(50 * time.Millisecond)
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation, Clock: earlierReading, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
}

// helloState opens a new session and returns the state in the reply to its Hello.
func (h *harness) helloState() session.State {
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: uint64(100 + h.lastCall), Request: session.HelloRequest{Incarnation: structs.Incarnation(1000 + h.lastCall)}})
	replies := effects[taskrunner.ReplyHello](h)
	h.Expect(replies).To(HaveLen(1))
	return replies[0].Reply.State
}

func TestStopBeforeStartPreventsStart(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}})
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

func TestGracefulShutdownFinishesRunningTasks(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.step(taskrunner.LeaveRequested{})
	h.Expect(effects[taskrunner.Drained](h)).To(BeEmpty())
	h.order(1, h.reading(), "next", 1000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: h.reading(), Seen: 2}})
	h.Expect(effects[taskrunner.Drained](h)).To(HaveLen(1))
}

// After a power loss, all agents restarted at once while their backend servers kept
// running. No server could be used until its next heartbeat, up to 1.5 s later.
func TestRestartedAgentStartsTasksBeforeNextHeartbeat(t *testing.T) {
	info := taskrunner.ServerInfo{ID: "server-1", Incarnation: incarnation, Service: "booking", CPU: 20_000, MemMB: 1000}
	for name, loadFirst := range map[string]bool{"loaded before the first lease renewal": true, "loaded after the first lease renewal": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.step(taskrunner.Ticked{})
			id := h.newestRenewalID()
			if loadFirst {
				h.step(taskrunner.RecordLoaded{Server: info})
			}
			h.answerRenewal(id, nil)
			if !loadFirst {
				h.step(taskrunner.RecordLoaded{Server: info})
			}
			h.open(1, 11)
			h.order(1, h.reading(), "job", 1000, 1)
			h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))

			h.heartbeat(1, true) // a heartbeat replaces the loaded state
			h.Expect(effects[taskrunner.ServerChanged](h)).To(HaveLen(1))
			h.order(1, h.reading(), "late", 1000, 2)
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
		})
	}
}

func TestStoredServerOfOtherIncarnationIsNotUsed(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.step(taskrunner.RecordLoaded{Server: taskrunner.ServerInfo{ID: "server-1", Incarnation: incarnation - 1, Service: "booking", CPU: 20_000, MemMB: 1000}})
	h.answerRenewal(id, nil)
	h.open(1, 11)
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// The record that a restarted agent reads must say that the server has left: the
// server still replies for a moment, and its tasks would be lost with it.
func TestServerThatLeftIsStoredAsDraining(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.ServerLeft{ID: "server-1"})
	changed := effects[taskrunner.ServerChanged](h)
	h.Expect(changed).To(HaveLen(1))
	h.Expect(changed[0].Info.Draining).To(BeTrue())
}

func TestStoredDrainingServerStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.step(taskrunner.RecordLoaded{Server: taskrunner.ServerInfo{ID: "server-1", Incarnation: incarnation, Service: "booking", Draining: true, CPU: 20_000, MemMB: 1000}})
	h.answerRenewal(id, nil)
	h.open(1, 11)
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// A server that hung for some seconds had a high share of failures, got no more
// tasks, and so could not show that it had recovered.
func TestFailingServerIsProbedAgain(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	for i := range uint64(6) {
		job := fmt.Sprintf("job-%d", i)
		h.order(1, h.reading(), job, 1000, 10+i)
		h.acceptStart(runKey(job, 0))
		h.advance(10 * time.Millisecond)
		h.answerRenewal(0, nil, taskrunner.EndRow{Index: int64(i + 1), Key: runKey(job, 0), Outcome: taskrunner.EndFailed})
	}
	failing := func() int { return h.runner.Dump(h.now).Failing }
	h.Expect(failing()).To(BeNumerically(">", 500))
	h.advance(2 * time.Second)
	h.step(taskrunner.Ticked{})
	h.Expect(failing()).To(BeNumerically("<", 400), "low enough for entries to send tasks again")
	h.Expect(failing()).To(BeNumerically(">", 200), "high enough for the server to get only one task at a time")
}
