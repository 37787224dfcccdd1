package placement

import "time"

// Ejection of agents whose backend server fails.
const (
	// failureWeight is the weight of one more outcome in the failure rate.
	failureWeight = 0.1
	// ejectRate is the failure rate above which an agent may be ejected, and
	// ejectMargin how far it must be above the mean of the service's agents.
	ejectRate   = 0.4
	ejectMargin = 0.25
	// ejectFirst is how long a first ejection lasts; each one that follows
	// without a full recovery lasts twice as long, up to ejectLongest.
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second
	// ejectShare is the share of a service's agents that may be out at once.
	ejectShare = 1.0 / 3
	// probationTasks is how many tasks an agent gets at once after an ejection,
	// and probationPasses how many must succeed in a row before it is back.
	probationTasks  = 1
	probationPasses = 3
)

type healthState uint8

const (
	healthy healthState = iota
	ejected
	probation
)

// health tells whether an agent's backend server fails more than it should.
type health struct {
	state     healthState
	rate      float64 // moving average of failures
	ejections int     // since it was last well
	// until is the end of the ejection; for an agent that should be ejected and
	// was left in, when its rate is halved, so that it is tried again.
	until  time.Time
	passes int // successes in a row on probation
}

// succeeded takes in a success.
func (h *health) succeeded() {
	h.rate -= failureWeight * h.rate
	if h.state != probation {
		if h.rate < failureWeight/10 {
			h.ejections = 0
		}
		return
	}
	h.passes++
	if h.passes >= probationPasses {
		h.state = healthy
	}
}

// failed takes in a failure; it returns whether the agent is to be ejected, as
// far as others leave room for it.
func (h *health) failed(service float64) bool {
	h.rate += failureWeight * (1 - h.rate)
	switch h.state {
	case probation:
		return true
	case ejected:
		return false
	}
	return h.rate > ejectRate && h.rate > service+ejectMargin
}

// leaveIn marks an agent for which there is no room among the ejected.
func (h *health) leaveIn(now time.Time) {
	if h.state == healthy && h.rate > ejectRate {
		h.until = now.Add(ejectFirst)
	}
}

func (h *health) eject(now time.Time) {
	lasts := min(ejectFirst<<min(h.ejections, 10), ejectLongest)
	h.ejections++
	h.state = ejected
	h.passes = 0
	h.until = now.Add(lasts)
}

// wake lets the time until pass: an ejection ends.
func (h *health) wake(now time.Time) {
	if h.until.IsZero() || h.until.After(now) {
		return
	}
	h.until = time.Time{}
	if h.state != ejected {
		h.rate /= 2
		return
	}
	h.state = probation
	h.rate = 0
}
