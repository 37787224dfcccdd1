package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/retry"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// service is the state of one service at this entry.
type service struct {
	name       string
	record     structs.DocumentRecord
	doc        *document.Document
	policy     placement.Policy
	agents     []*agent
	queue      queue
	throughput throughput

	limiter *quota.Limiter
	// retrySchedule holds the retry times assigned to jobs that were refused for
	// lack of capacity.
	retrySchedule *quota.RetrySchedule
	retries       *retry.Budget
	retryDelayed  []queuedTask // tasks that wait for the retry budget
}

// service returns the named service and creates it on first use.
func (c *Coordinator) service(name string) *service {
	svc := c.services[name]
	if svc == nil {
		seed := c.opts.Seed + uint64(len(c.services))
		svc = &service{
			name:          name,
			policy:        c.opts.NewPolicy(seed),
			queue:         newQueue(c.opts.MaxOpenTasks),
			limiter:       quota.New(),
			retrySchedule: quota.NewRetrySchedule(),
			retries:       retry.NewBudget(0),
		}
		svc.limiter.SetLiveEntries(c.now, c.liveEntries)
		c.services[name] = svc
	}
	return svc
}

// leaving reports whether the document withdraws the whole service from new
// work.
func (s *service) leaving(now time.Time) bool {
	return s.doc != nil && s.doc.Leaving("", now)
}

// available reports whether at least one agent may get new tasks.
func (s *service) available() bool {
	for _, a := range s.agents {
		if a.usable() {
			return true
		}
	}
	return false
}

// documentChanged applies a new document revision. Older revisions are ignored.
func (c *Coordinator) documentChanged(e DocumentChanged) {
	svc := c.service(e.Record.Service)
	if e.Record.Revision <= svc.record.Revision {
		return
	}
	svc.record = e.Record
	svc.setDocument(c.now, e.Document)
	c.emit(LogEvent{Event: "document_in_force", Task: noTask, Detail: svc.name})
	for _, a := range svc.agents {
		c.updateEligibility(a)
		c.syncDocument(a)
	}
}

// setDocument applies the limits and team shares of a document.
func (s *service) setDocument(now time.Time, doc *document.Document) {
	if s.doc != nil {
		for team := range s.doc.Teams {
			s.queue.SetWeight(team, 0)
		}
	}
	for team, q := range doc.Teams {
		s.queue.SetWeight(team, q.Share)
	}
	s.doc = doc
	s.limiter.SetDocument(now, doc)
	s.retries.SetShare(doc.Limits.Retries)
}
