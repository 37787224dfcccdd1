package taskrunner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Entries learn from the states what others place on the server.
func TestStateCountsTasksAdmittedFromOthers(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.open(2, 22)
	state := func() session.State { return effects[taskrunner.ReplyOrder](h)[0].Reply.State }
	h.order(1, h.reading(), "own", 3000, 1, 2)
	h.Expect(state().OthersCPU).To(Equal(uint64(0)))
	h.order(2, h.reading(), "other", 4000, 1)
	h.Expect(state().OthersCPU).To(Equal(uint64(6000)))
	h.order(2, h.reading(), "too large", 50_000, 2)
	h.Expect(state().OthersCPU).To(Equal(uint64(6000)))
	h.order(1, h.reading(), "next", 1000, 3)
	h.Expect(state().OthersCPU).To(Equal(uint64(4000)), "what was refused is not counted")
}
