package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// A caller that has left may submit its job to another entry, and may be told there that the job
// never runs. An entry can handle what it has received much later, because it was suspended or is
// short of processor time. It therefore starts tasks only for callers that are connected: those of
// submissions that it handles now, and those that CheckCallers has confirmed.

// CallerCheckAge is how long a caller counts as connected after a check. It bounds how often the
// callers of held jobs are checked, and is far below the time after which a caller submits again.
const CallerCheckAge = 50 * time.Millisecond

// waitingSubmission is a submission that is handled later: the entry has not heard of cancels yet,
// or tasks of an earlier submission of the job are still being stopped.
type waitingSubmission struct {
	SubmitCalled
	arrived   time.Time
	checkedAt time.Time // when its caller was last known to be connected
}

// reassignment is a task to be placed again after its last placement has ended without success.
type reassignment struct {
	job    *job
	index  int
	agent  string // of the last placement
	reason string // why that has ended
}

func (d *Dispatcher) newWaitingSubmission(e SubmitCalled) waitingSubmission {
	return waitingSubmission{SubmitCalled: e, arrived: d.now, checkedAt: d.now}
}

// isChecked reports whether a caller that was known to be connected at the given time still
// counts as connected.
func (d *Dispatcher) isChecked(at time.Time) bool { return d.now.Sub(at) <= CallerCheckAge }

// checkCallers asks for the callers of all jobs whose tasks wait for that.
func (d *Dispatcher) checkCallers() {
	var calls []CallID
	d.reassignments = slices.DeleteFunc(d.reassignments, func(r reassignment) bool { return r.ended() })
	for _, r := range d.reassignments {
		calls = append(calls, r.job.calls...)
	}
	if d.heldUnchecked {
		for _, j := range d.heldJobs {
			if !d.isChecked(j.checkedAt) {
				calls = append(calls, j.calls...)
			}
		}
	}
	for _, s := range d.ready {
		calls = append(calls, s.Call)
	}
	if len(calls) > 0 {
		slices.Sort(calls)
		d.emit(CheckCallers{Calls: slices.Compact(calls)})
	}
}

// callersChecked removes the callers that have left, and places what waited for the others.
func (d *Dispatcher) callersChecked(e CallersChecked) {
	for _, call := range e.Left {
		d.callClosed(call, "disconnected before tasks were placed")
	}
	for _, call := range e.Connected {
		if j := d.calls[call]; j != nil {
			j.checkedAt = d.now
		}
		if i := slices.IndexFunc(d.ready, func(s waitingSubmission) bool { return s.Call == call }); i >= 0 {
			d.ready[i].checkedAt = d.now
		}
	}
	waiting := d.reassignments
	d.reassignments = nil
	for _, r := range waiting {
		d.placeAgain(r)
	}
}

// ended reports whether the task need not be placed any more, or has been.
func (r *reassignment) ended() bool {
	t := &r.job.tasks[r.index]
	return r.job.answered || r.job.abandonErr != nil || t.done || t.current != nil
}

// placeAgain places a task again if a caller of its job is connected; otherwise it waits for
// CallersChecked. If the task cannot be placed, it holds or abandons the job.
func (d *Dispatcher) placeAgain(r reassignment) {
	j := r.job
	if r.ended() {
		return
	}
	if !d.isChecked(j.checkedAt) {
		d.reassignments = append(d.reassignments, r)
		return
	}
	plan, err := d.plan(j, []int{r.index}, j.deadline)
	if err != nil && d.mayHold(j, err) {
		d.hold(j, err)
		return
	}
	if err != nil {
		d.abandon(j, err.Code, err.Message+"; last outcome "+r.reason)
		return
	}
	d.emit(LogEvent{Event: "task_placed_again", Job: j.Name, Queue: j.Queue.Name, Agent: r.agent,
		Detail: fmt.Sprintf("task=%d why=%q to=%s", r.index, r.reason, plan[0].agent.name)})
	d.place(j, plan)
}

// submitReady submits what has waited and need not wait longer, if its caller is connected.
func (d *Dispatcher) submitReady() {
	list := d.ready
	d.ready = nil
	for _, s := range list {
		if !d.isChecked(s.checkedAt) {
			d.ready = append(d.ready, s)
			continue
		}
		waited := d.now.Sub(s.arrived)
		s.Job.Waited += waited
		if s.Job.Timeout > 0 {
			s.Job.Timeout = max(s.Job.Timeout-waited, time.Millisecond)
		}
		d.submit(s.SubmitCalled, s.checkedAt)
	}
}
