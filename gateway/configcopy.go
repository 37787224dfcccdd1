package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/pause"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// The operators' topic can be away while the rest of the store serves. Entries
// keep a copy of the configuration on a topic of their own, so that a restart of
// all processes at such a time does not leave them without any.

const (
	// copyDelay is the least and copyJitter the additional random pause before a
	// version is copied: of versions in quick succession only the last is, and
	// entries do not all write at once.
	copyDelay  = 200 * time.Millisecond
	copyJitter = 1500 * time.Millisecond
	// copyTimeout bounds the reading of the copy, copyRetry is the pause after a
	// failure.
	copyTimeout = 500 * time.Millisecond
	copyRetry   = 200 * time.Millisecond
	// maxCopy bounds a copy in bytes: the store's bound of a record, less its
	// key.
	maxCopy = 256<<10 - 256
)

// keepCopy writes each version that comes into force to the copy, but for those
// that were replaced meanwhile.
func (g *Gateway) keepCopy() {
	var copied int64
	for {
		select {
		case <-g.config.changed:
		case <-g.background.Done():
			return
		}
		pause.For(g.background, copyDelay+rand.N(copyJitter))
		cfg := g.config.raw()
		if cfg.Version == copied {
			continue
		}
		if len(cfg.Text) > maxCopy {
			level.Warn(g.logger).Log("event", "config_copy_failed", "version", cfg.Version, "reason", "too large", "bytes", len(cfg.Text))
			continue
		}
		record := keyedlog.Record{Key: g.platform.ConfigKey, Value: cfg.Text}
		failures := 0
		done := keyedlog.Put(g.background, g.platform.Store, g.platform.ConfigCopyTopic, record, func(err error) {
			if failures++; failures == 1 {
				level.Warn(g.logger).Log("event", "config_copy_failed", "version", cfg.Version, "reason", err)
			}
		})
		if !done {
			return
		}
		copied = cfg.Version
		level.Info(g.logger).Log("event", "config_copied", "version", cfg.Version, "bytes", len(cfg.Text), "failures", failures)
	}
}

// recallConfig takes the copy in force, unless another source is faster. It may
// be older than what the operators' topic holds, which replaces it then.
func (g *Gateway) recallConfig() {
	for failures := 0; g.Table() == nil && g.background.Err() == nil; failures++ {
		err := g.readCopy()
		if err == nil {
			return
		}
		if failures == 0 {
			level.Warn(g.logger).Log("event", "config_copy_unread", "topic", g.platform.ConfigCopyTopic, "reason", err)
		}
		pause.For(g.background, copyRetry)
	}
}

func (g *Gateway) readCopy() error {
	ctx, cancel := context.WithTimeout(g.background, copyTimeout)
	defer cancel()
	records, _, err := g.platform.Store.Newest(ctx, g.platform.ConfigCopyTopic)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Key == g.platform.ConfigKey {
			g.takeConfig(session.Config{Text: r.Value}, fmt.Sprintf("copy at store offset %d", r.Offset))
		}
	}
	return nil
}
