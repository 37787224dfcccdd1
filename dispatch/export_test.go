package dispatch

import (
	"slices"
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

// Callers are those whose connections have ended without CallClosed so far, and those from which no sign
// arrives.
type Callers struct {
	Left, Silent map[CallID]bool
	// Newer are jobs of which other entries have newer submissions, in reply to AskPeers.
	Newer []JobElsewhere
}

// StepChecked is Step with replies to CheckCallers, ProbeCallers, CheckProbes and AskPeers.
func (d *Dispatcher) StepChecked(now time.Time, ev Event, callers Callers) []Effect {
	effects := d.Step(now, ev)
	for _, ef := range effects {
		switch ef := ef.(type) {
		case CheckCallers:
			connected, left := callers.look(ef.Calls)
			effects = append(effects, d.StepChecked(now, CallersChecked{Connected: connected, Left: left}, callers)...)
		case AskPeers:
			effects = append(effects, d.StepChecked(now, PeersAsked{Jobs: ef.Jobs, Newer: callers.Newer}, callers)...)
		case CheckProbes:
			connected, left := callers.look(ef.Calls)
			var reply CallersAcknowledged
			reply.Left = left
			for _, call := range connected {
				if callers.Silent[call] {
					reply.Silent = append(reply.Silent, call)
				} else {
					reply.Calls = append(reply.Calls, call)
				}
			}
			effects = append(effects, d.StepChecked(now, reply, callers)...)
		case ProbeCallers:
			connected, left := callers.look(ef.Calls)
			connected = slices.DeleteFunc(connected, func(c CallID) bool { return callers.Silent[c] })
			if len(connected)+len(left) > 0 {
				effects = append(effects, d.StepChecked(now, CallersAcknowledged{Calls: connected, Left: left}, callers)...)
			}
		}
	}
	return effects
}

// look returns the callers that have not left, and those that have.
func (c Callers) look(calls []CallID) (connected, left []CallID) {
	for _, call := range calls {
		if c.Left[call] {
			left = append(left, call)
		} else {
			connected = append(connected, call)
		}
	}
	return connected, left
}

// JobsElsewhere returns the number of jobs of other entries that are remembered.
func (d *Dispatcher) JobsElsewhere() int { return len(d.elsewhere) }
