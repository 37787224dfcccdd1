package gateway

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// ServesGroups reports whether jobs are served that want all their tasks on one rack.
func (g *Gateway) ServesGroups() bool { return g.opts.Scheduling.Places }

// wantedRacks are the racks whose agents an entry keeps sessions with in addition to its
// subset.
type wantedRacks struct {
	racks  []string
	groups bool // some racks for jobs that want all their tasks on one rack
}

func (g *Gateway) wantedRacks(now time.Time) wantedRacks {
	g.mu.Lock()
	defer g.mu.Unlock()
	var w wantedRacks
	w.racks, w.groups = g.dispatcher.WantedRacks(now)
	return w
}

// connectRacks starts connectors for the agents of one service on the wanted racks and
// adds their addresses to wanted. The caller holds g.connectorsMu.
func (g *Gateway) connectRacks(agents []session.Process, w wantedRacks, wanted map[string]bool) {
	racks := w.racks
	if w.groups {
		racks = slices.Concat(racks, membership.GroupRacks(g.self.Addr, agents))
	}
	for _, p := range membership.OfRacks(g.self.Addr, agents, racks) {
		g.want(p.Addr, wanted)
	}
}
