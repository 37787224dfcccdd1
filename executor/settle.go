package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// await handles Agent.Await. If the task has no record, the attempt is fenced.
func (e *Executor) await(now time.Time, call CallID, req *structs.AwaitRequest) {
	if req.Agent != e.opts.Incarnation {
		e.replyError(call, req.Task, e.staleIncarnationError(structs.MayHaveRun, req.Agent))
		return
	}
	e.updateLastContact(req.Task.Job.Home, now)
	ref := structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	if r := e.records[req.Task]; r != nil {
		e.answerFromRecord(call, r, ref)
		return
	}
	st := e.settleUnknown(now, ref)
	if st.Phase == structs.TaskDone {
		e.replyResult(call, st.Result, 0)
		return
	}
	e.replyError(call, req.Task, structs.Errorf(structs.CodeFenced, structs.NotRun, "the agent has no record of the task and will not start this attempt"))
}

// settle handles Agent.Settle. Tasks beyond MaxSettleTasks get no status, and the home asks
// for them again.
func (e *Executor) settle(now time.Time, call CallID, req *structs.SettleRequest) {
	if req.Agent != e.opts.Incarnation {
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	e.updateLastContact(req.Home, now)
	tasks := req.Tasks[:min(len(req.Tasks), e.opts.MaxSettleTasks)]
	statuses := make([]structs.TaskStatus, 0, len(tasks))
	bytesLeft := e.opts.MaxReplyBytes
	for _, ref := range tasks {
		st := e.settleTask(now, ref, req.Mode)
		statuses = append(statuses, limitStatusSize(st, &bytesLeft))
	}
	e.reply(call, &structs.SettleReply{Statuses: statuses, State: e.State()})
}

func (e *Executor) settleTask(now time.Time, ref structs.TaskRef, mode structs.SettleMode) structs.TaskStatus {
	r := e.records[ref.Task]
	if r == nil {
		return e.withFenceReason(e.settleUnknown(now, ref))
	}
	if ref.Attempt < r.attempt {
		return fencedStatus(ref)
	}
	r.raiseNewest(ref.Attempt)
	if r.phase == structs.TaskQueued && mode != structs.SettleQuery {
		e.dropQueued(r, structs.Errorf(structs.CodeCanceled, structs.NotRun, "recalled from the agent's queue"))
		return fencedStatus(ref)
	}
	if r.phase == structs.TaskRunning && mode == structs.SettleStop && e.document.Leave.StopCanceled {
		e.stop(r)
	}
	return recordStatus(r)
}

// stop cancels the backend call of a started task. Repeated calls do nothing.
func (e *Executor) stop(r *record) {
	if r.stopRequested {
		return
	}
	r.stopRequested = true
	e.emit(StopTask{Task: r.id})
}

// withFenceReason sets the error of a fenced status if the task's home is closed.
func (e *Executor) withFenceReason(st structs.TaskStatus) structs.TaskStatus {
	h := e.homes[st.Task.Job.Home]
	if st.Phase == structs.TaskFenced && h != nil && h.closed {
		st.Result.Error = homeFencedError()
	}
	return st
}

func recordStatus(r *record) structs.TaskStatus {
	return structs.TaskStatus{
		Task:        r.id,
		Attempt:     r.attempt,
		Phase:       r.phase,
		JobTasks:    r.jobTasks,
		Content:     r.content,
		Result:      r.result,
		ServiceTime: r.serviceTime,
	}
}

func fencedStatus(ref structs.TaskRef) structs.TaskStatus {
	return structs.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, Phase: structs.TaskFenced}
}

// settleUnknown returns the status of a task that has no record, and makes sure
// that the attempt never starts. If a record of the task may have been dropped,
// the status is TaskDone with the verdict MayHaveRun.
func (e *Executor) settleUnknown(now time.Time, ref structs.TaskRef) structs.TaskStatus {
	if checkRef(ref) != nil {
		return fencedStatus(ref)
	}
	h := e.getOrCreateHome(ref.Task.Job.Home, now)
	if h == nil || h.isFenced(ref) {
		return fencedStatus(ref)
	}
	err := h.refusal(ref.Task.Job.Seq)
	if err == nil {
		e.fenceAttempt(h, ref)
		return fencedStatus(ref)
	}
	if err.Verdict == structs.NotRun {
		return fencedStatus(ref)
	}
	return structs.TaskStatus{
		Task:    ref.Task,
		Attempt: ref.Attempt,
		Phase:   structs.TaskDone,
		Result:  structs.TaskResult{Index: ref.Task.Index, Verdict: err.Verdict, Error: err},
	}
}

// limitStatusSize subtracts the size of a status's result from the bytes left in
// a reply. A result with the verdict Ran that does not fit is left out and the
// task reported as TaskRunning, so that the caller fetches it by Agent.Await.
func limitStatusSize(st structs.TaskStatus, bytesLeft *int) structs.TaskStatus {
	size := resultSize(&st.Result)
	if size > *bytesLeft && st.Result.Verdict == structs.Ran {
		st.Phase = structs.TaskRunning
		st.Result = structs.TaskResult{}
		return st
	}
	*bytesLeft -= size
	return st
}

// fenceHome handles Agent.Fence. It closes the job's home if req.Close is set and
// returns the statuses of the job's tasks.
func (e *Executor) fenceHome(now time.Time, call CallID, req *structs.FenceRequest) {
	if req.Agent != e.opts.Incarnation {
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	h := e.homes[req.Job.Home]
	if req.Close {
		h = e.getOrCreateHome(req.Job.Home, now)
	}
	if h == nil {
		// Without state of the home there is nothing to report about the job.
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	if req.Close {
		e.closeHome(h, req.Job.Home)
	}
	e.reply(call, &structs.SettleReply{
		Statuses:  e.jobStatuses(h, req.Job),
		Forgotten: req.Job.Seq <= h.forgotten,
		State:     e.State(),
	})
}

// closeHome refuses the home's queued tasks and lets no further task of it start.
func (e *Executor) closeHome(h *home, id structs.Incarnation) {
	if h.closed {
		return
	}
	h.closed = true
	e.emit(LogEvent{Event: "home_fenced", Detail: id.String()})
	e.dropQueuedIf(func(r *record) *structs.Error {
		if r.id.Job.Home != id {
			return nil
		}
		j := h.jobs[r.id.Job.Seq]
		if j.queuedAtClose == nil {
			j.queuedAtClose = make(map[int]struct{})
		}
		j.queuedAtClose[r.id.Index] = struct{}{}
		return homeFencedError()
	})
}

// jobStatuses returns the statuses of the job's recorded and fenced tasks, fenced
// ones last.
func (e *Executor) jobStatuses(h *home, id structs.JobID) []structs.TaskStatus {
	j := h.jobs[id.Seq]
	if j == nil {
		return nil
	}
	bytesLeft := e.opts.MaxReplyBytes
	var statuses []structs.TaskStatus
	for _, r := range j.records {
		statuses = append(statuses, limitStatusSize(recordStatus(r), &bytesLeft))
	}
	for i := range structs.MaxTasksPerJob {
		if attempt := j.fences[i]; attempt > 0 && e.records[structs.TaskID{Job: id, Index: i}] == nil {
			st := fencedStatus(structs.TaskRef{Task: structs.TaskID{Job: id, Index: i}, Attempt: attempt})
			if _, queuedAtClose := j.queuedAtClose[i]; queuedAtClose {
				st.Result.Error = homeFencedError()
			}
			statuses = append(statuses, st)
		}
	}
	return statuses
}
