package executor_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func TestRepeatedRunSharesOutcomeOfFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	first := h.run(request(task(1, 0), 1))
	second := h.run(request(task(1, 0), 1))
	g.Expect(h.replies).To(BeEmpty())
	h.done(task(1, 0), structs.Ran, "r")
	third := h.run(request(task(1, 0), 1))
	for _, call := range []executor.CallID{first, second, third} {
		g.Expect(string(h.result(call).Body)).To(Equal("r"))
	}
	g.Expect(h.started).To(HaveLen(1))
}

func TestSettleModes(t *testing.T) {
	for mode, want := range map[structs.SettleMode]structs.TaskPhase{
		structs.SettleQuery:  structs.TaskQueued,
		structs.SettleRecall: structs.TaskFenced,
		structs.SettleStop:   structs.TaskFenced,
	} {
		g := NewWithT(t)
		h := newHarness(nil)
		h.document(1, "[leave]\nstop_canceled = true")
		h.run(request(task(1, 0), 1))
		queued := h.run(request(task(1, 1), 1))
		reply := h.settle(mode, ref(task(1, 0), 1), ref(task(1, 1), 1), ref(task(1, 2), 1))
		g.Expect(reply.Statuses[0].Phase).To(Equal(structs.TaskRunning))
		g.Expect(reply.Statuses[1].Phase).To(Equal(want))
		g.Expect(reply.Statuses[2].Phase).To(Equal(structs.TaskFenced))
		g.Expect(h.result(queued) != nil).To(Equal(want == structs.TaskFenced))
		g.Expect(len(h.stopped) == 1).To(Equal(mode == structs.SettleStop))
	}
}

func TestSettleStopNeedsStopCanceledInDocument(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	h.settle(structs.SettleStop, ref(task(1, 0), 1))
	g.Expect(h.stopped).To(BeEmpty())
}

// A late recall of an earlier attempt does not affect the admitted one.
func TestRecallOfEarlierAttemptKeepsAdmittedOne(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	h.run(request(task(1, 1), 2))
	st := h.settle(structs.SettleRecall, ref(task(1, 1), 1)).Statuses[0]
	g.Expect(st.Phase).To(Equal(structs.TaskFenced))
	g.Expect(st.Attempt).To(Equal(uint32(1)))
	h.done(task(1, 0), structs.Ran, "r")
	g.Expect(h.started).To(ContainElement(ref(task(1, 1), 2)))
}

func TestFenceDropsQueuedAndReportsRunning(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	running := h.run(request(task(1, 0), 1))
	queued := h.run(request(task(1, 1), 1))
	reply := h.fence(task(1, 0).Job)
	g.Expect(reply.Forgotten).To(BeFalse())
	g.Expect(reply.Statuses).To(HaveLen(2))
	g.Expect(reply.Statuses[0].Phase).To(Equal(structs.TaskRunning))
	g.Expect(reply.Statuses[1].Phase).To(Equal(structs.TaskFenced))
	g.Expect(h.result(queued).Verdict).To(Equal(structs.NotRun))
	h.done(task(1, 0), structs.Ran, "r")
	g.Expect(string(h.result(running).Body)).To(Equal("r"))
	g.Expect(h.fence(task(1, 0).Job).Statuses[0].Phase).To(Equal(structs.TaskDone))
}

func TestLeavingRefusesQueuedAndFinishesRunningTasks(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	running := h.run(request(task(1, 0), 1))
	queued := h.run(request(task(1, 1), 1))
	h.step(executor.LeaveRequested{})
	g.Expect(h.result(queued).Error.Code).To(Equal(structs.CodeLeaving))
	g.Expect(h.announced).To(HaveLen(1))
	g.Expect(h.announced[0].Leaving).To(BeTrue())
	g.Expect(h.drained).To(BeZero())
	h.done(task(1, 0), structs.Ran, "r")
	g.Expect(h.result(running).Verdict).To(Equal(structs.Ran))
	g.Expect(h.drained).To(Equal(1))
	h.advance(time.Second)
	g.Expect(h.drained).To(Equal(1))
}

func TestNewerDocumentRevokesLeaving(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.document(1, "[leave]\nbackend_servers = ['a1']")
	h.document(2, "")
	g.Expect(h.announced).To(HaveLen(2))
	g.Expect(h.announced[1].Leaving).To(BeFalse())
	h.run(request(task(1, 0), 1))
	g.Expect(h.started).To(HaveLen(1))
}

