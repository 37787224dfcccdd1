package coordinator_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TestPauseOfEntryIsNotAgentSilence pauses the entry for an hour, which must
// not count as silence of an agent. An agent that is then silent while the
// entry runs is dropped.
func TestPauseOfEntryIsNotAgentSilence(t *testing.T) {
	g := NewWithT(t)
	c := coordinator.New(coordinator.Options{Self: structs.EntryInfo{Incarnation: 1}})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	dropped := func(ev coordinator.Event) bool {
		return slices.Contains(c.Step(now, ev), coordinator.Effect(coordinator.DropAgent{Agent: 2}))
	}
	c.Step(now, coordinator.AgentAnnounced{Info: structs.AgentInfo{Incarnation: 2, Service: "faq", Slots: 1}})
	now = now.Add(time.Hour)
	g.Expect(dropped(coordinator.Ticked{})).To(BeFalse(), "agent dropped because the entry itself was paused")
	lost := false
	for range 200 {
		now = now.Add(coordinator.TickInterval)
		lost = lost || dropped(coordinator.Ticked{})
	}
	g.Expect(lost).To(BeTrue(), "a silent agent must be dropped")
}
