package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// exchangeInterval is the pause between exchanges with other entries.
	// fastExchangeInterval is used while the configuration topic is unavailable or
	// there is no configuration. Entries then receive a new version by exchanges. It
	// has to be in force within two seconds, of which the interval may take up to a
	// fifth.
	exchangeInterval     = 2 * time.Second
	fastExchangeInterval = 300 * time.Millisecond
	// peersPerExchange is the number of entries asked at each exchangeInterval. An
	// update reaches a dozen entries in two rounds.
	peersPerExchange = 3
	// peersPerFastExchange is the number of entries asked at each
	// fastExchangeInterval. An update reaches a dozen entries in one round and
	// forty in four.
	peersPerFastExchange = 12
)

// membersReadPause is the pause between reads of the agents' announcements. Each of
// 160 agents that start together would otherwise cause a read by each of 35 entries.
const membersReadPause = 100 * time.Millisecond

// receiver is the net/rpc receiver for one connection of another process.
type receiver struct {
	gateway *Gateway
}

// Exchange adds the sender to the membership. It replies with the processes that
// the sender may not know, and with the configuration if it is newer than the
// sender's.
func (r *receiver) Exchange(req *session.ExchangeRequest, reply *session.ExchangeReply) error {
	g := r.gateway
	if err := membership.Check(req.From); err != nil {
		level.Warn(g.logger).Log("event", "peer_rejected", "reason", err)
		return err
	}
	now := time.Now()
	g.members.Add(now, req.From)
	g.members.MarkReachable(now, req.From.Addr)
	if req.From.Role == session.RoleAgent {
		g.updateSubset()
		g.redialAgent(req.From.Addr)
	}
	reply.Known = g.members.ProcessesFor(g.self, req)
	g.updateEvacuation(req.Evacuation, "peer "+req.From.Name)
	reply.Evacuation = g.evacuation()
	if req.WantCancels {
		reply.Cancels = g.knownCancels()
	}
	reply.ConfigVersion = g.config.raw().Version
	if req.OmitConfig || reply.ConfigVersion <= req.ConfigVersion {
		return nil
	}
	cfg, err := g.config.encoded(req.AcceptGzip)
	if err != nil {
		level.Warn(g.logger).Log("event", "config_not_sent", "to", req.From.Name, "reason", err)
		return err
	}
	reply.Config = cfg
	return nil
}

// exchangeLoop periodically asks other entries for processes and for a newer
// configuration: a few entries at exchangeInterval, or more of them at
// fastExchangeInterval.
func (g *Gateway) exchangeLoop() {
	g.members.AddSeeds(time.Now(), g.opts.Seeds)
	for first := true; g.background.Err() == nil; first = false {
		peers := g.members.List(session.RoleEntry)
		pause, count := fastExchangeInterval, peersPerFastExchange
		if !g.configTopicUnavailable.Load() && g.Table() != nil {
			pause, count = exchangeInterval, peersPerExchange
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		var asked sync.WaitGroup
		for _, p := range peers[:min(len(peers), count)] {
			asked.Go(func() { g.exchangeWith(p) })
		}
		if first {
			go func() {
				asked.Wait()
				g.step(dispatch.CancelsLearned{All: true})
			}()
		}
		time.Sleep(pause)
	}
}

func (g *Gateway) exchangeWith(p session.Process) {
	reply, err := membership.Exchange(p.Addr, session.ExchangeRequest{
		From: g.self, ConfigVersion: g.config.raw().Version, Digest: g.members.Digest(), OmitConfig: true,
		Evacuation: g.evacuation(), WantCancels: g.wantsCancels(),
	})
	if err != nil {
		if g.members.MarkUnreachable(time.Now(), p.Addr) {
			level.Info(g.logger).Log("event", "peer_forgotten", "peer", p.Name, "addr", p.Addr, "reason", err)
		}
		return
	}
	now := time.Now()
	g.members.MarkReachable(now, p.Addr)
	g.members.Add(now, reply.Known...)
	g.updateEvacuation(reply.Evacuation, "peer "+p.Name)
	if g.wantsCancels() {
		g.step(dispatch.CancelsLearned{From: p.Name, Cancels: reply.Cancels, All: true})
	}
	g.updateConfig(reply.Config, "peer "+p.Name) // of an entry of an earlier build
	if reply.ConfigVersion > g.config.raw().Version {
		g.fetchConfigFromPeer(p, reply.ConfigVersion)
	}
	g.updateSubset()
}

func (g *Gateway) followMembers() {
	keyedlog.Follow(g.background, g.platform.Store, g.platform.MembersTopic, membersReadPause, &membersHandler{gateway: g})
}

// membersHandler processes the announcements of agents on the store.
type membersHandler struct {
	gateway *Gateway
}

// HandleBatch implements keyedlog.Handler.
func (h *membersHandler) HandleBatch(b keyedlog.Batch) {
	if len(b.Records) == 0 && !b.Snapshot {
		return
	}
	g := h.gateway
	g.logSkipped(g.platform.MembersTopic, b)
	var restarted []string // addresses of agents with a new incarnation
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			continue // the key was deleted
		}
		var p session.Process
		err := json.Unmarshal(r.Value, &p)
		if err == nil {
			err = membership.Check(p)
		}
		if err != nil {
			level.Warn(g.logger).Log("event", "member_unreadable", "key", r.Key, "offset", r.Offset, "reason", err)
			continue
		}
		if p.Role != session.RoleAgent {
			continue
		}
		if g.members.Replaces(p) {
			restarted = append(restarted, p.Addr)
		}
		if g.members.Add(time.Now(), p) {
			level.Info(g.logger).Log("event", "member_found", "agent", p.Name, "addr", p.Addr, "offset", r.Offset)
		}
	}
	g.updateSubset()
	for _, addr := range restarted {
		g.redialAgent(addr)
	}
}

// StoreUnavailable implements keyedlog.Handler.
func (h *membersHandler) StoreUnavailable(err error) {
	level.Warn(h.gateway.logger).Log("event", "store_lost", "topic", h.gateway.platform.MembersTopic, "reason", err)
}

// StoreAvailable implements keyedlog.Handler.
func (h *membersHandler) StoreAvailable() {
	level.Info(h.gateway.logger).Log("event", "store_regained", "topic", h.gateway.platform.MembersTopic)
}
