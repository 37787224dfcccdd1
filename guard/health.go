package guard

import (
	"math"
	"time"
)

// perMille is the unit of shares and of slowness in messages.
const perMille = 1000

// health is what outcomes tell of the backend server.
type health struct {
	failures float64 // recent share of failed tasks
	// ran and estimated are sums over finished tasks, older ones weighing less.
	ran, estimated time.Duration
	decayed        time.Time // when the sums were last decayed
	samples        int
}

func (h *health) done()   { h.failures *= 1 - failureWeight }
func (h *health) failed() { h.failures += (1 - h.failures) * failureWeight }

// suspect reports whether the server fails so much that it is only probed.
func (h *health) suspect() bool { return h.failures > suspectShare }

func (h *health) failing() int { return int(h.failures * perMille) }

// learn takes in the run time of a task that has finished. Long tasks weigh
// more: what the clock's resolution and other overheads add weighs less there.
func (h *health) learn(now time.Time, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	h.decay(now)
	h.samples++
	h.ran += ran
	h.estimated += estimate
}

// decay lets what was learned fade, so that a server that seemed slow, and got
// no more tasks for it, is tried again.
func (h *health) decay(now time.Time) {
	if !h.decayed.IsZero() && now.After(h.decayed) {
		f := math.Exp(-float64(now.Sub(h.decayed)) / float64(slownessMemory))
		h.ran = time.Duration(float64(h.ran) * f)
		h.estimated = time.Duration(float64(h.estimated) * f)
	}
	h.decayed = now
}

// slow returns run time over estimate, which is 1 where nothing is known.
func (h *health) slow() float64 {
	return float64(h.ran+slownessPrior) / float64(h.estimated+slownessPrior)
}

// expect returns the expected run time of a task here.
func (h *health) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * h.slow())
}

func (h *health) slowness() int { return int(h.slow() * perMille) }
