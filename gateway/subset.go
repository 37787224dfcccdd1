package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// subsetInterval is the interval at which the subset is adjusted to agents that
	// failed or returned and to the load.
	subsetInterval = 500 * time.Millisecond
	// unusableAfter is how long an agent must be unreachable or not ready before
	// another takes its place in the subset. It covers a restart of the agent and
	// the next heartbeat of its server.
	unusableAfter = 2 * time.Second
	// settleTime is how long after its start an entry may not know all other entries
	// yet: one exchangeInterval and a reserve.
	settleTime = 3 * time.Second
	// lowFreeShare and highFreeShare are the free shares of the subset's capacity
	// below which the subset is widened and above which it is narrowed again.
	lowFreeShare, highFreeShare = 0.15, 0.4
	// wideningStep and narrowingStep are the factors of one adjustment,
	// maxWidening bounds their product.
	wideningStep, narrowingStep, maxWidening = 1.5, 0.9, 2.0
)

// maintainSubset adjusts the subset until the process stops.
func (g *Gateway) maintainSubset() {
	for g.background.Err() == nil {
		ctxsleep.For(g.background, subsetInterval)
		g.adjustWidening()
		g.updateSubset()
	}
}

// adjustWidening widens the subset while its servers are nearly full, and narrows it
// again when they are not. An overloaded entry has no processor time for more sessions.
func (g *Gateway) adjustWidening() {
	g.mu.Lock()
	share, ok := g.dispatcher.FreeShare()
	g.mu.Unlock()
	g.connectorsMu.Lock()
	defer g.connectorsMu.Unlock()
	switch {
	case ok && share < lowFreeShare:
		if !g.overloaded() {
			g.widening = min(g.widening*wideningStep, maxWidening)
		}
	case !ok || share > highFreeShare:
		g.widening = max(g.widening*narrowingStep, 1)
	}
}

// updateSubset keeps a connector for each agent of the subset. Sessions with other
// agents are closed once they have no tasks.
func (g *Gateway) updateSubset() {
	now := time.Now()
	services := membership.ByService(g.members.List(session.RoleAgent))
	racks := g.wantedRacks(now)
	g.connectorsMu.Lock()
	defer g.connectorsMu.Unlock()
	wanted := make(map[string]bool)
	for _, agents := range services {
		g.connectSubset(agents, now, wanted)
		g.connectRacks(agents, racks, wanted)
	}
	for addr, c := range g.connectors {
		if !wanted[addr] {
			g.retire(c)
		}
	}
}

// connectSubset starts connectors for the subset of the agents of one service and adds
// their addresses to wanted. These are the agents that this entry prefers, as many as
// subsetSize says, not counting those that are unusable. The caller holds
// g.connectorsMu.
func (g *Gateway) connectSubset(agents []session.Process, now time.Time, wanted map[string]bool) {
	size := g.subsetSize(len(agents), now)
	usable := 0
	for _, p := range membership.Rank(g.self.Addr, agents) {
		if usable >= size {
			return
		}
		if c := g.want(p.Addr, wanted); !c.unusableFor(now, unusableAfter) {
			usable++
		}
	}
}

// want adds the address of an agent to wanted and returns its connector. The caller holds
// g.connectorsMu.
func (g *Gateway) want(addr string, wanted map[string]bool) *agentConnector {
	wanted[addr] = true
	c := g.connectors[addr]
	if c == nil {
		c = g.startConnector(addr)
	}
	return c
}

// subsetSize returns the number of usable agents wanted. The caller holds
// g.connectorsMu.
func (g *Gateway) subsetSize(agents int, now time.Time) int {
	size := membership.InitialSubsetSize(agents)
	if now.Sub(g.startedAt) >= settleTime {
		size = membership.WeightedSubsetSize(agents, g.self, g.members.List(session.RoleEntry))
	}
	return min(int(g.widening*float64(size)), agents)
}

// startConnector starts the connector of an agent. The caller holds g.connectorsMu.
func (g *Gateway) startConnector(addr string) *agentConnector {
	c := &agentConnector{gateway: g, addr: addr, redial: make(chan struct{}, 1)}
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(g.background)
	g.connectors[addr] = c
	go c.run(ctx)
	return c
}

// retire ends a connector that is not in the subset: at once if it has no open
// session, else when its session has no tasks. The caller holds g.connectorsMu.
func (g *Gateway) retire(c *agentConnector) {
	if id := dispatch.SessionID(c.sessionID.Load()); id != 0 {
		go g.step(dispatch.SessionRetired{ID: id})
		return
	}
	c.cancel()
	delete(g.connectors, c.addr)
}

// closeSession ends the connector of a session that the dispatcher has given up. The
// caller holds g.mu.
func (g *Gateway) closeSession(id dispatch.SessionID) {
	s := g.sessions[id]
	if s == nil {
		return
	}
	delete(g.sessions, id)
	s.connector.cancel()
	s.client.Close()
	level.Debug(g.logger).Log("event", "session_retired", "addr", s.connector.addr)
}
