package guard

import "time"

// perMille is the unit of shares and of slowness in messages.
const perMille = 1000

// health is what outcomes tell of the backend server.
type health struct {
	failures float64 // recent share of failed tasks
	slow     float64 // run time over estimate
	samples  int
}

func newHealth() health { return health{slow: 1} }

func (h *health) done()   { h.failures *= 1 - failureWeight }
func (h *health) failed() { h.failures += (1 - h.failures) * failureWeight }

// suspect reports whether the server fails so much that it is only probed.
func (h *health) suspect() bool { return h.failures > suspectShare }

func (h *health) failing() int { return int(h.failures * perMille) }

// learn takes in the run time of a task that has finished.
func (h *health) learn(estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(estimate)
	h.samples++
	weight := slownessWeight
	if h.samples <= minWarmSamples {
		weight = 1 / float64(h.samples)
	}
	h.slow += (ratio - h.slow) * weight
}

// expect returns the expected run time of a task here.
func (h *health) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * h.slow)
}

func (h *health) slowness() int { return int(h.slow * perMille) }
