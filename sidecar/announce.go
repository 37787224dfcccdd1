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

// announcement is an agent's record on the store: its address, and the usual
// speed of its server, which the agent that comes after it starts with.
type announcement struct {
	session.Process
	Usual guard.Usual `json:"usual"`
}

// announce writes the agent's record, and again when its server's usual speed
// has changed.
func (s *Sidecar) announce() {
	written := s.recall()
	for s.put(written) {
		for {
			timer := time.NewTimer(speedEvery)
			select {
			case <-timer.C:
			case <-s.background.Done():
				timer.Stop()
				return
			}
			if u := s.usual(); u.Slowness > 0 && math.Abs(float64(u.Slowness)/float64(max(written.Slowness, 1))-1) > speedChange {
				written = u
				break
			}
		}
	}
}

// recall reads what an earlier agent of this name wrote.
func (s *Sidecar) recall() guard.Usual {
	ctx, cancel := context.WithTimeout(s.background, recallTimeout)
	defer cancel()
	records, _, err := s.platform.Store.Newest(ctx, s.platform.MembersTopic)
	if err != nil {
		level.Warn(s.logger).Log("event", "speed_unknown", "topic", s.platform.MembersTopic, "reason", err)
		return guard.Usual{}
	}
	for _, r := range records {
		if r.Key != s.opts.Name {
			continue
		}
		var a announcement
		if err := json.Unmarshal(r.Value, &a); err != nil {
			level.Warn(s.logger).Log("event", "speed_unknown", "offset", r.Offset, "reason", err)
			continue
		}
		level.Info(s.logger).Log("event", "speed_remembered", "slowness", a.Usual.Slowness, "offset", r.Offset)
		s.step(guard.SpeedRemembered{Usual: a.Usual})
		return a.Usual
	}
	return guard.Usual{}
}

// put writes the agent's record until the store has acknowledged it. It reports
// false when the agent stops.
func (s *Sidecar) put(u guard.Usual) bool {
	value, err := json.Marshal(announcement{Process: s.self, Usual: u})
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
		level.Info(s.logger).Log("event", "announced", "topic", s.platform.MembersTopic, "slowness", u.Slowness, "store_was_lost", lost)
	}
	return done
}

func (s *Sidecar) usual() guard.Usual {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Usual()
}
