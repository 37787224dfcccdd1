package sidecar

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// speedEvery is the pause between looks at whether the usual speed has
	// changed; calls to the store are priced.
	speedEvery = 5 * time.Second
	// speedChange is the relative change that is worth a record.
	speedChange = 0.15
	// recallTimeout bounds the reading of the agent's own record at its start.
	recallTimeout = 2 * time.Second
)

// announcement is an agent's record on the store: its address, and for the agent
// that comes after it, the backend server and its usual speed.
type announcement struct {
	session.Process
	Server guard.ServerInfo `json:"server"`
	Usual  guard.Baseline   `json:"usual"`
}

// announce writes the agent's record, and again when the server or its usual
// speed has changed.
func (s *Sidecar) announce() {
	a := announcement{Process: s.self}
	if former, ok := s.recall(); ok {
		a.Server, a.Usual = former.Server, former.Usual
		s.step(guard.Recalled{Server: former.Server, Baseline: former.Usual})
	}
	for s.put(a) {
		for !s.updated(&a) {
			timer := time.NewTimer(speedEvery)
			select {
			case <-timer.C:
			case <-s.serverKnown:
			case <-s.background.Done():
				timer.Stop()
				return
			}
			timer.Stop()
		}
	}
}

// updated brings the record up to date and reports whether that is worth writing
// it again.
func (s *Sidecar) updated(a *announcement) bool {
	s.mu.Lock()
	server, usual := s.guard.Server(), s.guard.Baseline()
	s.mu.Unlock()
	changed := false
	if server.ID != "" && (server.Incarnation != a.Server.Incarnation || server.Draining != a.Server.Draining) {
		a.Server, changed = server, true
	}
	if usual.Slowness > 0 && math.Abs(float64(usual.Slowness)/float64(max(a.Usual.Slowness, 1))-1) > speedChange {
		a.Usual, changed = usual, true
	}
	return changed
}

// recall reads what an earlier agent of this name wrote.
func (s *Sidecar) recall() (announcement, bool) {
	ctx, cancel := context.WithTimeout(s.background, recallTimeout)
	defer cancel()
	records, _, err := s.platform.Store.Newest(ctx, s.platform.MembersTopic)
	if err != nil {
		level.Warn(s.logger).Log("event", "recall_failed", "topic", s.platform.MembersTopic, "reason", err)
		return announcement{}, false
	}
	for _, r := range records {
		if r.Key != s.opts.Name {
			continue
		}
		var a announcement
		if err := json.Unmarshal(r.Value, &a); err != nil {
			level.Warn(s.logger).Log("event", "recall_failed", "offset", r.Offset, "reason", err)
			continue
		}
		level.Info(s.logger).Log("event", "recalled", "server", a.Server.ID, "run", a.Server.Incarnation, "slowness", a.Usual.Slowness, "offset", r.Offset)
		return a, true
	}
	return announcement{}, false
}

// put writes the agent's record until the store has acknowledged it. It reports
// false when the agent stops.
func (s *Sidecar) put(a announcement) bool {
	value, err := json.Marshal(a)
	if err != nil {
		level.Error(s.logger).Log("event", "announce_failed", "reason", err)
		return false
	}
	lost := false
	record := keyedlog.Record{Key: s.opts.Name, Value: value}
	done := keyedlog.Put(s.background, s.platform.Store, s.platform.MembersTopic, record, func(err error) {
		if !lost {
			lost = true
			level.Warn(s.logger).Log("event", "store_lost", "topic", s.platform.MembersTopic, "reason", err)
		}
	})
	if done {
		level.Info(s.logger).Log("event", "announced", "topic", s.platform.MembersTopic, "server", a.Server.ID, "slowness", a.Usual.Slowness, "store_was_lost", lost)
	}
	return done
}
