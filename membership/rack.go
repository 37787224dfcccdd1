package membership

import (
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/internal/rendezvous"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// agentsPerRack is the largest number of agents of one rack that are added to a
	// subset. A rack of this size or less is held whole.
	agentsPerRack = 16
	// groupRacks is the number of racks that an entry holds whole for jobs that want all
	// their tasks on one rack, so that one can be lost.
	groupRacks = 2
)

// OfRacks returns the agents whose backend servers are on one of the racks, at most
// agentsPerRack of each: those that the entry at the address self prefers. Agents of
// earlier builds do not announce their rack and are not included.
func OfRacks(self string, agents []session.Process, racks []string) []session.Process {
	if len(racks) == 0 {
		return nil
	}
	byRack := make(map[string][]session.Process)
	for _, p := range agents {
		if p.Rack != "" && slices.Contains(racks, p.Rack) {
			byRack[p.Rack] = append(byRack[p.Rack], p)
		}
	}
	var list []session.Process
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		ranked := Rank(self, byRack[rack])
		list = append(list, ranked[:min(len(ranked), agentsPerRack)]...)
	}
	return list
}

// GroupRacks returns the racks that the entry at the address self holds whole for jobs
// that want all their tasks on one rack. Each entry prefers other ones.
func GroupRacks(self string, agents []session.Process) []string {
	var racks []string
	for _, p := range agents {
		if p.Rack != "" && !slices.Contains(racks, p.Rack) {
			racks = append(racks, p.Rack)
		}
	}
	ranked := rendezvous.Rank(self, racks, func(rack string) string { return rack })
	return ranked[:min(len(ranked), groupRacks)]
}
