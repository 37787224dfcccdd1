package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

const (
	// firstAckCheck and lastAckCheck are the shortest and the longest time between two looks whether
	// probes were acknowledged: a round trip within a region, and a fraction of the time in which a
	// caller has to acknowledge one.
	firstAckCheck = 5 * time.Millisecond
	lastAckCheck  = 40 * time.Millisecond
)

// probeCallers probes the callers of pending calls and awaits their acknowledgements. The caller holds
// g.mu, which keeps the probes apart from the answers: the answer to a call is written once it is not
// pending any more.
func (g *Gateway) probeCallers(calls []dispatch.CallID) {
	var probed []dispatch.CallID
	for _, call := range calls {
		c := g.calls[call]
		if c == nil {
			continue
		}
		if err := c.probe.Send(); err != nil {
			level.Debug(g.logger).Log("event", "probe_failed", "call", call, "reason", err)
		}
		probed = append(probed, call)
	}
	if len(probed) > 0 {
		g.awaitAcks(probed, firstAckCheck)
	}
}

// awaitAcks looks after a time which callers have acknowledged their probes, and goes on until all of them
// have, or their calls are not pending any more.
func (g *Gateway) awaitAcks(calls []dispatch.CallID, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if g.background.Err() != nil {
			return
		}
		g.mu.Lock()
		acked, waiting := g.lookForAcks(calls)
		if len(waiting) > 0 {
			g.awaitAcks(waiting, min(2*delay, lastAckCheck))
		}
		if len(acked.Calls)+len(acked.Left) == 0 {
			g.mu.Unlock()
			return
		}
		g.stepAndUnlock(acked)
	})
}

// lookForAcks looks which callers have acknowledged their probes. It also returns those that have not, and
// are connected as far as is known. The caller holds g.mu.
func (g *Gateway) lookForAcks(calls []dispatch.CallID) (acked dispatch.CallersAcknowledged, waiting []dispatch.CallID) {
	for _, call := range calls {
		c := g.calls[call]
		if c == nil {
			continue
		}
		// A reset discards what was not acknowledged, so that the order of the two looks matters.
		isAcked := c.probe.Acknowledged()
		switch {
		case instance.Disconnected(c.request):
			acked.Left = append(acked.Left, call)
			g.deliver(call, Outcome{Status: dispatch.Canceled})
		case isAcked:
			acked.Calls = append(acked.Calls, call)
		default:
			waiting = append(waiting, call)
		}
	}
	return acked, waiting
}
