package sidecar

import (
	"encoding/json"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	// baselineCheckInterval is the interval at which the agent checks whether its
	// baseline slowness has changed. Calls to the store are priced.
	baselineCheckInterval = 5 * time.Second
	// minBaselineChange is the minimum relative change of the baseline slowness for
	// which the record is written again.
	minBaselineChange = 0.15
	// loadRecordIdleTimeout bounds the time without data of the read of the agent's own
	// record when it starts.
	loadRecordIdleTimeout = 2 * time.Second
)

// announcement is the record that an agent keeps on the store. It contains the
// agent's address and, for a restarted agent of the same name, the backend server
// and its baseline slowness.
type announcement struct {
	session.Process
	Server   taskrunner.ServerInfo `json:"server"`
	Baseline taskrunner.Baseline   `json:"usual"`
}

// announce writes the agent's record, and writes it again when the server or its
// baseline slowness has changed.
func (s *Sidecar) announce() {
	a := announcement{Process: s.self}
	if previous, ok := s.loadRecord(); ok {
		a.Rack = previous.Server.Rack
		a.Server, a.Baseline = previous.Server, previous.Baseline
		s.step(taskrunner.RecordLoaded{Server: previous.Server, Baseline: previous.Baseline})
	}
	for s.put(a) {
		for !s.refresh(&a) {
			timer := time.NewTimer(baselineCheckInterval)
			select {
			case <-timer.C:
			case <-s.serverChanged:
			case <-s.background.Done():
				timer.Stop()
				return
			}
			timer.Stop()
		}
	}
}

// refresh updates the record and reports whether the change is large enough for it
// to be written again.
func (s *Sidecar) refresh(a *announcement) bool {
	s.mu.Lock()
	server, baseline := s.runner.Server(), s.runner.Baseline()
	s.mu.Unlock()
	changed := false
	if server.ID != "" && !server.SameRecord(&a.Server) {
		a.Server, changed = server, true
	}
	if rack := server.Rack; rack != "" && rack != a.Rack {
		a.Rack, changed = rack, true
	}
	if baseline.Slowness > 0 && math.Abs(float64(baseline.Slowness)/float64(max(a.Baseline.Slowness, 1))-1) > minBaselineChange {
		a.Baseline, changed = baseline, true
	}
	return changed
}

// loadRecord reads the record of an earlier agent of the same name.
func (s *Sidecar) loadRecord() (announcement, bool) {
	batch, err := s.platform.Store.Newest(s.background, s.platform.MembersTopic, loadRecordIdleTimeout)
	if err != nil {
		level.Warn(s.logger).Log("event", "recall_failed", "topic", s.platform.MembersTopic, "reason", err)
		return announcement{}, false
	}
	for _, err := range batch.Skipped {
		level.Warn(s.logger).Log("event", "record_unreadable", "topic", s.platform.MembersTopic, "reason", err)
	}
	for _, r := range batch.Records {
		if r.Key != s.opts.Name {
			continue
		}
		var a announcement
		if err := json.Unmarshal(r.Value, &a); err != nil {
			level.Warn(s.logger).Log("event", "recall_failed", "offset", r.Offset, "reason", err)
			continue
		}
		level.Info(s.logger).Log("event", "recalled", "server", a.Server.ID, "run", a.Server.Incarnation, "slowness", a.Baseline.Slowness, "offset", r.Offset)
		return a, true
	}
	return announcement{}, false
}

// put writes the agent's record, with retries until the store has acknowledged it.
// It reports false if the agent stops before that.
func (s *Sidecar) put(a announcement) bool {
	value, err := json.Marshal(a)
	if err != nil {
		level.Error(s.logger).Log("event", "announce_failed", "reason", err)
		return false
	}
	unavailable := false
	record := keyedlog.Record{Key: s.opts.Name, Value: value}
	done := keyedlog.Put(s.background, s.platform.Store, s.platform.MembersTopic, record, func(err error) {
		if !unavailable {
			unavailable = true
			level.Warn(s.logger).Log("event", "store_lost", "topic", s.platform.MembersTopic, "reason", err)
		}
	})
	if done {
		level.Info(s.logger).Log("event", "announced", "topic", s.platform.MembersTopic, "server", a.Server.ID, "slowness", a.Baseline.Slowness, "store_was_lost", unavailable)
	}
	return done
}
