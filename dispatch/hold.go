package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// An entry that has just started knows no agent for some tens of ms. Jobs that
// come meanwhile are held, for callers come back only after a second or more.

// graceEnd returns until when jobs may be held.
func (d *Dispatcher) graceEnd() time.Time { return d.opts.Started.Add(StartGrace) }

// hold keeps a job until agents are there.
func (d *Dispatcher) hold(j *job, err *structs.Error) {
	d.held = append(d.held, j)
	d.emit(LogEvent{Event: "job_held", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("reason=%q at_most_ms=%d", err.Message, d.graceEnd().Sub(d.now).Milliseconds())})
}

// tryHeld places the held jobs that can end within their objective or, once the
// grace is over, while their answer is worth something. Others are refused then.
func (d *Dispatcher) tryHeld() {
	over := !d.now.Before(d.graceEnd())
	d.held = slices.DeleteFunc(d.held, func(j *job) bool {
		if j.answered || j.ending != nil {
			return true
		}
		latest := j.objective
		if over {
			latest = d.latestEnd(j)
		}
		plan, err := d.plan(j, j.allTasks(), latest)
		switch {
		case err == nil:
			d.admit(j, plan)
		case over:
			d.giveUp(j, err.Code, err.Message)
		default:
			return false
		}
		return true
	})
}

// heldWake returns when the held jobs must be decided on; zero if there are none.
func (d *Dispatcher) heldWake() time.Time {
	if len(d.held) == 0 {
		return time.Time{}
	}
	return d.graceEnd()
}
