package placement

import "time"

// Outlier ejection of agents whose backend server fails.
const (
	// failureWeight is the weight of the latest outcome in the moving average of
	// failures.
	failureWeight = 0.1
	// An agent is ejected if its failure rate exceeds ejectionFailureRate and
	// is more than ejectionMargin above the mean of the service's agents.
	ejectionFailureRate = 0.4
	ejectionMargin      = 0.25
	// baseEjectionTime is the duration of a first ejection. Each further one
	// without a full recovery in between lasts twice as long, up to
	// maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjectedShare is the largest share of a service's agents that may be
	// ejected at the same time.
	maxEjectedShare = 1.0 / 3
	// maxProbationTasks is how many tasks an agent may run at once after an
	// ejection. requiredSuccesses is how many must then succeed in a row before
	// the agent is healthy again.
	maxProbationTasks = 1
	requiredSuccesses = 3
)

type healthState uint8

const (
	healthy healthState = iota
	ejected
	probation
)

// health tracks the failures of an agent's backend server and the ejection
// state that follows from them.
type health struct {
	state       healthState
	failureRate float64 // exponentially weighted moving average
	ejections   int     // since the last full recovery
	// expiresAt is when the ejection ends. For an agent that qualified for
	// ejection but was not ejected, it is when its failure rate is halved, so
	// that the agent gets tasks again.
	expiresAt time.Time
	successes int // in a row, on probation
}

func (h *health) recordSuccess() {
	h.failureRate -= failureWeight * h.failureRate
	if h.state != probation {
		if h.failureRate < failureWeight/10 {
			h.ejections = 0
		}
		return
	}
	h.successes++
	if h.successes >= requiredSuccesses {
		h.state = healthy
	}
}

// recordFailure records a failure and reports whether the agent qualifies for
// ejection. meanFailureRate is the mean over the service's agents.
func (h *health) recordFailure(meanFailureRate float64) bool {
	h.failureRate += failureWeight * (1 - h.failureRate)
	switch h.state {
	case probation:
		return true
	case ejected:
		return false
	}
	return h.failureRate > ejectionFailureRate && h.failureRate > meanFailureRate+ejectionMargin
}

// skipEjection is called instead of eject if the agent does not qualify, or if
// maxEjectedShare does not permit one more ejection.
func (h *health) skipEjection(now time.Time) {
	if h.state == healthy && h.failureRate > ejectionFailureRate {
		h.expiresAt = now.Add(baseEjectionTime)
	}
}

func (h *health) eject(now time.Time) {
	duration := min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
	h.state = ejected
	h.successes = 0
	h.expiresAt = now.Add(duration)
}

// handleTimer applies the change that is due at expiresAt, if that has passed:
// an ejected agent goes on probation, the failure rate of any other is halved.
func (h *health) handleTimer(now time.Time) {
	if h.expiresAt.IsZero() || h.expiresAt.After(now) {
		return
	}
	h.expiresAt = time.Time{}
	if h.state != ejected {
		h.failureRate /= 2
		return
	}
	h.state = probation
	h.failureRate = 0
}
