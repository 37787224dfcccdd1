package quota

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds on promises.
const (
	// maxPromises bounds the remembered promises; later refusals get the time
	// of the last one.
	maxPromises = 4096
	// promiseGrace is how long after its time a promise is kept open.
	promiseGrace = 250 * time.Millisecond
	// promiseEarly is how long before its time a promise may be called in.
	promiseEarly = 20 * time.Millisecond
)

// Promises gives refused jobs times to come back that lie apart by the work of
// those before them, and remembers them, so that newcomers do not take the
// place of a job that keeps its time. It is not safe for concurrent use.
type Promises struct {
	order []*promise // by time
	byJob map[structs.JobID]*promise
}

type promise struct {
	job   structs.JobID
	at    time.Time
	tasks int
	over  bool
}

// NewPromises returns an empty ledger.
func NewPromises() *Promises {
	return &Promises{byJob: make(map[structs.JobID]*promise)}
}

// Len returns the number of open promises.
func (p *Promises) Len() int { return len(p.byJob) }

// Make promises a job of n tasks a time to come back: free, or once those
// promised before it have had their time at perTask each. A job that asks
// again too early is told its time again.
func (p *Promises) Make(now time.Time, id structs.JobID, n int, free time.Time, perTask time.Duration) time.Time {
	p.expire(now)
	if old := p.byJob[id]; old != nil && old.at.After(now) {
		return old.at
	}
	p.Settle(now, id)
	at := free
	if last := p.last(); last != nil {
		if after := last.at.Add(time.Duration(last.tasks) * perTask); after.After(at) {
			at = after
		}
	}
	if len(p.order) < maxPromises {
		made := &promise{job: id, at: at, tasks: n}
		p.order = append(p.order, made)
		p.byJob[id] = made
	}
	return at
}

// Kept reports whether the job comes at the time it was promised.
func (p *Promises) Kept(now time.Time, id structs.JobID) bool {
	made := p.byJob[id]
	if made == nil {
		return false
	}
	return !now.Before(made.at.Add(-promiseEarly)) && now.Before(made.at.Add(promiseGrace))
}

// Due returns how many jobs are promised a time up to until and have not come.
func (p *Promises) Due(now, until time.Time) int {
	p.expire(now)
	n := 0
	for _, made := range p.order {
		if made.at.After(until) {
			break
		}
		if !made.over {
			n++
		}
	}
	return n
}

// Settle forgets a job's promise.
func (p *Promises) Settle(_ time.Time, id structs.JobID) {
	if made := p.byJob[id]; made != nil {
		made.over = true
		delete(p.byJob, id)
	}
}

func (p *Promises) last() *promise {
	if len(p.order) == 0 {
		return nil
	}
	return p.order[len(p.order)-1]
}

// expire drops promises from the front that are over or were not kept.
func (p *Promises) expire(now time.Time) {
	for len(p.order) > 0 {
		first := p.order[0]
		if !first.over && now.Before(first.at.Add(promiseGrace)) {
			return
		}
		first.over = true
		if p.byJob[first.job] == first {
			delete(p.byJob, first.job)
		}
		p.order = p.order[1:]
	}
}
