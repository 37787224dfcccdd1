package coordinator

import "time"

// pauseThreshold is the time without any event after which this process must
// itself have been paused: it gets a Ticked every TickInterval.
const pauseThreshold = 10 * TickInterval

// compensatePause extends the timers that measure the silence of agents by the
// time this process was paused. Messages that arrived during the pause may not
// have been read yet.
func (c *Coordinator) compensatePause(now time.Time) {
	gap := now.Sub(c.now)
	if c.now.IsZero() || gap < pauseThreshold {
		return
	}
	for _, a := range c.agentList {
		a.lastContact = a.lastContact.Add(gap)
		if !a.unansweredSince.IsZero() {
			a.unansweredSince = a.unansweredSince.Add(gap)
		}
	}
	for _, j := range c.openList {
		if j.failure != nil {
			j.verdictDeadline = j.verdictDeadline.Add(gap)
		}
	}
}