func TestRunningTasksAreStoppedAfterLeaveGrace(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.document(1, "[limits]\nslots = 2")
	h.run(request(task(1, 0), 1))
	h.run(request(task(1, 1), 1))
	h.document(2, "[leave]\ndrain = true\ngrace = '3s'")
	h.advance(2 * time.Second)
	g.Expect(h.stopped).To(BeEmpty())
	h.advance(time.Second)
	h.advance(time.Second)
	g.Expect(h.stopped).To(Equal([]structs.TaskID{task(1, 0), task(1, 1)}))
}

func TestGracefulStopWaitsForRunningTasks(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.document(1, "[leave]\ngrace = '3s'")
	h.run(request(task(1, 0), 1))
	h.step(executor.LeaveRequested{})
	h.advance(time.Hour)
	g.Expect(h.stopped).To(BeEmpty())
	g.Expect(h.drained).To(BeZero())
}

func TestDocumentRevisionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.document(5, "[limits]\nslots = 3")
	g.Expect(h.document(4, "[limits]\nslots = 1").Record.Revision).To(Equal(uint64(5)))
	g.Expect(h.document(6, "not TOML").Record.Revision).To(Equal(uint64(5)))
	g.Expect(h.exec.State().Slots).To(Equal(3))
}

func TestOldestResultsAreEvictedFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(func(o *executor.Options) { o.MaxResultBytes = 10 })
	for i := range 2 {
		h.run(request(task(1, i), 1))
		h.done(task(1, i), structs.Ran, "6bytes")
	}
	lost := h.result(h.await(task(1, 0), 1))
	g.Expect(lost.Verdict).To(Equal(structs.Ran))
	g.Expect(lost.Error.Code).To(Equal(structs.CodeResultLost))
	g.Expect(string(h.result(h.await(task(1, 1), 1)).Body)).To(Equal("6bytes"))
}

// A result that does not fit into a SettleReply is reported as running, so that
// the home fetches it by Await.
func TestSettleReplyIsBounded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(func(o *executor.Options) { o.MaxReplyBytes = 10 })
	var refs []structs.TaskRef
	for i := range 3 {
		h.run(request(task(1, i), 1))
		h.done(task(1, i), structs.Ran, "6bytes")
		refs = append(refs, ref(task(1, i), 1))
	}
	st := h.settle(structs.SettleQuery, refs...).Statuses
	g.Expect(st[0].Phase).To(Equal(structs.TaskDone))
	g.Expect(st[1].Phase).To(Equal(structs.TaskRunning))
	g.Expect(h.result(h.await(task(1, 1), 1)).Verdict).To(Equal(structs.Ran))
}

// Tasks beyond MaxSettleTasks are left as they are: without a status, the home knows nothing
// of them and asks again.
func TestTasksBeyondSettleLimitAreNotFenced(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(func(o *executor.Options) { o.MaxSettleTasks = 1 })
	st := h.settle(structs.SettleRecall, ref(task(1, 0), 1), ref(task(1, 1), 1)).Statuses
	g.Expect(st).To(HaveLen(1))
	g.Expect(st[0].Phase).To(Equal(structs.TaskFenced))
	h.run(request(task(1, 0), 1))
	h.run(request(task(1, 1), 1))
	g.Expect(h.started).To(ConsistOf(ref(task(1, 1), 1)))
}

// A backend server's long message is cut between characters, and the hint when to come
// back is kept.
func TestLongErrorMessageIsCutOnly(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	full := structs.Errorf(structs.CodeOverloaded, structs.NotRun, "%s", strings.Repeat("é", 400)).WithRetryAfter(3 * time.Second)
	h.step(executor.TaskFinished{Task: task(1, 0), Result: structs.TaskResult{Verdict: structs.MayHaveRun, Error: full}})
	got := h.result(h.await(task(1, 0), 1)).Error
	g.Expect(got.RetryAfter).To(Equal(3 * time.Second))
	g.Expect(got.Message).To(Equal(strings.Repeat("é", 256)))
}

// A Run repeats a queued task and raises the watermark above its job. The task is
// dropped by that same message, and the Run must still get an answer.
func TestRunWhoseWatermarkSettlesItsOwnTask(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	h.run(request(task(2, 0), 1))
	repeated := request(task(2, 0), 1)
	repeated.Watermark = 3
	g.Expect(h.result(h.run(repeated)).Verdict).To(Equal(structs.NotRun))
}

// A later attempt that was answered with NotRun from the record of an earlier one
// must not start afterwards, so the fence covers both.
func TestLaterAttemptSharesFenceOfAdmittedOne(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	second := h.run(request(task(1, 0), 2))
	h.done(task(1, 0), structs.NotRun, "")
	g.Expect(h.result(second).Verdict).To(Equal(structs.NotRun))
	h.run(request(task(1, 0), 2))
	g.Expect(h.started).To(HaveLen(1))
}
