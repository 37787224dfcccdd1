package coordinator

import "time"

// Retry delays for one document revision, per agent and direction.
const (
	transferRetryDelay    = 2 * time.Second
	transferRetryDelayMax = time.Minute
)

// documentTransfer limits how often a document revision is sent to an agent or
// fetched from it. A new revision is transferred at once. The same one is tried
// again with exponential backoff, because a message may be lost and an agent
// may reject a document.
type documentTransfer struct {
	revision uint64
	at       time.Time
	delay    time.Duration
}

// due reports whether to transfer the revision now and, if so, records the
// attempt.
func (t *documentTransfer) due(now time.Time, revision uint64) bool {
	if revision > t.revision {
		*t = documentTransfer{revision: revision, at: now, delay: transferRetryDelay}
		return true
	}
	if now.Sub(t.at) < t.delay {
		return false
	}
	t.at = now
	t.delay = min(2*t.delay, transferRetryDelayMax)
	return true
}

// syncDocument sends the agent a newer revision of its service's document, or
// fetches a newer one from the agent.
func (c *Coordinator) syncDocument(a *agent) {
	ours := a.service.record.Revision
	theirs := a.state.Revision
	switch {
	case theirs < ours && a.push.due(c.now, ours):
		c.emit(PushDocument{Agent: a.info.Incarnation, Record: a.service.record})
	case theirs > ours && a.fetch.due(c.now, theirs):
		c.emit(FetchDocument{Agent: a.info.Incarnation, Service: a.service.name})
	}
}
