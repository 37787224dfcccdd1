package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Guards against a task that runs on two servers: a call with a lease by the clock of an earlier
// incarnation extends the lease at the new one up to the longest, and the agent gives the run up
// after its own.
func TestRunOutlivesLeaseThatEarlierClockHasExtended(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	start := effects[taskrunner.StartTask](h)[0]
	server := leaseserver.New(incarnation+1, time.Second)
	h.Expect(server.Start(leaseserver.TaskRun{Name: "job.0", Number: 1}, leaseserver.Behavior{Duration: 10 * time.Second}, start.Until, start.Token)).To(BeEmpty())
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
	h.advance(400 * time.Millisecond)
	server.Advance(time.Second + 400*time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(server.Running()).To(HaveLen(1))
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task is running")
}

// Guards against a task that runs on two servers: an agent is lost just after a new incarnation,
// whose clock is behind, has accepted a start, and the entry places the task again while the
// longest lease lasts.
func TestInDoubtTimeoutCoversLeaseAtNewIncarnation(t *testing.T) {
	const stopTimeout = 50 * time.Millisecond
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	start := effects[taskrunner.StartTask](h)[0]
	server := leaseserver.New(incarnation+1, time.Second)
	if start.Known == 0 || start.Known == server.Incarnation {
		h.Expect(server.Start(leaseserver.TaskRun{Name: "job.0", Number: 1}, leaseserver.Behavior{Duration: 10 * time.Second}, start.Until, start.Token)).To(BeEmpty())
	}
	server.Advance(time.Second + taskrunner.InDoubtTimeout(time.Second, stopTimeout))
	h.Expect(server.Running()).To(BeEmpty(), "the entry places the task again")
}

// Guards against a lease by the clock of an earlier incarnation, which lasts longer than the
// agent and the entries count with.
func TestLeasesAreAskedOfTheKnownIncarnation(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	asked := 0
	for range 10 {
		h.advance(100 * time.Millisecond)
		for _, r := range effects[taskrunner.RenewLease](h) {
			if r.Until > 0 {
				asked++
				h.Expect(r.Known).To(BeEquivalentTo(incarnation))
			}
		}
		h.answerRenewal(0, nil)
	}
	h.Expect(asked).To(BeNumerically(">", 0))
}

// Guards against needless waiting at a server that is down: a copy without a reply that was
// sent before one that the same incarnation accepted cannot have another effect.
func TestAcceptedRunIsLostWithItsLeaseAfterEarlierCopyHadNoReply(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.acceptStart(runKey("job", 0))
	for range 8 { // 400 ms; the lease and the stop of what runs under it take 356 ms
		h.advance(50 * time.Millisecond)
		h.lastCall++
		h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: h.reading()}})
		h.step(taskrunner.RenewReplied{ID: 0, Refused: true})
	}
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
}

// Guards against a task that runs twice: the platform names the incarnation in lists of runs,
// not in replies to starts, and an acceptance by a new incarnation counts for the known one.
func TestStartAcceptedByUnnamedIncarnationIsNotLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task is running")
}

// Guards against a task that runs twice: an agent that was suspended learns that a new
// incarnation has accepted its start, and gives the run up by the time of the last clock
// reading of the earlier one.
func TestRunJustAcceptedByNewIncarnationOutlivesLongestLease(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.advance(5 * time.Second)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.step(taskrunner.HelloCalled{Call: 99, Session: 2, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty(), "a task of the entry's earlier session is running")
}

// Guards against a verdict by the time of the last clock reading instead of the end of the last
// call: the start of a suspended agent reaches a new incarnation and gets no reply.
func TestUnansweredStartOutlivesLongestLeaseFromItsEnd(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.advance(5 * time.Second)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.HelloCalled{Call: 99, Session: 2, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty(), "the start may just have been carried out by a new incarnation")
}

// Guards against a task that runs twice: a run that one incarnation has listed is accepted by
// the next one, and a list that this one made before is taken to show that the run has ended.
func TestListFromBeforeAcceptanceByNewIncarnationDoesNotEndRun(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.answerNextRenewal([]taskrunner.RunningRow{{Key: runKey("job", 0)}})
	renewal := h.newestRenewalID()
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second + time.Millisecond, ServerIncarnation: incarnation + 1})
	h.step(taskrunner.RenewReplied{ID: renewal, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task is running")
}

// Guards against a clock that stands still for as long as the earlier incarnation was up: a
// stop's reply from the earlier incarnation arrives after the server was replaced.
func TestLateStopReplyDoesNotSetClockOfNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	earlierClock := h.clock
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: earlierClock, Known: incarnation})
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second + 50*time.Millisecond})
	h.Expect(h.helloState().Stamp).To(Equal(session.ClockReading{Run: incarnation + 1, Clock: time.Second + 50*time.Millisecond}))
}

