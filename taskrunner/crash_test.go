package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// refuseRenewals fails a lease renewal, and refuses the next one.
func (h *harness) refuseRenewals() {
	h.step(taskrunner.RenewReplied{Reason: "EOF"})
	h.advance(60 * time.Millisecond)
	h.step(taskrunner.RenewReplied{Refused: true, Reason: "connection refused"})
}

// state polls the session until the reply and returns its state.
func (h *harness) state(sessionID uint64) session.State {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: sessionID, Request: session.PollRequest{Echo: h.reading()}})
	if len(effects[taskrunner.ReplyPoll](h)) == 0 {
		h.advance(taskrunner.DefaultPollWait)
		h.step(taskrunner.Ticked{})
	}
	replies := effects[taskrunner.ReplyPoll](h)
	h.Expect(replies).To(HaveLen(1))
	return replies[0].Reply.State
}

// Guards against entries that do not learn which tasks were on a server that crashed.
func TestCrashIsReportedOnceToEachSessionWithItsTasks(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.open(2, 12)
	h.order(1, h.reading(), "old", 1000, 1)
	h.acceptStart(runKey("old", 0))
	h.advance(100 * time.Millisecond)
	h.order(1, h.reading(), "young", 1000, 2)
	h.acceptStart(runKey("young", 0))
	h.advance(8 * time.Millisecond)
	h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("old", 0)}, {Key: runKey("young", 0)}})
	h.refuseRenewals()

	for id := range uint64(2) {
		crashes := h.state(id + 1).Crashes
		h.Expect(crashes).To(HaveLen(1))
		h.Expect(crashes[0].Run).To(BeNumerically("==", incarnation))
		h.Expect(crashes[0].Tasks).To(Equal([]session.LostTask{{Job: "young", Ran: 8, Started: true}, {Job: "old", Ran: 108, Started: true}}))
	}
	for id := range uint64(2) {
		h.Expect(h.state(id + 1).Crashes).To(BeEmpty())
	}
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(h.state(1).Crashes).To(BeEmpty(), "the new incarnation is no second crash")
}

// Guards against a crash that no call met: the server is back before the next renewal.
func TestReplacedServerIsReportedAsCrashed(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(h.state(1).Crashes).To(ConsistOf(HaveField("Tasks", ConsistOf(HaveField("Job", "job")))))
}

// A server that leaves as announced ends what still runs there.
func TestServerThatLeavesIsNotReportedAsCrashed(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	h.heartbeat(2, true)
	h.step(taskrunner.Ticked{})
	h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 0)}})
	h.advance(60 * time.Millisecond)
	h.step(taskrunner.RenewReplied{ID: 1000, Refused: true})
	h.Expect(h.state(1).Crashes).To(BeEmpty())
}

// Guards against tasks that are queued at a crashed server until its lease has expired:
// they are placed elsewhere at once, and more are not sent.
func TestQueuedTasksOfCrashedServerAreReturnedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "running", 20_000, 1)
	h.acceptStart(runKey("running", 0))
	h.order(1, h.reading(), "queued", 1000, 2)
	h.pollReports(1)
	h.refuseRenewals()
	replies := effects[taskrunner.ReplyPoll](h)
	h.Expect(replies).To(HaveLen(1))
	h.Expect(replies[0].Reply.State.Ready).To(BeFalse())
	h.Expect(replies[0].Reply.Reports).To(ConsistOf(And(HaveField("ID", uint64(2)), HaveField("Outcome", session.NotStarted))),
		"the other may run on until its lease has expired: the network may refuse connections")

	h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("running", 0)}})
	h.Expect(h.state(1).Ready).To(BeTrue(), "the same incarnation replies again")
}

// Guards against "may have run" for a task of which nothing was sent.
func TestRefusedStartIsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartRefused})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

// A start without a reply may have reached the server before it crashed.
func TestStartRefusedAfterUnansweredTryMayHaveRun(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown})
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartRefused})
	h.Expect(h.pollReports(1)).To(BeEmpty())
}

// Guards against a reply that was held up, of the incarnation before, which is taken for
// the return of a server that is gone.
func TestLateReplyOfEarlierIncarnationDoesNotRegainServer(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.refuseRenewals()
	h.advance(time.Second)
	h.step(taskrunner.RenewReplied{Refused: true, Reason: "connection refused"})
	h.answerRenewal(0, nil)
	h.Expect(effects[taskrunner.LogEvent](h)).NotTo(ContainElement(HaveField("Event", "server_regained")))
}
