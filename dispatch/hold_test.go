package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// startedHarness returns a harness of an entry that has just started.
func startedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{
		Entry: "entry-1", Zone: "zone-a", Started: h.now, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention,
	})
	return h
}

// Late binding: after a power loss the first entry that returned bound all jobs to
// the two agents it had found. They queued there for 600 ms while eleven agents that
// joined within 200 ms were idle.
func TestJobsOfStartingEntryAwaitMoreAgents(t *testing.T) {
	h := startedHarness(t)
	h.agent(1, idle)
	h.submit("first", 3, 6000, 100*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 3}), "tasks that can start at once are placed")

	h.submit("second", 3, 6000, 100*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
	h.now = h.now.Add(30 * time.Millisecond)
	h.agent(2, idle)
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 3}))
}

func TestAwaitingJobsAreQueuedWhenHoldTimeIsOver(t *testing.T) {
	h := startedHarness(t)
	h.agent(1, idle)
	h.submit("first", 3, 6000, 200*time.Millisecond)
	h.submit("second", 3, 6000, 200*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
	h.Expect(h.d.NextWake()).To(Equal(start.Add(dispatch.HoldTimeout)))
	h.now = start.Add(dispatch.HoldTimeout - 100*time.Millisecond)
	h.poll(1, idle) // keeps the state of the agent recent
	h.now = start.Add(dispatch.HoldTimeout)
	h.step(dispatch.Ticked{})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 3}))
	h.submit("third", 6, 6000, 200*time.Millisecond)
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 6}), "an entry that has been running queues tasks at agents")
}
