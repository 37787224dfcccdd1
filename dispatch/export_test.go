package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

// CancelsTimeout is the longest delay of submissions after the start of an entry.
const CancelsTimeout = cancelsTimeout

// SetPolicy replaces how the capacity of a service is divided between queues.
func (d *Dispatcher) SetPolicy(service string, p shares.Policy) {
	d.shares[service] = &serviceShares{ledger: shares.Ledger{Policy: p}, returns: make(map[int]*quota.RetrySchedule)}
}

// ScannedDeadlines returns the number of open jobs and the earliest of their deadlines and
// of the in-doubt timeouts, zero if there is none.
func (d *Dispatcher) ScannedDeadlines() (open int, earliest time.Time) {
	by := func(t time.Time) {
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	for _, j := range d.jobs {
		if !j.answered {
			open++
			by(j.deadline)
		}
	}
	for _, p := range d.placements {
		if !p.inDoubtUntil.IsZero() {
			by(p.inDoubtUntil)
		}
	}
	return open, earliest
}

// IndexedDeadlines is ScannedDeadlines by the heaps that the Dispatcher uses.
func (d *Dispatcher) IndexedDeadlines() (open int, earliest time.Time) {
	if d.openJobs.Len() > 0 {
		earliest = d.openJobs.First().deadline
	}
	if d.inDoubt.Len() > 0 && (earliest.IsZero() || d.inDoubt.First().inDoubtUntil.Before(earliest)) {
		earliest = d.inDoubt.First().inDoubtUntil
	}
	return d.openJobs.Len(), earliest
}

// StepChecked is Step with replies to CheckCallers, by which the given callers have left.
func (d *Dispatcher) StepChecked(now time.Time, ev Event, left map[CallID]bool) []Effect {
	effects := d.Step(now, ev)
	for _, ef := range effects {
		check, ok := ef.(CheckCallers)
		if !ok {
			continue
		}
		var reply CallersChecked
		for _, call := range check.Calls {
			if left[call] {
				reply.Left = append(reply.Left, call)
			} else {
				reply.Connected = append(reply.Connected, call)
			}
		}
		effects = append(effects, d.StepChecked(now, reply, left)...)
	}
	return effects
}
