package taskrunner

import (
	"math"
	"time"
)

// perMille scales shares and slowness to the thousandths used in messages.
const perMille = 1000

// health holds the failure rate and the run times measured on the backend server.
type health struct {
	failures  float64   // moving average of the share of failed tasks
	decayedAt time.Time // when failures was last decayed
	suspect   bool      // fails so many tasks that it gets only one at a time
	broken    float64   // moving average of the share of starts whose connection broke
	recent    runTimes  // of finished tasks, for the current slowness
	longTerm  runTimes  // of finished tasks, for the baseline slowness
	inFlight  runTimes  // of running tasks, extrapolated from their progress
	// priorBaseline is the baseline slowness measured earlier on a server with
	// the same labels; zero if there is none.
	priorBaseline float64
	samples       int // number of run times recorded
}

// runTimes holds the sums of the run times and of the estimates of tasks. Earlier
// tasks have less weight as the sums decay.
type runTimes struct {
	ran, estimated time.Duration
	decayedAt      time.Time // when the sums were last decayed
}

// decay reduces the sums exponentially with the given time constant.
func (r *runTimes) decay(now time.Time, timeConstant time.Duration) {
	if !r.decayedAt.IsZero() && now.After(r.decayedAt) {
		f := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(timeConstant))
		r.ran = time.Duration(float64(r.ran) * f)
		r.estimated = time.Duration(float64(r.estimated) * f)
	}
	r.decayedAt = now
}

func (r *runTimes) add(ran, estimate time.Duration) {
	r.ran += ran
	r.estimated += estimate
}

// slowness returns the ratio of run time to estimate. The prior counts as much as
// tasks with a total estimate of weight.
func (r *runTimes) slowness(prior float64, weight time.Duration) float64 {
	return (float64(r.ran) + prior*float64(weight)) / float64(r.estimated+weight)
}

func (h *health) recordSuccess() { h.setFailures(h.failures * (1 - failureWeight)) }

func (h *health) recordFailure() { h.setFailures(h.failures + (1-h.failures)*failureWeight) }

// setFailures sets the share of failures. The two thresholds form a hysteresis, so
// that a server does not get its full load as soon as it drops below suspectShare.
func (h *health) setFailures(share float64) {
	h.failures = share
	switch {
	case share > suspectShare:
		h.suspect = true
	case share < recoveredShare:
		h.suspect = false
	}
}

// recordStartReply records whether the connection of a start broke.
func (h *health) recordStartReply(broken bool) {
	h.broken *= 1 - failureWeight
	if broken {
		h.broken += failureWeight
	}
}

func (h *health) brokenPerMille() int { return int(h.broken * perMille) }

func (h *health) failingPerMille() int { return int(h.failures * perMille) }

// recordRunTime records the run time of a finished task. Long tasks have more
// weight, because clock resolution and fixed overheads distort them less.
func (h *health) recordRunTime(now time.Time, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	h.decay(now)
	h.samples++
	h.recent.add(ran, estimate)
	h.longTerm.add(ran, estimate)
}

// decay reduces the weight of earlier measurements. A server that was slow or
// failed its tasks and therefore gets no more of them is tried again this way.
func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() && now.After(h.decayedAt) {
		f := math.Exp(-float64(now.Sub(h.decayedAt)) / float64(failureDecayTime))
		h.setFailures(h.failures * f)
		h.broken *= f
	}
	h.decayedAt = now
	h.recent.decay(now, recentDecayTime)
	h.longTerm.decay(now, longTermDecayTime)
}

// baseline returns the slowness of the server when it works normally. It is kept
// within bounds around the nominal 1.0, so that no server is excluded for good.
func (h *health) baseline() float64 {
	prior := 1.0
	if h.priorBaseline > 0 {
		prior = h.priorBaseline
	}
	return min(max(h.longTerm.slowness(prior, baselinePrior), minBaseline), maxBaseline)
}

// expectedSlowness returns the expected ratio of run time to estimate.
func (h *health) expectedSlowness() float64 {
	combined := runTimes{ran: h.recent.ran + h.inFlight.ran, estimated: h.recent.estimated + h.inFlight.estimated}
	return combined.slowness(h.baseline(), recentPrior)
}

// expectedRunTime returns the expected run time of a task on this server.
func (h *health) expectedRunTime(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * h.expectedSlowness())
}

func (h *health) slownessPerMille() int { return int(h.expectedSlowness() * perMille) }
