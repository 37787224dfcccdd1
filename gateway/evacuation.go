package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/evacuationlog"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// evacuationCopyKey is the key of the copy of the evacuations on the copy topic.
const evacuationCopyKey = "evacuations"

// evacuation returns the newest known evacuations.
func (g *Gateway) evacuation() session.Evacuation {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	return g.evacuations.Current()
}

// updateEvacuation takes over the evacuations known to another process if they are newer.
// Source states in the log where they were received from.
func (g *Gateway) updateEvacuation(e session.Evacuation, source string) {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	g.applyEvacuations(g.evacuations.Update(time.Now(), e), source)
}

// topicUnheard returns for how long this entry has not heard the operators' topic if its
// view of the evacuations is stale, and zero otherwise.
func (g *Gateway) topicUnheard() time.Duration {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	return g.evacuations.Unheard(time.Now())
}

// readEvacuations applies a reply to a read of the operators' topic.
func (g *Gateway) readEvacuations(b keyedlog.Batch) {
	source := fmt.Sprintf("store before offset %d", b.Next)
	if b.Snapshot {
		source = "store snapshot"
	}
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	g.applyEvacuations(g.evacuations.Apply(time.Now(), evacuationlog.Decode(g.platform.EvacuationKeyPrefix, b)), source)
}

// applyEvacuations puts changed evacuations in force. The caller holds g.evacuationMu, so
// that the dispatcher gets them in the order of their versions.
func (g *Gateway) applyEvacuations(changes []evacuation.Change, source string) {
	if len(changes) == 0 {
		return
	}
	current := g.evacuations.Current()
	for _, c := range changes {
		event := "zone_restored"
		if c.Evacuated {
			event = "zone_evacuated"
			g.metrics.evacuations.Inc(1)
		}
		level.Info(g.logger).Log("event", event, "zone", c.Zone, "version", current.Version, "source", source)
	}
	g.metrics.zonesEvacuated.Update(int64(len(current.Zones)))
	remaining, _ := g.evacuations.ExpectedRemaining(time.Now())
	g.step(dispatch.EvacuationChanged{Zones: current.Zones, ExpectedRemaining: remaining})
	g.config.signalChanged()
}

// unsentEvacuation returns the newest evacuations if the agent has not been sent them in
// this session.
func (s *agentSession) unsentEvacuation() session.Evacuation {
	e := s.connector.gateway.evacuation()
	if e.Version <= s.evacuationSent.Load() {
		return session.Evacuation{}
	}
	s.evacuationSent.Store(e.Version)
	return e
}

// copyEvacuations writes the evacuations to the copy topic if their zones differ from
// those copied last, and returns the zones that the copy has now. It reports false if the
// process stops before the store has acknowledged the copy.
func (g *Gateway) copyEvacuations(copied []string) ([]string, bool) {
	e := g.evacuation()
	if slices.Equal(e.Zones, copied) {
		return copied, true
	}
	value, err := json.Marshal(e)
	if err != nil {
		level.Warn(g.logger).Log("event", "evacuations_copy_failed", "version", e.Version, "reason", err)
		return copied, true
	}
	if !g.putCopy(keyedlog.Record{Key: evacuationCopyKey, Value: value}, "evacuations_copy_failed", e.Version) {
		return copied, false
	}
	level.Info(g.logger).Log("event", "evacuations_copied", "version", e.Version, "zones", strings.Join(e.Zones, ","))
	return e.Zones, true
}

// useEvacuationCopy puts the copy of a record in force if it is newer.
func (g *Gateway) useEvacuationCopy(r keyedlog.Record, source string) {
	var e session.Evacuation
	err := json.Unmarshal(r.Value, &e)
	if err == nil {
		err = evacuation.Check(e)
	}
	if err != nil {
		g.metrics.configErrors.Inc(1)
		level.Warn(g.logger).Log("event", "evacuations_unreadable", "source", source, "reason", err)
		return
	}
	g.updateEvacuation(e, source)
}
