package membership_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// weightedEntries returns entries of three availability zones: the given number of large and of small
// ones in each.
func weightedEntries(large, small [3]int) []session.Process {
	var list []session.Process
	for z := range 3 {
		for i := range large[z] + small[z] {
			p := session.Process{Role: session.RoleEntry, Addr: fmt.Sprintf("10.%d.9.%d:8166", 1+z, i), Zone: fmt.Sprintf("zone-%d", z), Processors: 0.8}
			if i >= large[z] {
				p.Processors = 0.192
			}
			list = append(list, p)
		}
	}
	return list
}

func weightedSize(agents int, entries []session.Process, i int) int {
	others := append(append([]session.Process(nil), entries[:i]...), entries[i+1:]...)
	return membership.WeightedSubsetSize(agents, entries[i], others)
}

// Guards against small entries whose processor time is spent on the polls of the whole mesh.
func TestSmallEntryKeepsFewerSessions(t *testing.T) {
	g := NewWithT(t)
	entries := weightedEntries([3]int{2, 2, 0}, [3]int{1, 1, 2})
	g.Expect(membership.SubsetSize(53, len(entries))).To(Equal(53))
	g.Expect(weightedSize(53, entries, 0)).To(Equal(53))
	g.Expect(weightedSize(53, entries, len(entries)-1)).To(Equal(32))
	g.Expect(weightedSize(20, entries, len(entries)-1)).To(Equal(20), "a small service is covered whole")
}

// Guards against sizes that change for entries of equal size or of earlier builds, which do
// not announce their processor time.
func TestEqualEntriesKeepEqualSubsets(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 3, 13, 35} {
		entries := weightedEntries([3]int{n, n, n}, [3]int{})
		g.Expect(weightedSize(160, entries, n)).To(Equal(membership.SubsetSize(160, 3*n)))
		for i := range entries {
			entries[i].Processors, entries[i].Zone = 0, ""
		}
		g.Expect(weightedSize(160, entries, n)).To(Equal(membership.SubsetSize(160, 3*n)))
	}
}

// Guards against agents that all entries leave out, also while an availability zone is lost:
// their servers would be idle. Where weighted subsets could leave out an agent, they are those
// of SubsetSize.
func TestWeightedSubsetsCoverAllAgents(t *testing.T) {
	for _, c := range []struct {
		agents       int
		large, small [3]int
		weighted     bool
	}{
		{53, [3]int{2, 2, 0}, [3]int{1, 1, 2}, true},
		{53, [3]int{4, 0, 0}, [3]int{0, 2, 2}, true},
		{72, [3]int{2, 2, 3}, [3]int{2, 2, 2}, true},
		{72, [3]int{1, 0, 0}, [3]int{0, 6, 6}, true},
		{160, [3]int{6, 6, 6}, [3]int{6, 6, 5}, false},
		{160, [3]int{2, 2, 0}, [3]int{1, 1, 2}, true},
		{160, [3]int{4, 0, 0}, [3]int{0, 2, 2}, true},
		{650, [3]int{1, 1, 1}, [3]int{9, 9, 9}, true},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			entries := weightedEntries(c.large, c.small)
			all := agents(c.agents)
			for _, lost := range []string{"", "zone-0", "zone-1", "zone-2"} {
				weighted, equal := make(map[string]bool), make(map[string]bool)
				for i, e := range entries {
					if e.Zone == lost {
						continue
					}
					ranked := membership.Rank(e.Addr, all)
					for _, p := range ranked[:weightedSize(c.agents, entries, i)] {
						weighted[p.Addr] = true
					}
					for _, p := range ranked[:membership.SubsetSize(c.agents, len(entries))] {
						equal[p.Addr] = true
					}
				}
				if c.weighted {
					g.Expect(weighted).To(HaveLen(c.agents), "lost: %q", lost)
				} else {
					g.Expect(weighted).To(Equal(equal), "lost: %q", lost)
				}
			}
		})
	}
}

// Guards against an announcement of another writer that changes the subsets of all entries.
func TestUnusableProcessorsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	entries := weightedEntries([3]int{4, 4, 4}, [3]int{})
	entries[0].Processors = -1
	entries[1].Processors = 1e300
	g.Expect(weightedSize(160, entries, 5)).To(Equal(membership.SubsetSize(160, 12)))
}
