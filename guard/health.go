package guard

import (
	"math"
	"time"
)

// perMille is the unit of shares and of slowness in messages.
const perMille = 1000

// health is what outcomes tell of the backend server.
type health struct {
	failures float64   // recent share of failed tasks
	decayed  time.Time // when failures was last decayed
	suspect  bool      // the server fails so much that it is only probed
	recent   speed
	lasting  speed
	current  speed // of runs under way, by their progress
	// remembered is the slowness known from before; zero if none is.
	remembered float64
	samples    int
}

// speed is run times and estimates of finished tasks, older ones weighing less.
type speed struct {
	ran, estimated time.Duration
	decayed        time.Time // when the sums were last decayed
}

// decay lets what was learned fade to a third in the given time.
func (s *speed) decay(now time.Time, memory time.Duration) {
	if !s.decayed.IsZero() && now.After(s.decayed) {
		f := math.Exp(-float64(now.Sub(s.decayed)) / float64(memory))
		s.ran = time.Duration(float64(s.ran) * f)
		s.estimated = time.Duration(float64(s.estimated) * f)
	}
	s.decayed = now
}

func (s *speed) add(ran, estimate time.Duration) {
	s.ran += ran
	s.estimated += estimate
}

// slowness returns run time over estimate, against a prior that weighs as much
// as tasks of the estimate weight.
func (s *speed) slowness(prior float64, weight time.Duration) float64 {
	return (float64(s.ran) + prior*float64(weight)) / float64(s.estimated+weight)
}

func (h *health) done() { h.noteFailures(h.failures * (1 - failureWeight)) }

func (h *health) failed() { h.noteFailures(h.failures + (1-h.failures)*failureWeight) }

// noteFailures takes in a new share of failures. Hysteresis keeps a server that
// has just come below the share from getting a full load at once.
func (h *health) noteFailures(share float64) {
	h.failures = share
	switch {
	case share > suspectShare:
		h.suspect = true
	case share < soundShare:
		h.suspect = false
	}
}

func (h *health) failing() int { return int(h.failures * perMille) }

// learn takes in the run time of a task that has finished. Long tasks weigh
// more: what the clock's resolution and other overheads add weighs less there.
func (h *health) learn(now time.Time, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	h.decay(now)
	h.samples++
	h.recent.add(ran, estimate)
	h.lasting.add(ran, estimate)
}

// decay lets what was learned fade, so that a server that seemed slow, or failed
// its tasks, and got no more for it, is tried again.
func (h *health) decay(now time.Time) {
	if !h.decayed.IsZero() && now.After(h.decayed) {
		h.noteFailures(h.failures * math.Exp(-float64(now.Sub(h.decayed))/float64(failureMemory)))
	}
	h.decayed = now
	h.recent.decay(now, recentMemory)
	h.lasting.decay(now, lastingMemory)
}

// usual returns the slowness of the server when nothing is wrong with it. It
// stays near the ordinary, so that no server is forgotten for good.
func (h *health) usual() float64 {
	prior := 1.0
	if h.remembered > 0 {
		prior = h.remembered
	}
	return min(max(h.lasting.slowness(prior, usualPrior), fastestUsual), slowestUsual)
}

// slow returns the expected run time over the estimate.
func (h *health) slow() float64 {
	all := speed{ran: h.recent.ran + h.current.ran, estimated: h.recent.estimated + h.current.estimated}
	return all.slowness(h.usual(), recentPrior)
}

// expect returns the expected run time of a task here.
func (h *health) expect(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * h.slow())
}

func (h *health) slowness() int { return int(h.slow() * perMille) }
