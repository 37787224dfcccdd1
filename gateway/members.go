package gateway

import (
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/roster"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// exchangeEvery is the pause between exchanges with other entries; while
	// the store does not answer they are the way to learn a new configuration,
	// and a fifth of the time in which one must be in force is allowed.
	exchangeEvery      = 2 * time.Second
	exchangeWithoutLog = 300 * time.Millisecond
)

// peerReceiver serves other processes of the system.
type peerReceiver struct {
	gateway *Gateway
}

// Exchange takes in a process and answers with all that are known.
func (r *peerReceiver) Exchange(req *session.ExchangeRequest, reply *session.ExchangeReply) error {
	g := r.gateway
	now := time.Now()
	g.roster.Add(now, req.From)
	g.roster.Reached(now, req.From.Addr)
	if req.From.Role == session.RoleAgent {
		g.ensureLinks()
		g.kickLink(req.From.Addr)
	}
	reply.Known = append(g.roster.List(""), g.self)
	if raw := g.config.raw(); raw.Version > req.ConfigVersion {
		reply.Config = raw
	}
	return nil
}

// exchange asks the other entries for processes and newer configuration, now
// and then.
func (g *Gateway) exchange() {
	for _, addr := range g.opts.Seeds {
		g.roster.Add(time.Now(), session.Process{Name: "seed", Role: session.RoleEntry, Addr: addr})
	}
	for g.background.Err() == nil {
		for _, p := range g.roster.List(session.RoleEntry) {
			go g.exchangeWith(p)
		}
		pause := exchangeEvery
		if g.storeOut.Load() || g.Table() == nil {
			pause = exchangeWithoutLog
		}
		time.Sleep(pause)
	}
}

func (g *Gateway) exchangeWith(p session.Process) {
	reply, err := roster.Exchange(p.Addr, session.ExchangeRequest{From: g.self, ConfigVersion: g.config.raw().Version})
	if err != nil {
		if g.roster.Unreachable(time.Now(), p.Addr) {
			level.Info(g.logger).Log("event", "peer_forgotten", "peer", p.Name, "addr", p.Addr, "reason", err)
		}
		return
	}
	now := time.Now()
	g.roster.Reached(now, p.Addr)
	g.roster.Add(now, reply.Known...)
	g.takeConfig(reply.Config, "peer "+p.Name)
	g.ensureLinks()
}

func (g *Gateway) followMembers() {
	keyedlog.Follow(g.background, g.platform.Store, g.platform.MembersTopic, &membersHandler{gateway: g})
}

// membersHandler takes in the agents' announcements.
type membersHandler struct {
	gateway *Gateway
}

// Read implements keyedlog.Handler.
func (h *membersHandler) Read(records []keyedlog.Record) {
	g := h.gateway
	for _, r := range records {
		var p session.Process
		if err := json.Unmarshal(r.Value, &p); err != nil {
			level.Warn(g.logger).Log("event", "member_unreadable", "key", r.Key, "offset", r.Offset, "reason", err)
			continue
		}
		if p.Role != session.RoleAgent {
			continue
		}
		if g.roster.Add(time.Now(), p) {
			level.Info(g.logger).Log("event", "member_found", "agent", p.Name, "addr", p.Addr, "offset", r.Offset)
		}
	}
	g.ensureLinks()
}

// Lost implements keyedlog.Handler.
func (h *membersHandler) Lost(err error) {
	level.Warn(h.gateway.logger).Log("event", "store_lost", "topic", h.gateway.platform.MembersTopic, "reason", err)
}

// Regained implements keyedlog.Handler.
func (h *membersHandler) Regained() {
	level.Info(h.gateway.logger).Log("event", "store_regained", "topic", h.gateway.platform.MembersTopic)
}
