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
		e.refuse(call, id, e.staleIncarnationError(structs.NotRun, req.Agent))
		return
	}
	e.updateLastContact(id.Job.Home, now)
	e.raiseWatermark(e.homes[id.Job.Home], req.Watermark)
	if r := e.records[id]; r != nil {
		e.answerFromRecord(call, r, ref)
		return
	}
	if err := checkRef(ref); err != nil {
		e.refuse(call, id, err)
		return
	}
	h := e.getOrCreateHome(id.Job.Home, now)
	if h == nil {
		// Homes are never removed, so every later attempt of this home is refused
		// too and no fence has to be stored.
		e.refuse(call, id, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "the agent has reached its limit of home entries"))
		return
	}
	e.raiseWatermark(h, req.Watermark)
	if err := e.priorRefusal(h, ref); err != nil {
		e.refuse(call, id, err)
		return
	}
	if err := e.checkAdmission(now, req); err != nil {
		e.fenceAttempt(h, ref)
		e.refuse(call, id, err)
		return
	}
	e.admit(now, call, h, req)
}

// staleIncarnationError is the answer to a request for another incarnation of the
// agent.
func (e *Executor) staleIncarnationError(v structs.Verdict, want structs.Incarnation) *structs.Error {
	return structs.Errorf(structs.CodeStaleIncarnation, v, "the request is for agent incarnation %v, this is incarnation %v", want, e.opts.Incarnation)
}

// answerFromRecord handles a Run or Await of a task that has a record. An
// attempt before the admitted one has not started and never will. A later
// attempt gets the outcome of the admitted one: its home sent it without
// evidence that the admitted attempt did not run.
func (e *Executor) answerFromRecord(call CallID, r *record, ref structs.TaskRef) {
	if ref.Attempt < r.attempt {
		e.refuse(call, r.id, supersededError())
		return
	}
	r.raiseNewest(ref.Attempt)
	e.attach(call, r)
}

func supersededError() *structs.Error {
	return structs.Errorf(structs.CodeFenced, structs.NotRun, "a later attempt of the task was already admitted")
}

// checkRef refuses identifiers that no entry generates. The check depends on the
// identifier alone, so the refusal holds without a stored fence.
func checkRef(ref structs.TaskRef) *structs.Error {
	id := ref.Task
	if ref.Attempt == 0 || id.Job.Home == 0 || id.Job.Seq == 0 || id.Job.Seq == ^uint64(0) || !validTaskIndex(id.Index) {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "invalid task id %v or attempt number %d", id, ref.Attempt)
	}
	return nil
}

// priorRefusal returns why an attempt of a task without a record must not start,
// if an earlier event forbids it, or nil.
func (e *Executor) priorRefusal(h *home, ref structs.TaskRef) *structs.Error {
	if h.isFenced(ref) {
		return structs.Errorf(structs.CodeFenced, structs.NotRun, "this attempt of the task was already refused or fenced")
	}
	return h.refusal(ref.Task.Job.Seq)
}

// refuse answers a Run or Await with an error and logs the refusal.
func (e *Executor) refuse(call CallID, id structs.TaskID, err *structs.Error) {
	e.logTask("task_refused", id, err.Verdict, string(err.Code))
	e.replyError(call, id, err)
}

// attach answers a call with the task's result, or lets it wait until the task
// has ended.
func (e *Executor) attach(call CallID, r *record) {
	if r.phase == structs.TaskDone {
		e.replyResult(call, r.result, r.serviceTime)
		return
	}
	if e.waitingCalls[call] != nil {
		return
	}
	if len(r.waiters) >= e.opts.MaxWaiters {
		oldest := r.waiters[0]
		r.waiters = r.waiters[1:]
		delete(e.waitingCalls, oldest)
		e.replyError(oldest, r.id, structs.Errorf(structs.CodeOverloaded, structs.MayHaveRun, "too many calls are waiting for the task; the oldest was dropped"))
	}
	r.waiters = append(r.waiters, call)
	e.waitingCalls[call] = r
}

// callClosed removes a call from the waiters of its task.
func (e *Executor) callClosed(call CallID) {
	r := e.waitingCalls[call]
	if r == nil {
		return
	}
	delete(e.waitingCalls, call)
	for i, c := range r.waiters {
		if c == call {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// admit creates the record of a task and queues it. Step calls startQueued
// afterwards, which starts the task at once if a slot is free.
func (e *Executor) admit(now time.Time, call CallID, h *home, req *structs.RunRequest) {
	j := e.getOrCreateJob(h, req.Task.Job.Seq)
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
	h.openTasks++
	e.payloadBytes += r.payloadSize()
	e.queue = append(e.queue, r)
	e.attach(call, r)
}
