package taskrunner_test

import (
	"fmt"
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

// A server that resets half of its connections: entries learn it from the states, and
// forget it when the server replies again.
func TestStateTellsBrokenConnections(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	broken := func(id uint64, result taskrunner.StartResult) int {
		job := fmt.Sprint("job", id)
		h.order(1, h.reading(), job, 100, id)
		h.step(taskrunner.StartReplied{Key: runKey(job, 0), Result: result, Broken: result == taskrunner.StartUnknown, Clock: h.clock, ServerIncarnation: incarnation})
		h.order(1, h.reading(), job+"-", 100, id+100)
		return effects[taskrunner.ReplyOrder](h)[0].Reply.State.Broken
	}
	h.Expect(broken(1, taskrunner.StartAccepted)).To(BeZero())
	h.Expect(broken(2, taskrunner.StartUnknown)).To(BeNumerically(">=", 100))
	for id := range uint64(8) {
		broken(10+id, taskrunner.StartAccepted)
	}
	h.Expect(broken(20, taskrunner.StartAccepted)).To(BeNumerically("<", 100))
}
