package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Guards against a task that runs on two servers: a start is carried out and its reply is
// lost, and the rejection of the next copy was taken for "not started".
func TestRejectedCopyAfterLostReplyIsNotReportedAsNotStarted(t *testing.T) {
	for _, result := range []taskrunner.StartResult{
		taskrunner.StartDeclined, taskrunner.StartFenced, taskrunner.StartExpired, taskrunner.StartNoCapacity,
		taskrunner.StartInvalid, taskrunner.StartOtherServer,
	} {
		t.Run(result.String(), func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.order(1, h.reading(), "job", 15_000, 1)
			h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
			h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1), "the start is sent again")
			for range 2 {
				h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: result, Clock: h.clock, ServerIncarnation: incarnation})
			}
			h.Expect(h.pollReports(1)).To(BeEmpty(), "the task may be running")
			h.order(1, h.reading(), "second", 15_000, 2)
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "the task may hold its capacity")

			h.answerNextRenewal([]taskrunner.RunningRow{{Key: runKey("job", 0)}})
			h.Expect(h.pollReports(1)).NotTo(ContainElement(HaveField("ID", uint64(1))), "the task is running")
			h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
			h.answerNextRenewal(nil, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndStopped})
			h.Expect(h.pollReports(1)).To(ContainElement(And(HaveField("ID", uint64(1)), HaveField("Outcome", session.Lost))))
		})
	}
}

// Guards against a job that is refused as not run although it has run: a server crashes
// after it has carried out a start whose reply was lost, and comes back at once.
func TestStartLostWithItsServerIsNotReportedAsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.clock = time.Second
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: h.clock})
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1), "the start may have reached the new incarnation")
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation + 1})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation + 1, Clock: h.clock})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
}

// Guards against a task that runs on two servers: an agent that had no reply for some time
// sends a start, a new incarnation of the server accepts it, and the agent gave the run up
// with the leases of the earlier incarnation.
func TestRunAcceptedByNewIncarnationOutlivesEarlierLeases(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.advance(300 * time.Millisecond)
	h.order(1, session.ClockReading{Run: incarnation, Clock: h.clock - 300*time.Millisecond}, "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
	h.clock = time.Second
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: h.clock, ServerIncarnation: incarnation + 1})
	h.advance(70 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the task is running")
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: h.clock, Running: []taskrunner.RunningRow{{Key: runKey("job", 0)}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
	h.step(taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation + 1, Clock: h.clock + 1, Ended: []taskrunner.EndRow{{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndDone}}})
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Done)))
}

// Guards against a false "not started" if the server's list of ends is cut or cannot be read:
// the end of a run whose start had no reply may be missing from it.
func TestStoppedStartIsNotReportedAsNotStartedByIncompleteList(t *testing.T) {
	for name, incomplete := range map[string]taskrunner.RenewReplied{"cut": {MoreEnds: true}, "unreadable": {UnreadableEnds: 1}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.order(1, h.reading(), "job", 1000, 1)
			for range 3 {
				h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
			}
			h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
			incomplete.ID, incomplete.OK, incomplete.ServerIncarnation, incomplete.Clock = h.newestRenewalID(), true, incarnation, h.clock
			h.step(incomplete)
			h.answerNextRenewal(nil, taskrunner.EndRow{Index: 501, Key: runKey("job", 0), Outcome: taskrunner.EndStopped})
			h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
		})
	}
}

// answerNextRenewal lets the time of a lease renewal pass and replies to it.
func (h *harness) answerNextRenewal(running []taskrunner.RunningRow, ended ...taskrunner.EndRow) {
	h.advance(taskrunner.DefaultRenewalWait + 25*time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.answerRenewal(h.newestRenewalID(), running, ended...)
}

// Guards against an agent that ends by a stack overflow: a late reply to the start of an earlier run is
// taken for one of a copy that is still queued, and the session of the copy ends.
func TestLateReplyIsNotTakenForQueuedCopy(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 20_000, 1, 2)
	started := effects[taskrunner.StartTask](h)
	h.Expect(started).To(HaveLen(1), "there is capacity for one")
	copied := started[0].Key
	copied.Index = 1 - copied.Index
	h.acceptStart(copied)
	h.step(taskrunner.OrderCalled{Call: 999, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Recall: []uint64{1, 2}}})
	reports := h.pollReports(1)
	h.Expect(reports).To(HaveLen(1))
	h.Expect(reports[0].Outcome).To(Equal(session.NotStarted))
	h.step(taskrunner.SessionClosed{Session: 1})
}
