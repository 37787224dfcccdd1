package taskrunner

import (
	"fmt"
	"time"
)

// minColdShare is the share of its capacity that a server gets when it reports that it has
// just become cold. The share grows evenly until the server is warm, so that the slowness
// that its first tasks show is known before it is full.
const minColdShare = 0.25

// warmUp is the time in which a server that has started, or was not used, runs slowly.
type warmUp struct {
	began, ends time.Time
}

// update applies the remaining time that a heartbeat states.
func (w *warmUp) update(now time.Time, remaining time.Duration) {
	switch {
	case remaining <= 0:
		*w = warmUp{}
	case !now.Before(w.ends):
		*w = warmUp{began: now, ends: now.Add(remaining)}
	default:
		w.ends = now.Add(remaining)
	}
}

// remaining returns how much longer the server is cold.
func (w *warmUp) remaining(now time.Time) time.Duration { return max(w.ends.Sub(now), 0) }

// share returns the share of the capacity that may be used.
func (w *warmUp) share(now time.Time) float64 {
	left, total := w.remaining(now), w.ends.Sub(w.began)
	if left == 0 {
		return 1
	}
	return 1 - (1-minColdShare)*float64(left)/float64(total)
}

// updateWarmUp applies the heartbeat's statement of how much longer the server is cold.
func (m *Runner) updateWarmUp(cold time.Duration) {
	before := m.warmUp.remaining(m.now)
	m.warmUp.update(m.now, cold)
	if before == 0 && cold > 0 {
		m.log("server_cold", fmt.Sprintf("server=%s cold_ms=%d", m.server.ID, cold.Milliseconds()))
	}
}

// withheldCPU returns the processor capacity that is not used because the server is cold,
// in thousandths of a core.
func (m *Runner) withheldCPU() int { return m.server.CPU - m.used.cpu - m.freeCPU() }

// freeCPU returns the processor capacity that started tasks may still take, in thousandths
// of a core; negative if they have taken more.
func (m *Runner) freeCPU() int {
	return int(m.warmUp.share(m.now)*float64(m.server.CPU)) - m.used.cpu
}
