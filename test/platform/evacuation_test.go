package platform_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
)

// evacuationBound is the platform's bound for an evacuation to be in force.
const evacuationBound = 5 * time.Second

// evacuate writes the operators' record that evacuates a zone, restore deletes it.
func (s *system) evacuate(zone string) { s.store.Put("keyed.op", "evacuate/"+zone, []byte("{}")) }
func (s *system) restore(zone string)  { s.store.Put("keyed.op", "evacuate/"+zone, nil) }

// startsIn returns how many tasks have started at the servers of a zone.
func (s *system) startsIn(zone string) int {
	s.invariants.mu.Lock()
	defer s.invariants.mu.Unlock()
	n := 0
	for i, a := range s.agents {
		if a.zone == zone {
			n += s.invariants.startsByServer[fmt.Sprintf("server-%d", i)]
		}
	}
	return n
}

// submitUntilEnd submits jobs through all entries until the test ends.
func (s *system) submitUntilEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var n atomic.Int64
	for i := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for ctx.Err() == nil {
				s.post(ctx, s.entries[i%len(s.entries)], fmt.Sprintf("%016x", n.Add(1)), 3, 30, 1000, "ok")
			}
		}()
	}
	t.Cleanup(func() {
		cancel()
		callers.Wait()
	})
}

// expectUse checks that tasks start in a zone, or that none does for a second.
func (s *system) expectUse(g *WithT, zone string, used bool) {
	if used {
		before := s.startsIn(zone)
		g.Eventually(func() int { return s.startsIn(zone) }, evacuationBound, "20ms").Should(BeNumerically(">", before))
		return
	}
	g.Eventually(func() bool {
		before := s.startsIn(zone)
		time.Sleep(300 * time.Millisecond)
		return s.startsIn(zone) == before
	}, evacuationBound).Should(BeTrue())
	before := s.startsIn(zone)
	time.Sleep(time.Second)
	g.Expect(s.startsIn(zone)).To(Equal(before), "tasks started in evacuated %s", zone)
}

func TestEvacuatedZoneIsEmptiedAndTakenBack(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	s.submitUntilEnd(t)
	s.expectUse(g, "zone-b", true)
	s.evacuate("zone-b")
	s.expectUse(g, "zone-b", false)
	s.evacuate("zone-a") // the zones in turn
	s.restore("zone-b")
	s.expectUse(g, "zone-a", false)
	s.expectUse(g, "zone-b", true)
	s.restore("zone-a")
	s.evacuate("zone-a")
	s.restore("zone-a")
	s.expectUse(g, "zone-a", true)
}

// Processes that start while the operators' topic is unavailable learn of the evacuation
// from agents, other entries or the copy on the store.
func TestEvacuationSurvivesRestartsWhileItsTopicIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	s.submitUntilEnd(t)
	s.evacuate("zone-b")
	s.expectUse(g, "zone-b", false)
	g.Eventually(func() []byte { return s.store.Newest("keyed.chestnuthollow.config", "evacuations") }, "10s", "50ms").ShouldNot(BeEmpty())
	s.store.SetTopicMode("keyed.op", keyedstore.Unavailable)
	before := s.startsIn("zone-b")
	for _, p := range s.entries {
		p.kill()
		p.start()
		p.waitReady()
	}
	s.restartAll()
	s.expectUse(g, "zone-a", true)
	time.Sleep(time.Second)
	g.Expect(s.startsIn("zone-b")).To(Equal(before))
}

// Guards against starts in an evacuated zone while all entries are cut off from the store and
// the agents are not, and against a zone that stays empty after it was taken back then.
func TestEvacuationReachesAgentsWhileEntriesAreCutOff(t *testing.T) {
	g := NewWithT(t)
	s := newSystemWithPaths(t, 2, 4, true)
	s.submitUntilEnd(t)
	s.expectUse(g, "zone-b", true)
	s.storeProxy.setFaults(0, true, true)
	s.evacuate("zone-b")
	s.expectUse(g, "zone-b", false)
	s.expectUse(g, "zone-a", true)
	s.restore("zone-b")
	s.expectUse(g, "zone-b", true)
	s.evacuate("zone-a") // the agents' reads go on
	s.expectUse(g, "zone-a", false)
	s.storeProxy.setFaults(0, false, false)
	s.restore("zone-a")
	s.expectUse(g, "zone-a", true)
}

// Guards against an outage of the store that becomes one of the service: no view is current,
// and tasks go on starting in all zones.
func TestTasksStartWhileNobodyHearsTheTopic(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	s.submitUntilEnd(t)
	s.expectUse(g, "zone-a", true)
	s.store.SetMode(keyedstore.Unresponsive, 0)
	time.Sleep(5 * time.Second)
	s.expectUse(g, "zone-a", true)
	s.expectUse(g, "zone-b", true)
}

// The record is deleted and the history dropped while no entry can read the topic, so that
// nobody ever reads the deletion itself.
func TestWithdrawalIsSeenAfterTheStoreDropsItsHistory(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	s.submitUntilEnd(t)
	s.evacuate("zone-b")
	s.expectUse(g, "zone-b", false)
	s.store.SetTopicMode("keyed.op", keyedstore.Unavailable)
	time.Sleep(1500 * time.Millisecond) // the waiting reads have ended
	s.restore("zone-b")
	s.store.Truncate("keyed.op")
	s.store.SetTopicMode("keyed.op", keyedstore.Serving)
	s.expectUse(g, "zone-b", true)
}
