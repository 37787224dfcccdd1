package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// configFetchTimeouts bound reading the configuration from an agent.
var configFetchTimeouts = rpcconn.Timeouts{Dial: dialTimeout, Idle: 500 * time.Millisecond, Total: 10 * time.Second}

// configuration holds the newest known version of the operators' configuration.
// Its version only increases.
type configuration struct {
	table  atomic.Pointer[routing.Table]
	loaded chan struct{} // closed when the first version is in force
	// changed signals copyConfig that a new version or changed evacuations are in force.
	changed chan struct{}

	compressor session.Compressor

	mu      sync.Mutex
	current session.Config
}

func newConfiguration() configuration {
	return configuration{loaded: make(chan struct{}), changed: make(chan struct{}, 1)}
}

// raw returns the configuration in its encoded form, as kept in the store.
func (c *configuration) raw() session.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// encoded returns the configuration as sent to another process, compressed if it
// accepts that.
func (c *configuration) encoded(acceptGzip bool) (session.Config, error) {
	current := c.raw()
	if !acceptGzip {
		return current, nil
	}
	return c.compressor.Compress(current)
}

// AwaitTable returns the configuration in force. If there is none yet, it waits
// until the entry has been running for dispatch.HoldTimeout, which is also how long
// jobs are held for agents, and returns nil if none has arrived by then.
func (g *Gateway) AwaitTable(ctx context.Context) *routing.Table {
	remaining := dispatch.HoldTimeout - time.Since(g.startedAt)
	if t := g.Table(); t != nil || remaining <= 0 {
		return t
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-g.config.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Table()
}

// updateConfig puts a version of the configuration in force if it is newer. Source
// states in the log where it was received from.
func (g *Gateway) updateConfig(cfg session.Config, source string) {
	if len(cfg.Text) == 0 {
		return
	}
	t, err := g.platform.DecodeConfig(cfg.Text)
	if err != nil {
		g.metrics.configErrors.Inc(1)
		level.Warn(g.logger).Log("event", "config_unreadable", "source", source, "reason", err)
		return
	}
	g.config.mu.Lock()
	defer g.config.mu.Unlock()
	if t.Version <= g.config.current.Version {
		return
	}
	level.Info(g.logger).Log("event", "config_in_force", "version", t.Version, "before", g.config.current.Version,
		"source", source, "queues", t.Len())
	if n := len(t.Unreadable); n > 0 {
		g.metrics.configErrors.Inc(1)
		level.Warn(g.logger).Log("event", "config_incomplete", "version", t.Version, "left_out", n, "first", t.Unreadable[0])
	}
	if largest := g.bodies.LargestBody(); t.MaxBody > largest {
		level.Warn(g.logger).Log("event", "body_limit_lowered", "version", t.Version, "configured_bytes", t.MaxBody, "limit_bytes", largest)
	}
	g.config.current = session.Config{Version: t.Version, Text: cfg.Text}
	if g.config.table.Swap(t) == nil {
		close(g.config.loaded)
	}
	g.metrics.configVersion.Update(t.Version)
	g.config.signalChanged()
}

// signalChanged signals copyConfig that there is something to copy.
func (c *configuration) signalChanged() {
	select {
	case c.changed <- struct{}{}:
	default: // copyConfig has already been signaled
	}
}

// fetchConfig gets the configuration by the given call from a process that has a
// newer version, unless another source provides it first. The caller holds
// g.configFetch, so that only one process at a time is asked: after a loss of all
// entries every agent has it, and while the store is away every peer, and the copies
// would fill the link of a small entry.
func (g *Gateway) fetchConfig(source string, version int64, call func() (session.Config, error)) {
	if g.config.raw().Version >= version {
		return
	}
	cfg, err := call()
	if err == nil {
		cfg, err = cfg.Decompress()
	}
	if err != nil {
		level.Warn(g.logger).Log("event", "config_unread", "source", source, "version", version, "reason", err)
		return
	}
	g.updateConfig(cfg, source)
}

// fetchConfigFromAgent gets the configuration from the agent at an address. It uses a
// connection of its own: in a session's, the configuration would hold up the replies
// to polls until the session ends.
func (g *Gateway) fetchConfigFromAgent(addr, agent string, version int64) {
	g.configFetch.Lock()
	defer g.configFetch.Unlock()
	g.fetchConfig("agent "+agent, version, func() (session.Config, error) {
		var reply session.ConfigReply
		err := rpcconn.Call(addr, structs.AgentService+".Config", &session.ConfigRequest{AcceptGzip: true}, &reply, configFetchTimeouts)
		return reply.Config, err
	})
}

// fetchConfigFromPeer gets the configuration from another entry. If another process
// is being asked, it leaves it to a later exchange.
func (g *Gateway) fetchConfigFromPeer(p session.Process, version int64) {
	if !g.configFetch.TryLock() {
		return
	}
	defer g.configFetch.Unlock()
	g.fetchConfig("peer "+p.Name, version, func() (session.Config, error) {
		reply, err := membership.Exchange(p.Addr, session.ExchangeRequest{
			From: g.self, ConfigVersion: g.config.raw().Version, Digest: g.members.Digest(), AcceptGzip: true,
			Evacuation: g.evacuation(),
		})
		return reply.Config, err
	})
}

func (g *Gateway) followConfig() {
	keyedlog.Follow(g.background, g.platform.Store, g.platform.ConfigTopic, 0, &configHandler{gateway: g})
}

// configHandler processes the records of the configuration topic.
type configHandler struct {
	gateway          *Gateway
	unavailableSince time.Time
}

// HandleBatch implements keyedlog.Handler.
func (h *configHandler) HandleBatch(b keyedlog.Batch) {
	h.gateway.logSkipped(h.gateway.platform.ConfigTopic, b)
	h.gateway.readEvacuations(b)
	for _, r := range b.Records {
		if r.Key == h.gateway.platform.ConfigKey && len(r.Value) > 0 {
			h.gateway.updateConfig(session.Config{Text: r.Value}, fmt.Sprintf("store offset %d", r.Offset))
		}
	}
}

// logSkipped logs the records of a batch that could not be decoded.
func (g *Gateway) logSkipped(topic string, b keyedlog.Batch) {
	for _, err := range b.Skipped {
		level.Warn(g.logger).Log("event", "record_unreadable", "topic", topic, "reason", err)
	}
}

// StoreUnavailable implements keyedlog.Handler.
func (h *configHandler) StoreUnavailable(err error) {
	h.unavailableSince = time.Now()
	h.gateway.configTopicUnavailable.Store(true)
	h.gateway.metrics.storeLost.Inc(1)
	level.Warn(h.gateway.logger).Log("event", "store_lost", "topic", h.gateway.platform.ConfigTopic, "reason", err)
	if h.gateway.Table() == nil {
		go h.gateway.loadConfigCopy()
	}
}

// StoreAvailable implements keyedlog.Handler.
func (h *configHandler) StoreAvailable() {
	h.gateway.configTopicUnavailable.Store(false)
	level.Info(h.gateway.logger).Log("event", "store_regained", "topic", h.gateway.platform.ConfigTopic, "away", time.Since(h.unavailableSince))
}
