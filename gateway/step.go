package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

// step applies an event to the dispatcher and carries out the resulting effects in
// order. Log lines and metrics are written after g.mu has been released, the lines with
// the time of the event. No effect blocks.
func (g *Gateway) step(ev dispatch.Event) []dispatch.Effect {
	g.mu.Lock()
	return g.stepAndUnlock(ev)
}

// stepAndUnlock is step for a caller that holds g.mu, which it releases.
func (g *Gateway) stepAndUnlock(ev dispatch.Event) []dispatch.Effect {
	at := time.Now()
	effects := g.apply(ev)
	if wake := g.dispatcher.NextWake(); !wake.IsZero() {
		g.wakeTimer.Reset(max(wake.Sub(boottime.Now()), time.Millisecond))
	}
	g.mu.Unlock()
	for _, ef := range effects {
		switch ef := ef.(type) {
		case dispatch.LogEvent:
			g.log(at, &ef)
		case dispatch.JobMetrics:
			g.metrics.recordJob(&ef)
		case dispatch.PlanMetrics:
			g.metrics.recordPlan(&ef)
		case dispatch.PlacementMetrics:
			g.metrics.recordPlacement(&ef)
		case dispatch.RetryMetrics:
			g.metrics.retriesDenied.Inc(int64(ef.Denied))
		case dispatch.ShareMetrics:
			g.metrics.recordShare(&ef)
		case dispatch.CallerMetrics:
			g.metrics.callersProbed.Inc(int64(ef.Probed))
			g.metrics.callersSilent.Inc(int64(ef.Silent))
			g.metrics.callersReplaced.Inc(int64(ef.Replaced))
		case dispatch.CrashMetrics:
			g.metrics.recordCrash(&ef)
		case dispatch.CancelMetrics:
			g.metrics.recordCancel(&ef)
		case dispatch.PlaceMetrics:
			g.metrics.recordPlaces(&ef)
		}
	}
	return effects
}

// apply steps the dispatcher and carries out the effects, until it asks for nothing more. The
// caller holds g.mu.
func (g *Gateway) apply(ev dispatch.Event) []dispatch.Effect {
	effects := g.dispatcher.Step(boottime.Now(), ev)
	for _, ef := range effects {
		g.carryOut(ef)
	}
	for _, ef := range effects {
		switch ef := ef.(type) {
		case dispatch.CheckCallers:
			effects = append(effects, g.apply(g.checkCallers(ef))...)
		case dispatch.CheckProbes:
			acked, silent := g.lookForAcks(ef.Calls)
			acked.Silent = silent
			effects = append(effects, g.apply(acked)...)
		}
	}
	return effects
}

// checkCallers looks which callers are connected, and ends the Submit of those that have left: the
// contexts of their requests may not end. The caller holds g.mu.
func (g *Gateway) checkCallers(check dispatch.CheckCallers) dispatch.CallersChecked {
	var checked dispatch.CallersChecked
	for _, call := range check.Calls {
		if c := g.calls[call]; c != nil && !instance.Disconnected(c.request) {
			checked.Connected = append(checked.Connected, call)
		} else {
			checked.Left = append(checked.Left, call)
			g.deliver(call, Outcome{Status: dispatch.Canceled})
		}
	}
	return checked
}

// carryOut carries out an effect. The caller holds g.mu.
func (g *Gateway) carryOut(ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.Order:
		if s := g.sessions[ef.ID]; s != nil {
			s.enqueue(ef)
		}
	case dispatch.ProbeCallers:
		g.probeCallers(ef.Calls)
	case dispatch.AskPeers:
		go g.askPeers(ef)
	case dispatch.CloseSession:
		g.closeSession(ef.ID)
	case dispatch.Answered:
		g.deliver(ef.Call, Outcome{Status: ef.Status})
	case dispatch.Refused:
		g.deliver(ef.Call, Outcome{Refused: ef.Error})
	case dispatch.NotifyPeers:
		go g.notifyPeers(ef)
	case dispatch.CancelReplied:
		g.deliverCancel(ef)
	}
}

// deliver passes the answer to a pending Submit. The caller holds g.mu.
func (g *Gateway) deliver(call dispatch.CallID, o Outcome) {
	if c := g.calls[call]; c != nil {
		delete(g.calls, call)
		c.outcome <- o
	}
}

func (g *Gateway) log(at time.Time, line *dispatch.LogEvent) {
	kv := []any{"event", line.Event}
	if line.Job != "" {
		kv = append(kv, "job", line.Job)
	}
	if line.Queue != "" {
		kv = append(kv, "queue", line.Queue)
	}
	if line.Agent != "" {
		kv = append(kv, "agent", line.Agent)
	}
	if line.Verdict != nil {
		kv = append(kv, "verdict", line.Verdict)
	}
	if line.Detail != "" {
		kv = append(kv, "detail", line.Detail)
	}
	level.Info(logging.At(g.logger, at)).Log(kv...)
}
