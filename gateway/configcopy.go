package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// compressedSuffix ends the key of a compressed copy. A configuration that fits
	// uncompressed is written so, for entries of earlier builds.
	compressedSuffix = ".gz"
)

// copyConfig writes each version and the evacuations that come into force to the copy
// topic, except those that are replaced before their turn.
func (g *Gateway) copyConfig() {
	var copiedVersion int64
	var copiedZones []string
	for {
		select {
		case <-g.config.changed:
		case <-g.background.Done():
			return
		}
		ctxsleep.For(g.background, copyDelay+rand.N(copyJitter))
		var ok bool
		if copiedZones, ok = g.copyEvacuations(copiedZones); !ok {
			return
		}
		if copiedVersion, ok = g.copyVersion(copiedVersion); !ok {
			return
		}
	}
}

// copyVersion writes the configuration in force to the copy topic unless that is the
// version copied last, and returns the version that the copy has now. It reports false if
// the process stops before the store has acknowledged the copy.
func (g *Gateway) copyVersion(copied int64) (int64, bool) {
	cfg := g.config.raw()
	if cfg.Version == copied {
		return copied, true
	}
	record, err := g.copyRecord(cfg)
	if err != nil {
		level.Warn(g.logger).Log("event", "config_copy_failed", "version", cfg.Version, "reason", err)
		return copied, true
	}
	if !g.putCopy(record, "config_copy_failed", cfg.Version) {
		return copied, false
	}
	level.Info(g.logger).Log("event", "config_copied", "version", cfg.Version, "bytes", len(record.Value))
	return cfg.Version, true
}

// putCopy appends a record to the copy topic with retries. It logs the first failure as
// failedEvent, and reports false if the process stops first.
func (g *Gateway) putCopy(record keyedlog.Record, failedEvent string, version int64) bool {
	failures := 0
	return keyedlog.Put(g.background, g.platform.Store, g.platform.ConfigCopyTopic, record, func(err error) {
		if failures++; failures == 1 {
			level.Warn(g.logger).Log("event", failedEvent, "version", version, "reason", err)
		}
	})
}

// copyRecord returns the record of a copy, compressed if it would be too long.
func (g *Gateway) copyRecord(cfg session.Config) (keyedlog.Record, error) {
	if len(cfg.Text) <= maxCopyBytes {
		return keyedlog.Record{Key: g.platform.ConfigKey, Value: cfg.Text}, nil
	}
	compressed, err := cfg.Compress()
	if err != nil {
		return keyedlog.Record{}, err
	}
	if len(compressed.Gzip) > maxCopyBytes {
		return keyedlog.Record{}, fmt.Errorf("configuration of %d bytes has %d compressed, over the limit of %d for a copy", len(cfg.Text), len(compressed.Gzip), maxCopyBytes)
	}
	return keyedlog.Record{Key: g.platform.ConfigKey + compressedSuffix, Value: compressed.Gzip}, nil
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
	batch, err := g.platform.Store.Newest(g.background, g.platform.ConfigCopyTopic, copyIdleTimeout)
	if err != nil {
		return err
	}
	g.logSkipped(g.platform.ConfigCopyTopic, batch)
	// The copy written last comes first, so that no older one comes into force.
	slices.SortFunc(batch.Records, func(a, b keyedlog.Record) int { return cmp.Compare(b.Offset, a.Offset) })
	// Evacuations come before the configuration that makes the entry admit jobs.
	for _, r := range batch.Records {
		if r.Key == evacuationCopyKey {
			g.useEvacuationCopy(r, copySource(r))
		}
	}
	for _, r := range batch.Records {
		g.useCopy(r)
	}
	return nil
}

func copySource(r keyedlog.Record) string { return fmt.Sprintf("copy at store offset %d", r.Offset) }

// useCopy puts the copy of a record in force if it is newer.
func (g *Gateway) useCopy(r keyedlog.Record) {
	source := copySource(r)
	switch r.Key {
	case g.platform.ConfigKey:
		g.updateConfig(session.Config{Text: r.Value}, source)
	case g.platform.ConfigKey + compressedSuffix:
		cfg, err := session.Config{Gzip: r.Value}.Decompress()
		if err != nil {
			g.metrics.configErrors.Inc(1)
			level.Warn(g.logger).Log("event", "config_unreadable", "source", source, "reason", err)
			return
		}
		g.updateConfig(cfg, source)
	}
}
