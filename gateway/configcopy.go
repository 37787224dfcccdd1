package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// The operators' topic can be unavailable while the rest of the store works.
// Entries therefore keep a copy of the configuration on a separate topic, so that
// a configuration is available even if all processes restart at such a time.

const (
	// copyDelay is the minimum delay before a version is copied, copyJitter the
	// maximum random addition. Of several versions in quick succession only the
	// last is copied, and the entries do not all write at the same time.
	copyDelay  = 200 * time.Millisecond
	copyJitter = 1500 * time.Millisecond
	// copyIdleTimeout bounds the time without data of a read of the copy.
	// copyRetryDelay is the delay after a failed one.
	copyIdleTimeout = 500 * time.Millisecond
	copyRetryDelay  = 200 * time.Millisecond
	// maxCopyBytes is the maximum size of a copy: the store's limit for a record
	// minus the space for its key.
	maxCopyBytes = 256<<10 - 256
)

// copyConfig writes each version that comes into force to the copy topic, except
// those that are replaced before their turn.
func (g *Gateway) copyConfig() {
	var copiedVersion int64
	for {
		select {
		case <-g.config.changed:
		case <-g.background.Done():
			return
		}
		ctxsleep.For(g.background, copyDelay+rand.N(copyJitter))
		cfg := g.config.raw()
		if cfg.Version == copiedVersion {
			continue
		}
		if len(cfg.Text) > maxCopyBytes {
			level.Warn(g.logger).Log("event", "config_copy_failed", "version", cfg.Version, "reason", "configuration exceeds the size limit of a copy", "bytes", len(cfg.Text))
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
		copiedVersion = cfg.Version
		level.Info(g.logger).Log("event", "config_copied", "version", cfg.Version, "bytes", len(cfg.Text), "failures", failures)
	}
}

// loadConfigCopy reads the copy and puts it in force, unless another source provides
// a configuration first. Failed reads are retried; it ends after the first
// successful one, even if there is no copy. The copy may be older than the version
// on the operators' topic, which then replaces it.
func (g *Gateway) loadConfigCopy() {
	for failures := 0; g.Table() == nil && g.background.Err() == nil; failures++ {
		err := g.readConfigCopy()
		if err == nil {
			return
		}
		if failures == 0 {
			level.Warn(g.logger).Log("event", "config_copy_unread", "topic", g.platform.ConfigCopyTopic, "reason", err)
		}
		ctxsleep.For(g.background, copyRetryDelay)
	}
}

func (g *Gateway) readConfigCopy() error {
	records, _, err := g.platform.Store.Newest(g.background, g.platform.ConfigCopyTopic, copyIdleTimeout)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Key == g.platform.ConfigKey {
			g.updateConfig(session.Config{Text: r.Value}, fmt.Sprintf("copy at store offset %d", r.Offset))
		}
	}
	return nil
}
