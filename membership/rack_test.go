package membership_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// An entry of 35 holds 37 of 160 agents, and none of some racks of eight.
func TestSubsetLacksRacksThatOfRacksAdds(t *testing.T) {
	g := NewWithT(t)
	all := agents(160)
	for i := range all {
		all[i].Rack = fmt.Sprint("r", i/8)
	}
	lacking := 0
	for i := range 35 {
		held := make(map[string]bool)
		for _, p := range membership.Rank(entryAddr(i), all)[:membership.SubsetSize(160, 35)] {
			held[p.Rack] = true
		}
		if !held["r3"] {
			lacking++
		}
		g.Expect(membership.OfRacks(entryAddr(i), all, []string{"r3"})).To(ConsistOf(all[24:32]))
		g.Expect(membership.GroupRacks(entryAddr(i), all)).To(HaveLen(2))
	}
	g.Expect(lacking).To(BeNumerically(">", 0), "the fault that is answered")
	g.Expect(membership.OfRacks(entryAddr(0), agents(160), []string{"r3", ""})).To(BeEmpty(), "agents of earlier builds")
}

// An agent that has just started announces itself before its server has registered.
func TestRackIsLearnedLater(t *testing.T) {
	g := NewWithT(t)
	table := membership.New("10.0.0.1:1")
	p := process(session.RoleAgent, 2)
	table.Add(now, p)
	p.Rack = "r1"
	table.Add(now, p)
	g.Expect(table.List(session.RoleAgent)[0].Rack).To(Equal("r1"))
	p.Rack = ""
	table.Add(now, p)
	g.Expect(table.List(session.RoleAgent)[0].Rack).To(Equal("r1"), "news from a process that does not know it yet")
}
