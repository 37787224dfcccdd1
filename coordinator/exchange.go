package coordinator

import "time"

// Delays between attempts to hand over one revision to, or from, one agent.
const (
	exchangeRetry    = 2 * time.Second
	exchangeRetryMax = time.Minute
)

// exchange paces the attempts to hand over revisions in one direction: a new
// revision at once, the same one again after a growing delay, since a message
// may be lost and an agent may refuse a text.
type exchange struct {
	revision uint64
	at       time.Time
	delay    time.Duration
}

// due reports whether the revision is to be handed over now, and notes it.
func (x *exchange) due(now time.Time, revision uint64) bool {
	if revision > x.revision {
		*x = exchange{revision: revision, at: now, delay: exchangeRetry}
		return true
	}
	if now.Sub(x.at) < x.delay {
		return false
	}
	x.at = now
	x.delay = min(2*x.delay, exchangeRetryMax)
	return true
}

// exchangeDocument sends the agent the revision it lacks, or fetches the one it
// has and this entry lacks.
func (c *Coordinator) exchangeDocument(a *agent) {
	ours := a.service.record.Revision
	theirs := a.state.Revision
	switch {
	case theirs < ours && a.push.due(c.now, ours):
		c.emit(PushDocument{Agent: a.info.Incarnation, Record: a.service.record})
	case theirs > ours && a.fetch.due(c.now, theirs):
		c.emit(FetchDocument{Agent: a.info.Incarnation, Service: a.service.name})
	}
}
