package taskrunner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// A recall that crosses the start of its task changes nothing; a queued task is returned
// and not started any more.
func TestRecallReturnsOnlyQueuedTasks(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 20_000, 1, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1), "there is capacity for one")
	state := effects[taskrunner.ReplyOrder](h)[0].Reply.State
	h.Expect(state.Queue).To(HaveLen(1))
	waiting := state.Queue[0].ID
	h.Expect(waiting).To(BeElementOf(uint64(1), uint64(2)))

	h.step(taskrunner.OrderCalled{Call: 999, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Recall: []uint64{1, 2, 3}}})
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
	reports := h.pollReports(1)
	h.Expect(reports).To(HaveLen(1))
	h.Expect(reports[0].ID).To(Equal(waiting))
	h.Expect(reports[0].Outcome).To(Equal(session.NotStarted))
}
