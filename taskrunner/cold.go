package taskrunner

import (
	"fmt"
	"time"
)

// minColdShare is the share of its capacity that a server gets when it reports that it has
// just become cold. The share grows evenly until the server is warm, so that the slowness
// that its first tasks show is known before it is full.
const minColdShare = 0.25

// warmUp is the time in which a server runs slowly after its start.
type warmUp struct {
	ends    time.Time
	longest time.Duration // the longest remaining time reported since the server was warm
}

// update applies the remaining time that a heartbeat states.
func (w *warmUp) update(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		*w = warmUp{}
		return
	}
	w.ends = now.Add(remaining)
	w.longest = max(w.longest, remaining)
}

// remaining returns how much longer the server is cold.
func (w *warmUp) remaining(now time.Time) time.Duration { return max(w.ends.Sub(now), 0) }

// share returns the share of the capacity that may be used.
func (w *warmUp) share(now time.Time) float64 {
	left := w.remaining(now)
	if left == 0 {
		return 1
	}
	return 1 - (1-minColdShare)*float64(left)/float64(w.longest)
}

// updateWarmUp applies a heartbeat's statement of how much longer the server is cold. A
// new incarnation of the server begins anew.
func (m *Runner) updateWarmUp(cold time.Duration, newIncarnation bool) {
	if newIncarnation {
		m.warmUp = warmUp{}
	}
	wasCold := m.warmUp.longest > 0
	m.warmUp.update(m.now, cold)
	if !wasCold && cold > 0 {
		m.log("server_cold", fmt.Sprintf("server=%s cold_ms=%d", m.server.ID, cold.Milliseconds()))
	}
}

// freeCPU returns the processor capacity that started tasks may still take, in thousandths
// of a core; negative if they have taken more.
func (m *Runner) freeCPU() int {
	return int(m.warmUp.share(m.now)*float64(m.server.CPU)) - m.used.cpu
}

// withheldCPU returns the processor capacity that is not used because the server is cold,
// in thousandths of a core.
func (m *Runner) withheldCPU() int { return m.server.CPU - m.used.cpu - m.freeCPU() }
