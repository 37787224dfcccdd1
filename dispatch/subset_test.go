package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// A session that leaves the subset of the entry is closed only when it has no tasks:
// closing it earlier would stop them.
func TestRetiredSessionIsClosedWhenItHasNoTasks(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("hold", 1, 6000, 60*time.Millisecond)
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))

	h.step(dispatch.SessionRetired{ID: 1})
	h.Expect(effects[dispatch.CloseSession](h)).To(BeEmpty())

	h.report(1, idle, ids[0], session.Done)
	h.Expect(effects[dispatch.Answered](h)).To(HaveLen(1))
	h.step(dispatch.SessionRetired{ID: 1})
	h.Expect(effects[dispatch.CloseSession](h)).To(Equal([]dispatch.CloseSession{{ID: 1}}))

	h.step(dispatch.SessionEnded{ID: 1, LastHeard: h.now, Reason: "closed"})
	h.agent(2, idle)
	h.submit("next", 1, 6000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

func TestFreeShareCountsReadyAgents(t *testing.T) {
	h := newHarness(t)
	_, ok := h.d.FreeShare()
	h.Expect(ok).To(BeFalse())
	h.agent(1, serverState{capacity: 20_000, free: 5_000, slowness: 1000, queue: []session.QueuedTask{{CPU: 10_000, Ms: 50, StartWithin: 100}}})
	h.agent(2, idle)
	share, ok := h.d.FreeShare()
	h.Expect(ok).To(BeTrue())
	h.Expect(share).To(BeNumerically("~", 0.5, 0.001), "a queue beyond the free capacity counts as none free")
}