// Guards against a task that is started once more than its attempts: the end of a run as
// failed is dropped if the run is being stopped while a copy of its start is in flight.
func TestFailureOfStoppedRunWithStartInFlightIsReported(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndFailed})
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartNumberUsed, Clock: h.clock, ServerIncarnation: incarnation})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Failed)))
}

// Guards against a task that runs twice: a renewal's reply from the earlier incarnation, which
// lists the end of the first copy, arrives after the new one has accepted the second copy.
func TestEndAtEarlierIncarnationDoesNotEndRunAtNewOne(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndFailed})
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task is running at the new incarnation")
}

// Guards against a task that runs twice: the earlier incarnation acknowledges a stop and lists
// nothing, and the copy in flight is accepted by the new one before that list arrives.
func TestListOfEarlierIncarnationDoesNotEndRunAtNewOne(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.SessionClosed{Session: 1})
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	renewal := h.newestRenewalID()
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.answerRenewal(renewal, nil)
	h.step(taskrunner.HelloCalled{Call: 99, Session: 2, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty(), "a task of the entry's earlier session is running")
}

// Guards against a task that runs twice: the reply to a renewal that was sent before a start's
// call had ended says nothing about what the start did after that reply, at a new incarnation.
func TestRenewalSentBeforeStartEndedDoesNotEndRun(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.SessionClosed{Session: 1})
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	renewal := h.newestRenewalID()
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.answerRenewal(renewal, nil)
	h.step(taskrunner.HelloCalled{Call: 99, Session: 2, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty(), "the start may have been carried out by a new incarnation")
}

// Guards against a task that runs twice: the acknowledgment of a stop by the earlier
// incarnation counts as one by the new incarnation, which may still start the run.
func TestStopAcknowledgedByEarlierIncarnationDoesNotEndRun(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.SessionClosed{Session: 1})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1), "a second stop, for the new incarnation")
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Known: incarnation}) // of the first stop
	h.advance(taskrunner.DefaultRenewalWait + 25*time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation + 1, Clock: 2 * time.Second})
	h.step(taskrunner.HelloCalled{Call: 99, Session: 2, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	h.Expect(effects[taskrunner.ReplyHello](h)).To(BeEmpty(), "the new incarnation has not acknowledged a stop")
}

// Guards against a finished task that is run again: the end of a run may follow in the next
// reply if the server's list of ends is cut.
func TestRunMissingFromCutListIsNotReportedLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.advance(taskrunner.DefaultRenewalWait + 25*time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation, Clock: h.clock, MoreEnds: true})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 501, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Done)))
}

// Guards against a stopped run that is reported as lost, and run again, although the cut list
// of ends goes on with its end as done.
func TestStoppedRunMissingFromCutListIsNotReportedLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	for range 3 {
		h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	}
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation, Clock: h.clock, MoreEnds: true})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 501, Key: runKey("job", 0), Outcome: taskrunner.EndDone})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Done)))
}

// Guards against needless waiting after a restart under another ID: until the next heartbeat
// the new incarnation rejects stops that are addressed to the earlier one.
func TestStopAtUnregisteredIncarnationIsNotAddressedToEarlierServer(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(effects[taskrunner.StopTask](h)).To(ConsistOf(HaveField("ServerID", "")))
}

// Guards against a false "may have run": the only start was in flight when the server was
// replaced, and its answer proves that it did nothing.
func TestStartRejectedAfterServerWasReplacedIsReportedAsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartOtherServer, Clock: time.Second, ServerIncarnation: incarnation + 1})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

// replaceServer replaces the server by an incarnation whose clock shows the given time.
func (h *harness) replaceServer(incarnation int64, clock time.Duration) {
	h.clock = clock
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation, Clock: clock})
	h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: "server-1", Incarnation: incarnation, Seq: 1, Service: "booking", CPU: 20_000, MemMB: 1000}})
}

// Guards against starts and leases that last longer than entries count with: a server crashes
// within a second of its start, and the reply to a start or a stop that it has sent before is taken
// for a reading of its successor's clock.
func TestLateReplyOfShortLivedIncarnationDoesNotAdvanceClock(t *testing.T) {
	const (
		shortLived, successor = incarnation + 1, incarnation + 2
		clockOfReply          = 900 * time.Millisecond
		clockOfSuccessor      = 100 * time.Millisecond
	)
	for name, reply := range map[string]taskrunner.Event{
		"start": taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: clockOfReply},
		"stop":  taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: clockOfReply, Known: shortLived},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.replaceServer(shortLived, clockOfReply-50*time.Millisecond)
			h.order(1, session.ClockReading{Run: shortLived, Clock: h.clock}, "job", 1000, 1)
			h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
			h.replaceServer(successor, clockOfSuccessor)
			h.step(reply)
			h.Expect(h.helloState().Stamp).To(Equal(session.ClockReading{Run: successor, Clock: clockOfSuccessor}))
		})
	}
}
