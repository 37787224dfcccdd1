package quota

import "time"

// Bounds on promises.
const (
	// maxPromises bounds the remembered promises; later refusals get the time
	// of the last one.
	maxPromises = 4096
	// promiseGrace is how long after its time a promise is kept open, besides
	// promiseSpread of the wait: clients stretch what they are told.
	promiseGrace  = 250 * time.Millisecond
	promiseSpread = 0.3
	// promiseEarly is how long before its time a promise may be called in.
	promiseEarly = 20 * time.Millisecond
)

// Key identifies the content of a submission. A refused job comes back under
// another id, with the same content.
type Key [16]byte

// RetrySchedule gives refused jobs times to come back that lie apart by the work of
// those before them, and remembers them, so that newcomers do not take the
// place of a job that keeps its time. It is not safe for concurrent use.
type RetrySchedule struct {
	order []*promise // by time
	byKey map[Key][]*promise
}

type promise struct {
	key   Key
	at    time.Time
	until time.Time
	tasks int
	over  bool
}

// NewRetrySchedule returns an empty ledger.
func NewRetrySchedule() *RetrySchedule {
	return &RetrySchedule{byKey: make(map[Key][]*promise)}
}

// Assign promises a job of n tasks a time to come back: free, or once those
// promised before it have had their time at perTask each.
func (p *RetrySchedule) Assign(now time.Time, key Key, n int, free time.Time, perTask time.Duration) time.Time {
	p.expire(now)
	at := free
	if last := p.last(); last != nil {
		if after := last.at.Add(time.Duration(last.tasks) * perTask); after.After(at) {
			at = after
		}
	}
	if len(p.order) < maxPromises {
		grace := promiseGrace + time.Duration(promiseSpread*float64(at.Sub(now)))
		made := &promise{key: key, at: at, until: at.Add(grace), tasks: n}
		p.order = append(p.order, made)
		p.byKey[key] = append(p.byKey[key], made)
	}
	return at
}

// IsDue reports whether the job comes at a time it was promised.
func (p *RetrySchedule) IsDue(now time.Time, key Key) bool {
	p.expire(now)
	list := p.byKey[key]
	return len(list) > 0 && !now.Before(list[0].at.Add(-promiseEarly))
}

// Pending returns how many jobs, and tasks of them, are promised a time up to until
// and have not come.
func (p *RetrySchedule) Pending(now, until time.Time) (jobs, tasks int) {
	p.expire(now)
	for _, made := range p.order {
		if made.at.After(until) {
			break
		}
		if !made.over {
			jobs++
			tasks += made.tasks
		}
	}
	return jobs, tasks
}

// Consume forgets the job's promise, if it comes at the time of one.
func (p *RetrySchedule) Consume(now time.Time, key Key) {
	if p.IsDue(now, key) {
		p.byKey[key][0].over = true
		p.dropFirst(key)
	}
}

func (p *RetrySchedule) dropFirst(key Key) {
	if list := p.byKey[key][1:]; len(list) > 0 {
		p.byKey[key] = list
		return
	}
	delete(p.byKey, key)
}

func (p *RetrySchedule) last() *promise {
	if len(p.order) == 0 {
		return nil
	}
	return p.order[len(p.order)-1]
}

// expire drops promises from the front that are over or were not kept.
func (p *RetrySchedule) expire(now time.Time) {
	for len(p.order) > 0 {
		first := p.order[0]
		if !first.over && now.Before(first.until) {
			return
		}
		if !first.over {
			p.dropFirst(first.key)
		}
		p.order = p.order[1:]
	}
}
