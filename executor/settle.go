package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// await handles Agent.Await. An unknown task is fenced.
func (e *Executor) await(now time.Time, call CallID, req *structs.AwaitRequest) {
	if req.Agent != e.opts.Incarnation {
		e.replyError(call, req.Task, e.staleError(structs.MayHaveRun, req.Agent))
		return
	}
	e.heard(req.Task.Job.Home, now)
	ref := structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	if r := e.records[req.Task]; r != nil {
		e.runKnown(call, r, ref)
		return
	}
	st := e.settleUnknown(now, ref)
	if st.Phase == structs.TaskDone {
		e.replyResult(call, st.Result, 0)
		return
	}
	e.replyError(call, req.Task, structs.Errorf(structs.CodeFenced, structs.NotRun, "the task is not known here and is fenced"))
}

// settle handles Agent.Settle.
func (e *Executor) settle(now time.Time, call CallID, req *structs.SettleRequest) {
	if req.Agent != e.opts.Incarnation {
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	e.heard(req.Home, now)
	tasks := req.Tasks[:min(len(req.Tasks), e.opts.MaxSettleTasks)]
	statuses := make([]structs.TaskStatus, 0, len(tasks))
	room := e.opts.MaxReplyBytes
	for _, ref := range tasks {
		st := e.settleTask(now, ref, req.Mode)
		statuses = append(statuses, boundStatus(st, &room))
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
	r.asked(ref.Attempt)
	if r.phase == structs.TaskQueued && mode != structs.SettleQuery {
		e.dropQueued(r, structs.Errorf(structs.CodeCanceled, structs.NotRun, "recalled from the agent's queue"))
		return fencedStatus(ref)
	}
	if r.phase == structs.TaskRunning && mode == structs.SettleStop && e.document.Leave.StopCanceled {
		e.stop(r)
	}
	return statusOf(r)
}

// stop ends the backend call of a started task, once.
func (e *Executor) stop(r *record) {
	if r.stopping {
		return
	}
	r.stopping = true
	e.emit(StopTask{Task: r.id})
}

// withFenceReason adds to a fenced status that the home is closed.
func (e *Executor) withFenceReason(st structs.TaskStatus) structs.TaskStatus {
	h := e.homes[st.Task.Job.Home]
	if st.Phase == structs.TaskFenced && h != nil && h.closed {
		st.Result.Error = homeFenced()
	}
	return st
}

func statusOf(r *record) structs.TaskStatus {
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

// settleUnknown fences an attempt of a task that has no record. If a record of it may have
// been dropped, its status is done with an unknown outcome.
func (e *Executor) settleUnknown(now time.Time, ref structs.TaskRef) structs.TaskStatus {
	if checkRef(ref) != nil {
		return fencedStatus(ref)
	}
	h := e.homeOf(ref.Task.Job.Home, now)
	if h == nil || h.isFenced(ref) {
		return fencedStatus(ref)
	}
	err := h.refusal(ref.Task.Job.Seq)
	if err == nil {
		e.fence(h, ref)
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

// boundStatus takes a status's result out of the room left in a reply. The
// result of a started task that does not fit is reported as TaskRunning, which
// has it fetched by Agent.Await.
func boundStatus(st structs.TaskStatus, room *int) structs.TaskStatus {
	size := resultSize(&st.Result)
	if size > *room && st.Result.Verdict == structs.Ran {
		st.Phase = structs.TaskRunning
		st.Result = structs.TaskResult{}
		return st
	}
	*room -= size
	return st
}

// fenceHome handles Agent.Fence.
func (e *Executor) fenceHome(now time.Time, call CallID, req *structs.FenceRequest) {
	if req.Agent != e.opts.Incarnation {
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	h := e.homes[req.Job.Home]
	if req.Close {
		h = e.homeOf(req.Job.Home, now)
	}
	if h == nil {
		// Without a record nothing can be told of the job.
		e.reply(call, &structs.SettleReply{State: e.State()})
		return
	}
	if req.Close {
		e.closeHome(h, req.Job.Home)
	}
	e.reply(call, &structs.SettleReply{
		Statuses:  e.statusesOfJob(h, req.Job),
		Forgotten: req.Job.Seq <= h.forgotten,
		State:     e.State(),
	})
}

// closeHome drops the home's queued tasks and lets nothing of it start any more.
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
		if j.waited == nil {
			j.waited = make(map[int]struct{})
		}
		j.waited[r.id.Index] = struct{}{}
		return homeFenced()
	})
}

// statusesOfJob returns the statuses of the job's known tasks, fenced ones last.
func (e *Executor) statusesOfJob(h *home, id structs.JobID) []structs.TaskStatus {
	j := h.jobs[id.Seq]
	if j == nil {
		return nil
	}
	room := e.opts.MaxReplyBytes
	var statuses []structs.TaskStatus
	for _, r := range j.records {
		statuses = append(statuses, boundStatus(statusOf(r), &room))
	}
	for i := range structs.MaxTasksPerJob {
		if attempt := j.fences[i]; attempt > 0 && e.records[structs.TaskID{Job: id, Index: i}] == nil {
			st := fencedStatus(structs.TaskRef{Task: structs.TaskID{Job: id, Index: i}, Attempt: attempt})
			if _, waited := j.waited[i]; waited {
				st.Result.Error = homeFenced()
			}
			statuses = append(statuses, st)
		}
	}
	return statuses
}
