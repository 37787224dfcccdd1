package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// An entry that has just started, or that was suspended until all its sessions
// had ended, has no agent for some tens of ms. Jobs that come meanwhile, and
// those whose tasks were lost, are held, for callers that are refused come back
// only after a second or more.

// outage notes that a service has no agent, and returns until when its jobs may
// be held. One that never had any has been without since the start.
func (d *Dispatcher) outage(service string) time.Time {
	since, ok := d.noneSince[service]
	switch {
	case !ok:
		since = d.opts.Started
		d.noneSince[service] = since
	case since.IsZero():
		since = d.now
		d.noneSince[service] = since
	}
	return since.Add(HoldTimeout)
}

// mayHold reports whether a job that cannot be placed for the reason may wait.
func (d *Dispatcher) mayHold(j *job, err *structs.Error) bool {
	return err.Code == structs.CodeUnavailable && d.now.Before(d.outage(j.Queue.Service))
}

// hold keeps a job until agents are there.
func (d *Dispatcher) hold(j *job, err *structs.Error) {
	if slices.Contains(d.held, j) {
		return // another of its tasks waits already
	}
	j.heldUntil = d.outage(j.Queue.Service)
	d.held = append(d.held, j)
	d.emit(LogEvent{Event: "job_held", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("reason=%q at_most_ms=%d", err.Message, j.heldUntil.Sub(d.now).Milliseconds())})
}

// tryHeld places the held jobs, oldest first: those that were taken before, and
// others that can end within their objective or, once the time to hold them is
// over, while their answer is worth something. What is left then is given up on.
// It stops at the first that does not fit yet: an entry that wakes up has many,
// and little processor time.
func (d *Dispatcher) tryHeld() {
	held := d.held
	d.held = nil
	for i, j := range held {
		if j.answered || j.ending != nil {
			continue
		}
		over := !d.now.Before(j.heldUntil)
		latest := j.objective
		switch {
		case j.taken:
			latest = j.deadline
		case over:
			latest = d.latestEnd(j)
		}
		plan, err := d.plan(j, j.unplaced(), latest)
		switch {
		case err == nil:
			d.admit(j, plan)
		case over:
			d.giveUp(j, err.Code, err.Message)
		default:
			d.held = append(d.held, held[i:]...)
			return
		}
	}
}

// heldDue reports whether the held jobs are worth a try: an agent has come, or
// the time to hold them is over.
func (d *Dispatcher) heldDue() bool {
	wake := d.heldWake()
	return !wake.IsZero() && (d.agentCame || !d.now.Before(wake))
}

// heldWake returns when the held jobs must be decided on; zero if there are none.
func (d *Dispatcher) heldWake() time.Time {
	var wake time.Time
	for _, j := range d.held {
		if wake.IsZero() || j.heldUntil.Before(wake) {
			wake = j.heldUntil
		}
	}
	return wake
}
