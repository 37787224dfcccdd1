package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// run handles Agent.Run.
func (e *Executor) run(now time.Time, call CallID, req *structs.RunRequest) {
	ref := structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	id := req.Task
	if req.Agent != e.opts.Incarnation {
		e.refuse(call, id, e.staleError(structs.NotRun, req.Agent))
		return
	}
	e.heard(id.Job.Home, now)
	e.raiseWatermark(e.homes[id.Job.Home], req.Watermark)
	if r := e.records[id]; r != nil {
		e.runKnown(call, r, ref)
		return
	}
	if err := checkRef(ref); err != nil {
		e.refuse(call, id, err)
		return
	}
	h := e.homeOf(id.Job.Home, now)
	if h == nil {
		// The number of homes never shrinks, so this refusal holds for ever.
		e.refuse(call, id, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "the agent knows too many entries"))
		return
	}
	e.raiseWatermark(h, req.Watermark)
	if err := e.refusalOf(h, ref); err != nil {
		e.refuse(call, id, err)
		return
	}
	if err := e.admit(now, req); err != nil {
		e.fence(h, ref)
		e.refuse(call, id, err)
		return
	}
	e.accept(now, call, h, req)
}

// staleError is the answer to a request for another run of the agent.
func (e *Executor) staleError(v structs.Verdict, want structs.Incarnation) *structs.Error {
	return structs.Errorf(structs.CodeStaleIncarnation, v, "addressed to incarnation %v, this is %v", want, e.opts.Incarnation)
}

// runKnown handles a Run of a task that has a record. An attempt before the
// recorded one has not started and never will. A later one comes from a home
// that has no evidence for it; it gets the outcome of the recorded one.
func (e *Executor) runKnown(call CallID, r *record, ref structs.TaskRef) {
	if ref.Attempt < r.attempt {
		e.refuse(call, r.id, supersededError())
		return
	}
	r.asked(ref.Attempt)
	e.attach(call, r)
}

func supersededError() *structs.Error {
	return structs.Errorf(structs.CodeFenced, structs.NotRun, "a later attempt of the task has been accepted")
}

// checkRef refuses identifiers that no entry makes. They are refused on every
// occasion, so nothing is remembered of them.
func checkRef(ref structs.TaskRef) *structs.Error {
	id := ref.Task
	if ref.Attempt == 0 || id.Job.Home == 0 || id.Job.Seq == 0 || id.Job.Seq == ^uint64(0) || !validIndex(id.Index) {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "task id %v attempt %d is not valid", id, ref.Attempt)
	}
	return nil
}

// refusalOf says why an unknown attempt must not start because of what happened
// before, or nil.
func (e *Executor) refusalOf(h *home, ref structs.TaskRef) *structs.Error {
	if h.isFenced(ref) {
		return structs.Errorf(structs.CodeFenced, structs.NotRun, "the task was refused or fenced before")
	}
	return h.refusal(ref.Task.Job.Seq)
}

// refuse answers a Run whose task does not start.
func (e *Executor) refuse(call CallID, id structs.TaskID, err *structs.Error) {
	e.logTask("task_refused", id, err.Verdict, string(err.Code))
	e.replyError(call, id, err)
}

// attach lets a call wait for the end of a known task.
func (e *Executor) attach(call CallID, r *record) {
	if r.phase == structs.TaskDone {
		e.replyResult(call, r.result, r.serviceTime)
		return
	}
	if e.waiting[call] != nil {
		return
	}
	if len(r.waiters) >= e.opts.MaxWaiters {
		oldest := r.waiters[0]
		r.waiters = r.waiters[1:]
		delete(e.waiting, oldest)
		e.replyError(oldest, r.id, structs.Errorf(structs.CodeOverloaded, structs.MayHaveRun, "too many calls wait for the task"))
	}
	r.waiters = append(r.waiters, call)
	e.waiting[call] = r
}

// callGone forgets the caller of a pending call.
func (e *Executor) callGone(call CallID) {
	r := e.waiting[call]
	if r == nil {
		return
	}
	delete(e.waiting, call)
	for i, c := range r.waiters {
		if c == call {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// accept records a task and queues it; startQueued follows in the same step.
func (e *Executor) accept(now time.Time, call CallID, h *home, req *structs.RunRequest) {
	j := e.jobOf(h, req.Task.Job.Seq)
	r := &record{
		id:       req.Task,
		attempt:  req.Attempt,
		newest:   req.Attempt,
		jobTasks: req.JobTasks,
		content:  req.Content,
		phase:    structs.TaskQueued,
		spec:     req.Spec,
		team:     req.Team,
		deadline: now.Add(min(req.Timeout, e.opts.MaxTimeout)),
	}
	e.records[r.id] = r
	j.records = append(j.records, r)
	h.open++
	e.payloadBytes += r.payloadSize()
	e.queue = append(e.queue, r)
	e.attach(call, r)
}
