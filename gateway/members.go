package gateway

import (
	"encoding/json"
	"math/rand/v2"
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
	// exchangePeers is how many entries are asked while the store answers: news
	// spreads to a dozen entries in two rounds.
	exchangePeers = 3
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
	g.roster.MarkReachable(now, req.From.Addr)
	if req.From.Role == session.RoleAgent {
		g.ensureLinks()
		g.kickLink(req.From.Addr)
	}
	reply.Known = g.roster.ProcessesFor(g.self, req)
	if raw := g.config.raw(); raw.Version > req.ConfigVersion {
		reply.Config = raw
	}
	return nil
}

// exchange asks other entries for processes and newer configuration: a few of
// them now and then, all of them often while the store does not answer.
func (g *Gateway) exchange() {
	g.roster.AddSeeds(time.Now(), g.opts.Seeds)
	for g.background.Err() == nil {
		peers := g.roster.List(session.RoleEntry)
		pause := exchangeWithoutLog
		if !g.storeOut.Load() && g.Table() != nil {
			pause = exchangeEvery
			rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			peers = peers[:min(len(peers), exchangePeers)]
		}
		for _, p := range peers {
			go g.exchangeWith(p)
		}
		time.Sleep(pause)
	}
}

func (g *Gateway) exchangeWith(p session.Process) {
	reply, err := roster.Exchange(p.Addr, session.ExchangeRequest{
		From: g.self, ConfigVersion: g.config.raw().Version, Digest: g.roster.Digest(),
	})
	if err != nil {
		if g.roster.MarkUnreachable(time.Now(), p.Addr) {
			level.Info(g.logger).Log("event", "peer_forgotten", "peer", p.Name, "addr", p.Addr, "reason", err)
		}
		return
	}
	now := time.Now()
	g.roster.MarkReachable(now, p.Addr)
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

// HandleRecords implements keyedlog.Handler.
func (h *membersHandler) HandleRecords(records []keyedlog.Record) {
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

// StoreUnavailable implements keyedlog.Handler.
func (h *membersHandler) StoreUnavailable(err error) {
	level.Warn(h.gateway.logger).Log("event", "store_lost", "topic", h.gateway.platform.MembersTopic, "reason", err)
}

// StoreAvailable implements keyedlog.Handler.
func (h *membersHandler) StoreAvailable() {
	level.Info(h.gateway.logger).Log("event", "store_regained", "topic", h.gateway.platform.MembersTopic)
}
