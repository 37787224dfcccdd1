package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// A caller that has left may submit its job to another entry, which may reject it as not run. An
// entry can handle what it has received much later, because it was suspended or is
// short of processor time. A task is therefore placed only in a step that shows that a caller of its
// job is connected, as far as the entry's sockets show: its submission, or CallersChecked. The last sign
// of that caller has to be young besides, see liveness.go.

// maxHeldChecked bounds the held jobs whose callers are checked at once: most of them may have to be held
// longer.
const maxHeldChecked = 32

// waitingSubmission is a submission that is handled later: the entry has not heard of cancels yet,
// or tasks of an earlier submission of the job are still being stopped.
type waitingSubmission struct {
	SubmitCalled
	arrived    time.Time
	checked    uint64 // step in which its caller was last known to be connected; zero if its last sign is old
	awaitsPeer bool   // another entry, which has announced the job, is asked to stop it
}

// reassignment is a task to be placed again after its last placement has ended without success.
type reassignment struct {
	job    *job
	index  int
	agent  string // of the last placement
	reason string // why that has ended
	retry  bool   // it is taken from Dispatcher.retries when it is placed
}

// submitCalled handles a submission, or keeps it until it may be handled.
func (d *Dispatcher) submitCalled(e SubmitCalled) {
	c := d.addCaller(e)
	entry := d.announcingEntry(e.Job.Name)
	switch {
	case d.delay(e):
	case entry != "":
		s := d.newWaitingSubmission(e)
		s.awaitsPeer = true
		d.ready = append(d.ready, s)
		d.emit(LogEvent{Event: "job_open_elsewhere", Job: e.Job.Name, Queue: e.Job.Queue.Name, Detail: fmt.Sprintf("entry=%q", entry)})
		d.emit(AskPeers{Jobs: []session.OpenJob{{Job: e.Job.Name, AgeMs: max(e.LastReceived, 0).Milliseconds()}}, Entry: entry})
	case d.hasFreshSign(c):
		d.submit(e)
	default:
		d.ready = append(d.ready, d.newWaitingSubmission(e))
	}
}

func (d *Dispatcher) newWaitingSubmission(e SubmitCalled) waitingSubmission {
	s := waitingSubmission{SubmitCalled: e, arrived: d.now}
	if c := d.callers[e.Call]; c != nil && d.hasFreshSign(c) {
		s.checked = d.steps
	}
	return s
}

// checkCallers asks for the callers of all jobs whose tasks wait for that: whether they are connected
// if their last signs are young, and for signs otherwise.
func (d *Dispatcher) checkCallers() {
	var calls []CallID
	var late []*job
	d.reassignments = slices.DeleteFunc(d.reassignments, func(r reassignment) bool { return r.ended() })
	check := func(j *job) {
		if d.mayPlaceLate(j) {
			calls = append(calls, j.calls...)
		} else {
			late = append(late, j)
		}
	}
	for _, r := range d.reassignments {
		check(r.job)
	}
	if d.heldUnchecked {
		looks := 0
		for _, j := range d.heldJobs {
			if j.answered || d.awaitsSign(j) {
				continue
			}
			check(j)
			if d.hasFreshCaller(j) {
				looks++
			}
			if looks == maxHeldChecked {
				break
			}
		}
	}
	for _, s := range d.ready {
		if !s.awaitsPeer {
			calls = append(calls, s.Call)
		}
	}
	d.askPeers(late)
	slices.Sort(calls)
	var fresh []CallID
	var old []*caller
	for _, call := range slices.Compact(calls) {
		switch c := d.callers[call]; {
		case c == nil:
		case d.hasFreshSign(c):
			fresh = append(fresh, call)
		default:
			old = append(old, c)
		}
	}
	d.probe(old)
	if len(fresh) > 0 {
		d.emit(CheckCallers{Calls: fresh})
	}
}

// callersChecked removes the callers that have left, and places what waited for the others.
func (d *Dispatcher) callersChecked(e CallersChecked) {
	for _, call := range e.Left {
		d.callClosed(call, "disconnected before tasks were placed")
	}
	connected := make(map[CallID]bool, len(e.Connected))
	for _, call := range e.Connected {
		connected[call] = true
		if j := d.jobOf(call); j != nil && d.hasFreshSign(d.callers[call]) && d.mayPlaceLate(j) {
			j.checked = d.steps
		}
	}
	for i := range d.ready {
		if c := d.callers[d.ready[i].Call]; c != nil && connected[c.id] && d.hasFreshSign(c) {
			d.ready[i].checked = d.steps
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

// placeAgain places a task again if a caller of its job is known to be connected; otherwise it waits
// for CallersChecked. If the task cannot be placed, it holds or abandons the job.
func (d *Dispatcher) placeAgain(r reassignment) {
	j := r.job
	if r.ended() {
		return
	}
	if j.checked != d.steps {
		d.reassignments = append(d.reassignments, r)
		return
	}
	if r.retry && !d.takeRetry() {
		d.abandon(j, structs.CodeOverloaded, "too many tasks were placed again for those that were completed; last outcome "+r.reason)
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

// submitReady submits what has waited and need not wait longer, if its caller is known to be
// connected.
func (d *Dispatcher) submitReady() {
	if len(d.ready) == 0 {
		return
	}
	list := d.ready
	d.ready = nil
	copies := make(map[string][]waitingSubmission)
	var names []string // in the order of arrival
	for _, s := range list {
		if s.checked != d.steps || s.awaitsPeer {
			d.ready = append(d.ready, s)
			continue
		}
		if copies[s.Job.Name] == nil {
			names = append(names, s.Job.Name)
		}
		copies[s.Job.Name] = append(copies[s.Job.Name], s)
	}
	for _, name := range names {
		d.submitCopies(copies[name])
	}
}

// submitCopies submits the newest of the copies, which has the most time left. The others share its
// job, or its refusal.
func (d *Dispatcher) submitCopies(copies []waitingSubmission) {
	var refused *structs.Error
	for i, s := range slices.Backward(copies) {
		waited := d.now.Sub(s.arrived)
		s.Job.Waited += waited
		if s.Job.Timeout > 0 {
			s.Job.Timeout = max(s.Job.Timeout-waited, time.Millisecond)
		}
		if i == len(copies)-1 || refused == nil {
			refused = d.submit(s.SubmitCalled)
			continue
		}
		d.refuse(&job{Job: s.Job, arrived: s.arrived}, s.Call, refused)
	}
}
