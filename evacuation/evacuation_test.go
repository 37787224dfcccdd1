package evacuation_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/session"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEvacuationWithdrawnAndRepeatedWithinASecond(t *testing.T) {
	g := NewWithT(t)
	var s evacuation.State
	g.Expect(s.ApplyRecord(now, evacuation.Record{Zone: "a", Evacuated: true, Offset: 4})).To(Equal([]evacuation.Change{{Zone: "a", Evacuated: true}}))
	g.Expect(s.ApplyRecord(now, evacuation.Record{Zone: "a", Offset: 5})).To(Equal([]evacuation.Change{{Zone: "a"}}))
	withdrawn := s.Current()
	s.ApplyRecord(now, evacuation.Record{Zone: "a", Evacuated: true, Offset: 6})
	g.Expect(s.Update(now, withdrawn)).To(BeEmpty(), "a process with an older state changes nothing")
	g.Expect(s.Evacuated("a")).To(BeTrue())
}

// The store has dropped its history: the withdrawal can only be seen by the missing key.
func TestSnapshotWithoutTheKeyWithdraws(t *testing.T) {
	g := NewWithT(t)
	var s evacuation.State
	s.ApplyRecord(now, evacuation.Record{Zone: "a", Evacuated: true, Offset: 4})
	s.ApplyRecord(now, evacuation.Record{Zone: "b", Evacuated: true, Offset: 5})
	changes := s.ApplySnapshot(now, evacuation.Snapshot{Records: []evacuation.Record{{Zone: "b", Evacuated: true, Offset: 5}}, Next: 9})
	g.Expect(changes).To(Equal([]evacuation.Change{{Zone: "a"}}))
	g.Expect(s.Evacuated("b")).To(BeTrue(), "what was not deleted stays in force")
}

func TestExpectedRemainingIsLearnedFromPastEvacuations(t *testing.T) {
	g := NewWithT(t)
	var s evacuation.State
	s.ApplyRecord(now, evacuation.Record{Zone: "a", Evacuated: true, Offset: 1})
	_, known := s.ExpectedRemaining(now)
	g.Expect(known).To(BeFalse())
	s.ApplyRecord(now.Add(8*time.Second), evacuation.Record{Zone: "a", Offset: 2})
	s.ApplyRecord(now.Add(20*time.Second), evacuation.Record{Zone: "b", Evacuated: true, Offset: 3})
	left, known := s.ExpectedRemaining(now.Add(22 * time.Second))
	g.Expect(known).To(BeTrue())
	g.Expect(left).To(Equal(6 * time.Second))
}

// Processes read the topic in parts, by snapshots that miss what is written meanwhile, or
// from each other, in any order. Whoever knows the highest version knows the fold of the
// topic, and no process goes back.
func TestProcessesAgreeWithTheTopic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var topic []evacuation.Record
		folded := func(upTo int64) []string {
			zones := []string{}
			for _, r := range topic[:upTo] {
				zones = slices.DeleteFunc(zones, func(z string) bool { return z == r.Zone })
				if r.Evacuated {
					zones = append(zones, r.Zone)
				}
			}
			slices.Sort(zones)
			return zones
		}
		processes := make([]evacuation.State, 3)
		next := make([]int64, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			p, before := &processes[i], processes[i].Current().Version
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				topic = append(topic, evacuation.Record{
					Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Evacuated: rapid.Bool().Draw(t, "evacuated"), Offset: int64(len(topic)),
				})
			case 1:
				if next[i] < int64(len(topic)) {
					p.ApplyRecord(now, topic[next[i]])
					next[i]++
				}
			case 2:
				next[i] = rapid.Int64Range(0, int64(len(topic))).Draw(t, "snapshot")
				p.ApplySnapshot(now, snapshotOf(topic, next[i], rapid.Int64Range(next[i], int64(len(topic))).Draw(t, "read until")))
			case 4: // several records, of which the process may know some already
				until := rapid.Int64Range(next[i], int64(len(topic))).Draw(t, "batch until")
				p.Apply(now, evacuation.Batch{Records: topic[next[i]:until], Next: until})
				next[i] = until
			case 3:
				p.Update(now, processes[rapid.IntRange(0, 2).Draw(t, "peer")].Current())
			}
			if p.Current().Version < before {
				t.Fatalf("process %d went back from version %d to %d", i, before, p.Current().Version)
			}
		}
		for i := range processes {
			for next[i] < int64(len(topic)) {
				processes[i].ApplyRecord(now, topic[next[i]])
				next[i]++
			}
			if got := processes[i].Current(); !slices.Equal(got.Zones, folded(int64(len(topic)))) {
				t.Fatalf("process %d: %v at version %d, the topic says %v", i, got.Zones, got.Version, folded(int64(len(topic))))
			}
		}
	})
}

// snapshotOf returns the newest record of each zone that has one, as a reader sees them
// whose first page ends at the offset next and whose later pages contain records up to
// the offset until.
func snapshotOf(topic []evacuation.Record, next, until int64) evacuation.Snapshot {
	newest := make(map[string]evacuation.Record)
	for _, r := range topic[:until] {
		newest[r.Zone] = r
	}
	snap := evacuation.Snapshot{Next: next}
	for _, r := range newest {
		if r.Evacuated { // the store drops deleted keys
			snap.Records = append(snap.Records, r)
		}
	}
	return snap
}

// Guards against readers that call a view complete too long, which starts tasks in an
// evacuated zone, or never, which makes agents read: a reply without records says that there
// are none, and one that leaves records unread says nothing.
func TestViewIsStaleWithoutReplies(t *testing.T) {
	g := NewWithT(t)
	s := evacuation.New(now)
	g.Expect(s.Unheard(now.Add(evacuation.StaleAfter))).To(BeZero(), "a process that starts")
	late := now.Add(evacuation.StaleAfter + time.Millisecond)
	g.Expect(s.Unheard(late)).To(Equal(late.Sub(now)))
	s.Apply(late, evacuation.Batch{Next: 7, More: true})
	g.Expect(s.Unheard(late)).NotTo(BeZero())
	s.Update(late, session.Evacuation{Version: 9, Zones: []string{"a"}})
	g.Expect(s.Unheard(late)).NotTo(BeZero(), "a peer's state may be old itself")
	s.Apply(late, evacuation.Batch{Next: 7})
	g.Expect(s.Unheard(late)).To(BeZero())
	g.Expect(s.Current()).To(Equal(session.Evacuation{Version: 9, Zones: []string{"a"}}), "an older reply takes nothing back")
}

// Guards against agents that begin to read before records that their entries have read long
// ago, and so read the configuration, or find that those are no longer retained.
func TestVersionCountsRecordsOfOtherKinds(t *testing.T) {
	g := NewWithT(t)
	s := evacuation.New(now)
	s.Apply(now, evacuation.Batch{Records: []evacuation.Record{{Zone: "a", Evacuated: true, Offset: 2}}, Next: 6})
	g.Expect(s.Current()).To(Equal(session.Evacuation{Version: 6, Zones: []string{"a"}}))
	g.Expect(s.Apply(now, evacuation.Batch{Next: 9})).To(BeEmpty())
	g.Expect(s.Current()).To(Equal(session.Evacuation{Version: 9, Zones: []string{"a"}}))
}
