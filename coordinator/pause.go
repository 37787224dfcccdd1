package coordinator

import "time"

// pausedAfter is the time without any event after which this process must have
// been paused itself: it gets a Ticked every TickInterval.
const pausedAfter = 10 * TickInterval

// notePause keeps the time in which this process was paused from counting as
// the silence of others. Their messages of that time may not have been read yet.
func (c *Coordinator) notePause(now time.Time) {
	gap := now.Sub(c.now)
	if c.now.IsZero() || gap < pausedAfter {
		return
	}
	for _, a := range c.order {
		a.heard = a.heard.Add(gap)
		if !a.unanswered.IsZero() {
			a.unanswered = a.unanswered.Add(gap)
		}
	}
	for _, j := range c.open {
		if j.failure != nil {
			j.failBy = j.failBy.Add(gap)
		}
	}
}
