package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newZonedHarness has one idle agent in each of the availability zones.
func newZonedHarness(t *testing.T, zones ...string) *harness {
	h := newHarness(t)
	for i, zone := range zones {
		id := dispatch.SessionID(i + 1)
		h.step(dispatch.SessionOpened{ID: id, Agent: fmt.Sprintf("agent-%d", id), Zone: zone, State: h.state(idle)})
	}
	return h
}

func (h *harness) evacuate(remaining time.Duration, zones ...string) {
	h.step(dispatch.EvacuationChanged{Zones: zones, ExpectedRemaining: remaining})
}

func (h *harness) usedAgents(job string) []dispatch.SessionID {
	h.submit(job, 2, 1000, 100*time.Millisecond)
	counts, _ := h.placed()
	var used []dispatch.SessionID
	for id := range counts {
		used = append(used, id)
	}
	return used
}

func TestNothingIsPlacedInEvacuatedZone(t *testing.T) {
	h := newZonedHarness(t, "zone-a", "zone-a", "zone-a", "zone-b")
	h.evacuate(0, "zone-a") // the zone with most of the capacity, and this entry's own
	for i := range 5 {
		h.Expect(h.usedAgents(fmt.Sprintf("job-%d", i))).To(Equal([]dispatch.SessionID{4}))
	}
}

func TestTwoZonesAreEvacuatedInTurn(t *testing.T) {
	h := newZonedHarness(t, "zone-a", "zone-b")
	h.evacuate(0, "zone-a")
	h.Expect(h.usedAgents("first")).To(Equal([]dispatch.SessionID{2}))
	h.evacuate(0, "zone-b")
	h.Expect(h.usedAgents("second")).To(Equal([]dispatch.SessionID{1}))
	h.evacuate(0, "zone-a", "zone-b")
	h.Expect(h.usedAgents("third")).To(BeEmpty())
	h.evacuate(0)
	h.Expect(h.usedAgents("fourth")).NotTo(BeEmpty())
}

// A task that its agent has returned goes to another zone at once.
func TestTaskReturnedByEvacuatedAgentIsPlacedElsewhere(t *testing.T) {
	h := newZonedHarness(t, "zone-a", "zone-b")
	h.submit("job", 1, 1000, 100*time.Millisecond)
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
	h.evacuate(0, "zone-a")
	h.report(1, idle, ids[0], session.NotStarted)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

func TestJobIsRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	h := newZonedHarness(t, "zone-a", "zone-b")
	h.evacuate(7*time.Second, "zone-a", "zone-b")
	h.now = h.now.Add(time.Second)
	h.submit("job", 1, 1000, 100*time.Millisecond)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.Expect(refused[0].Error.RetryAfter).To(Equal(6*time.Second), "the zone is expected back then")
	h.Expect(refused[0].Error.Message).To(ContainSubstring("evacuated availability zones (zone-a, zone-b)"))
}

// An entry that has just started knows only agents of the evacuated zone for some ms.
func TestStartedEntryHoldsJobsUntilItKnowsAgentsOfOtherZones(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	h.evacuate(0, "zone-a")
	h.step(dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	h.submit("job", 1, 1000, 100*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
	h.now = h.now.Add(50 * time.Millisecond)
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-2", Zone: "zone-b", State: h.state(idle)})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 1}))
}

// An entry that resumes has lost its sessions; the one with an evacuated agent may be open
// again first.
func TestResumedEntryHoldsJobsUntilAgentsOfOtherZonesJoin(t *testing.T) {
	h := newZonedHarness(t, "zone-a", "zone-b")
	h.evacuate(0, "zone-a")
	h.now = h.now.Add(10 * time.Second)
	h.step(dispatch.SessionEnded{ID: 2, LastHeard: h.now})
	h.step(dispatch.SessionOpened{ID: 3, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	h.submit("job", 1, 1000, 100*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
}

func TestJobThatOnlyEvacuatedServersFitIsToldOfTheEvacuation(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle) // in zone-a
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-2", Zone: "zone-b", State: h.state(serverState{capacity: 5_000, free: 5_000, slowness: 1000})})
	h.evacuate(3*time.Hour, "zone-a")
	h.submit("large", 1, 6_000, 100*time.Millisecond)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Message).To(ContainSubstring("evacuated"))
	h.Expect(refused[0].Error.RetryAfter).To(Equal(30 * time.Second))
}

// The capacity that a cold server withholds counts as free when it is warm.
func TestJobWaitsForColdServerOnlyIfItIsWarmInTime(t *testing.T) {
	h := newHarness(t)
	cold := func(ms int) session.State {
		s := h.state(serverState{capacity: 20_000, free: 5_000, slowness: 1000})
		s.ColdMs = ms
		return s
	}
	h.step(dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: cold(2000)})
	h.submit("early", 1, 15_000, 100*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(HaveLen(1))
	h.step(dispatch.PollReplied{ID: 1, Reply: session.PollReply{State: cold(100)}})
	h.submit("later", 1, 15_000, 100*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
}
