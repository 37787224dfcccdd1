package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

func agents(n int) []session.Process {
	list := make([]session.Process, n)
	for i := range list {
		list[i] = session.Process{Role: session.RoleAgent, Addr: fmt.Sprintf("10.%d.%d.%d:7720", 1+i%5, i/250, i%250)}
	}
	return list
}

func entryAddr(i int) string { return fmt.Sprintf("10.%d.9.%d:8166", 1+i%5, i) }

// subsets returns the subset of each entry as addresses.
func subsets(entries int, all []session.Process) [][]string {
	size := membership.SubsetSize(len(all), entries)
	list := make([][]string, entries)
	for i := range list {
		for _, p := range membership.Rank(entryAddr(i), all)[:size] {
			list[i] = append(list[i], p.Addr)
		}
	}
	return list
}

// Subsetting: a full mesh of 35 entries and 160 agents had 5,600 sessions that were
// polled five times a second, and most of the processor time went there.
func TestSubsetSizeIsFlatInNumberOfAgents(t *testing.T) {
	g := NewWithT(t)
	g.Expect(membership.SubsetSize(11, 3)).To(Equal(11), "a small service is covered whole")
	g.Expect(membership.SubsetSize(160, 35)).To(Equal(37))
	g.Expect(membership.SubsetSize(650, 142)).To(Equal(37))
	g.Expect(membership.SubsetSize(650, 3)).To(Equal(650), "few entries cover all agents")
	g.Expect(membership.SubsetSize(0, 0)).To(Equal(0))
}

// After a power loss each entry knew only three seeds and opened sessions with all
// 160 agents at once, on 0.144 cores.
func TestStartingEntryDoesNotTakeAllAgents(t *testing.T) {
	g := NewWithT(t)
	g.Expect(membership.SubsetSize(160, 4)).To(Equal(160))
	g.Expect(membership.InitialSubsetSize(160)).To(Equal(32))
	g.Expect(membership.InitialSubsetSize(11)).To(Equal(11))
}

func TestSubsetsCoverAllAgents(t *testing.T) {
	for _, size := range []struct{ entries, agents int }{{3, 11}, {13, 72}, {35, 160}, {142, 650}} {
		t.Run(fmt.Sprintf("%d entries, %d agents", size.entries, size.agents), func(t *testing.T) {
			g := NewWithT(t)
			covered := make(map[string]int)
			for _, subset := range subsets(size.entries, agents(size.agents)) {
				for _, addr := range subset {
					covered[addr]++
				}
			}
			g.Expect(covered).To(HaveLen(size.agents))
		})
	}
}

// A service of five servers among 160 agents would be covered by one or two of an
// entry's sessions, or by none.
func TestAgentsAreGroupedByService(t *testing.T) {
	g := NewWithT(t)
	all := agents(160)
	for i := range all {
		all[i].Service = "large"
	}
	for i := range 5 {
		all[i*30].Service = "small"
	}
	groups := membership.ByService(all)
	g.Expect(groups["small"]).To(HaveLen(5))
	g.Expect(membership.SubsetSize(len(groups["small"]), 35)).To(Equal(5), "covered whole")
	g.Expect(groups["large"]).To(HaveLen(155))
}

// A change of the membership must not end the sessions with other agents.
func TestRankIsStableWhenAgentsChange(t *testing.T) {
	g := NewWithT(t)
	all := agents(160)
	before := membership.Rank(entryAddr(1), all)
	without := membership.Rank(entryAddr(1), slices.DeleteFunc(slices.Clone(all), func(p session.Process) bool { return p.Addr == before[3].Addr }))
	g.Expect(without[:3]).To(Equal(before[:3]))
	g.Expect(without[3:]).To(Equal(before[4:]))
}

// Subsetting with least loaded of d: the balancer gives some entries three times the
// mean load and others none. Tasks placed on the least loaded agent of the entry's
// subset must still fill all agents almost evenly, so that no entry refuses tasks
// while there is free capacity elsewhere.
func TestUnevenEntriesLoadAgentsEvenly(t *testing.T) {
	g := NewWithT(t)
	const entries, agentCount, tasks, slots = 35, 160, 160 * 10 * 9 / 10, 10
	random := rand.New(rand.NewPCG(1, 1))
	all := agents(agentCount)
	chosen := subsets(entries, all)
	weights := make([]int, entries)
	for range 50 { // clients
		weights[random.IntN(entries)]++
	}
	var arrivals []int // entry of each task
	for i, w := range weights {
		for range w {
			arrivals = append(arrivals, i)
		}
	}
	load := make(map[string]int)
	refused := 0
	for range tasks {
		subset := chosen[arrivals[random.IntN(len(arrivals))]]
		least := slices.MinFunc(subset, func(a, b string) int { return load[a] - load[b] })
		if load[least] >= slots {
			refused++
			continue
		}
		load[least]++
	}
	g.Expect(refused).To(BeZero(), "at 90 %% of the capacity")
}
