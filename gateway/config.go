package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// configuration is the newest version of the operators' configuration. It only
// moves to higher versions.
type configuration struct {
	table atomic.Pointer[routing.Table]
	known chan struct{} // closed with the first version
	// changed wakes what copies new versions.
	changed chan struct{}

	mu   sync.Mutex
	text session.Config
}

func newConfiguration() configuration {
	return configuration{known: make(chan struct{}), changed: make(chan struct{}, 1)}
}

// raw returns the configuration as the store holds it.
func (c *configuration) raw() session.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text
}

// AwaitTable returns the configuration in force. An entry that has just started
// and knows none yet waits for it, as long as it holds jobs for agents; nil if
// none has come by then.
func (g *Gateway) AwaitTable(ctx context.Context) *routing.Table {
	left := dispatch.HoldTimeout - time.Since(g.started)
	if t := g.Table(); t != nil || left <= 0 {
		return t
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.config.known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Table()
}

// takeConfig puts a version in force if it is newer. Source says where it came
// from, for the log.
func (g *Gateway) takeConfig(cfg session.Config, source string) {
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
	if t.Version <= g.config.text.Version {
		return
	}
	level.Info(g.logger).Log("event", "config_in_force", "version", t.Version, "before", g.config.text.Version,
		"source", source, "queues", t.Len())
	g.config.text = session.Config{Version: t.Version, Text: cfg.Text}
	if g.config.table.Swap(t) == nil {
		close(g.config.known)
	}
	g.metrics.configVersion.Update(t.Version)
	select {
	case g.config.changed <- struct{}{}:
	default: // the copier is told already
	}
}

func (g *Gateway) followConfig() {
	keyedlog.Follow(g.background, g.platform.Store, g.platform.ConfigTopic, &configHandler{gateway: g})
}

// configHandler takes in the records of the configuration's topic.
type configHandler struct {
	gateway *Gateway
	lostAt  time.Time
}

// HandleRecords implements keyedlog.Handler.
func (h *configHandler) HandleRecords(records []keyedlog.Record) {
	for _, r := range records {
		if r.Key == h.gateway.platform.ConfigKey && len(r.Value) > 0 {
			h.gateway.takeConfig(session.Config{Text: r.Value}, fmt.Sprintf("store offset %d", r.Offset))
		}
	}
}

// StoreUnavailable implements keyedlog.Handler.
func (h *configHandler) StoreUnavailable(err error) {
	h.lostAt = time.Now()
	h.gateway.storeOut.Store(true)
	h.gateway.metrics.storeLost.Inc(1)
	level.Warn(h.gateway.logger).Log("event", "store_lost", "topic", h.gateway.platform.ConfigTopic, "reason", err)
	if h.gateway.Table() == nil {
		go h.gateway.recallConfig()
	}
}

// StoreAvailable implements keyedlog.Handler.
func (h *configHandler) StoreAvailable() {
	h.gateway.storeOut.Store(false)
	level.Info(h.gateway.logger).Log("event", "store_regained", "topic", h.gateway.platform.ConfigTopic, "away", time.Since(h.lostAt))
}
