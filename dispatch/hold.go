package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// An entry that has just started, or that was suspended until all its sessions
// had ended, has no agent for some tens of ms. Jobs submitted during this time,
// and those whose tasks were lost, are held rather than refused, because refused
// callers retry only after a second or more.

// holdDeadline records that a service has no agent that can run a job, and
// returns until when its jobs may be held. A service that has had no agent yet
// counts as without agents since the entry started.
func (d *Dispatcher) holdDeadline(service string) time.Time {
	since, ok := d.noAgentSince[service]
	switch {
	case !ok:
		since = d.opts.Started
		d.noAgentSince[service] = since
	case since.IsZero():
		since = d.now
		d.noAgentSince[service] = since
	}
	return since.Add(HoldTimeout)
}

// mayHold reports whether a job that could not be placed because of err may be
// held.
func (d *Dispatcher) mayHold(j *job, err *structs.Error) bool {
	return err.Code == structs.CodeUnavailable && d.now.Before(d.holdDeadline(j.Queue.Service))
}

// hold keeps a job until agents are available, or its hold time is over.
func (d *Dispatcher) hold(j *job, err *structs.Error) {
	if slices.Contains(d.heldJobs, j) {
		return // already held because of another of its tasks
	}
	j.holdUntil = d.holdDeadline(j.Queue.Service)
	d.heldJobs = append(d.heldJobs, j)
	d.emit(LogEvent{Event: "job_held", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("reason=%q at_most_ms=%d", err.Message, j.holdUntil.Sub(d.now).Milliseconds())})
}

// placeHeldJobs places the held jobs in the order in which they were held: those
// already admitted if they can end before their deadline, others if they can end
// within their objective or, once their hold time is over, while their answer is
// useful. Jobs that cannot be placed when their hold time is over are abandoned.
// It stops at the first job that has to be held longer, because an entry that
// was just resumed has many of them and little processor time. Jobs whose callers
// have to be checked stay held.
func (d *Dispatcher) placeHeldJobs() {
	held := d.heldJobs
	d.heldJobs = nil
	d.heldUnchecked = false
	unchecked := 0
	for i, j := range held {
		if j.answered || j.abandonErr != nil {
			continue
		}
		if j.checked != d.steps {
			d.heldJobs = append(d.heldJobs, j)
			if d.awaitsSign(j) {
				continue
			}
			d.heldUnchecked = true
			if d.hasFreshCaller(j) {
				unchecked++
			}
			if unchecked == maxHeldChecked {
				d.heldJobs = append(d.heldJobs, held[i+1:]...)
				return
			}
			continue
		}
		holdExpired := !d.now.Before(j.holdUntil)
		latest := j.objective
		switch {
		case j.admitted:
			latest = j.deadline
		case holdExpired:
			latest = d.latestUsefulEnd(j)
		}
		plan, err := d.plan(j, j.unplaced(), latest)
		switch {
		case err == nil:
			d.admit(j, plan)
		case holdExpired:
			d.abandon(j, err.Code, err.Message)
		default:
			d.heldJobs = append(d.heldJobs, held[i:]...)
			d.heldUnchecked = false
			return
		}
	}
}

// heldJobsDue reports whether the held jobs are to be tried again: an agent has
// become available or has changed, the hold time of a job is over, or an earlier
// try has waited for CallersChecked.
func (d *Dispatcher) heldJobsDue() bool {
	due := d.earliestHoldDeadline()
	return !due.IsZero() && (d.agentsChanged || d.heldUnchecked || !d.now.Before(due))
}

// earliestHoldDeadline returns when the first of the hold times ends, of jobs that do
// not wait for signs of their callers; zero if there is none.
func (d *Dispatcher) earliestHoldDeadline() time.Time {
	var earliest time.Time
	for _, j := range d.heldJobs {
		if (earliest.IsZero() || j.holdUntil.Before(earliest)) && !d.awaitsSign(j) {
			earliest = j.holdUntil
		}
	}
	return earliest
}
