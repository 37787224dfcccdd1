package executor

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// startQueued starts queued tasks while slots are free.
func (e *Executor) startQueued(now time.Time) {
	for len(e.queue) > 0 && e.running < e.slots() {
		r := e.queue[0]
		if !now.Before(r.deadline) {
			e.dropQueued(r, queueTimeoutError())
			continue
		}
		e.queue = slices.Delete(e.queue, 0, 1)
		e.start(now, r)
	}
}

func (e *Executor) start(now time.Time, r *record) {
	r.phase = structs.TaskRunning
	e.running++
	e.emit(StartTask{Task: r.id, Attempt: r.attempt, Spec: r.spec, Team: r.team, Timeout: r.deadline.Sub(now)})
}

func queueTimeoutError() *structs.Error {
	return structs.Errorf(structs.CodeTimeout, structs.NotRun, "the task timed out in the agent's queue")
}

// expireQueued refuses the queued tasks whose timeout has passed.
func (e *Executor) expireQueued(now time.Time) {
	e.dropQueuedIf(func(r *record) *structs.Error {
		if now.Before(r.deadline) {
			return nil
		}
		return queueTimeoutError()
	})
}

// dropQueuedIf refuses the queued tasks for which dropReason returns an error.
func (e *Executor) dropQueuedIf(dropReason func(*record) *structs.Error) {
	for i := 0; i < len(e.queue); {
		r := e.queue[i]
		err := dropReason(r)
		if err == nil {
			i++
			continue
		}
		e.dropQueued(r, err)
	}
}

// dropQueued refuses a queued task. It replaces the record by a fence, so that
// the attempts the record stands for never start here.
func (e *Executor) dropQueued(r *record, err *structs.Error) {
	i := slices.Index(e.queue, r)
	e.queue = slices.Delete(e.queue, i, i+1)
	h := e.homes[r.id.Job.Home]
	h.openTasks--
	e.payloadBytes -= r.payloadSize()
	e.unlink(h, r)
	e.fenceAttempt(h, r.fenceRef())
	e.logTask("task_refused", r.id, err.Verdict, string(err.Code))
	e.replyWaiters(r, structs.TaskResult{Index: r.id.Index, Verdict: err.Verdict, Error: err}, 0)
}

func (e *Executor) replyWaiters(r *record, res structs.TaskResult, serviceTime time.Duration) {
	for _, call := range r.waiters {
		delete(e.waitingCalls, call)
		e.replyResult(call, res, serviceTime)
	}
	r.waiters = nil
}

// taskFinished handles the end of a started task.
func (e *Executor) taskFinished(now time.Time, ev *TaskFinished) {
	r := e.records[ev.Task]
	if r == nil || r.phase != structs.TaskRunning {
		e.logTask("unexpected_backend_answer", ev.Task, ev.Result.Verdict, "")
		return
	}
	res := normalizeResult(r, ev.Result)
	h := e.homes[r.id.Job.Home]
	h.openTasks--
	e.running--
	e.payloadBytes -= r.payloadSize()
	r.phase = structs.TaskDone
	r.spec = structs.TaskSpec{}
	r.result = res
	r.serviceTime = ev.ServiceTime
	e.logTask("task_done", r.id, res.Verdict, codeOf(res.Error))
	e.startQueued(now) // before the replies, so that their state counts the task started here
	e.replyWaiters(r, res, r.serviceTime)
	e.retainOutcome(h, r)
}

// retainOutcome decides what to keep of a finished task: nothing if its job is
// settled, a fence if the task did not run, otherwise its result.
func (e *Executor) retainOutcome(h *home, r *record) {
	switch {
	case r.id.Job.Seq < h.watermark:
		e.dropRecord(h, r)
		e.dropJobIfSettled(h, r.id.Job.Seq)
	case r.result.Verdict == structs.NotRun:
		e.unlink(h, r)
		e.fenceAttempt(h, r.fenceRef())
	default:
		e.results.add(r)
		e.results.evictOldest(e.opts.MaxResultBytes)
	}
}

// maxErrorBytes bounds the message of a result's error.
const maxErrorBytes = 512

// normalizeResult applies the size limits to a result and makes sure that a
// verdict other than Ran comes with an error.
func normalizeResult(r *record, res structs.TaskResult) structs.TaskResult {
	res.Index = r.id.Index
	if len(res.Body) > structs.MaxResultBytes {
		res.Body = nil
		res.Error = structs.Errorf(structs.CodeTooLarge, res.Verdict, "the result is larger than %d bytes", structs.MaxResultBytes)
	}
	if res.Error != nil && len(res.Error.Message) > maxErrorBytes {
		e := *res.Error
		e.Message = strings.ToValidUTF8(e.Message[:maxErrorBytes], "")
		res.Error = &e
	}
	if res.Error == nil && res.Verdict != structs.Ran {
		res.Error = structs.Errorf(structs.CodeInternal, res.Verdict, "no result or error")
	}
	return res
}

// codeOf returns the error's code, or "" for nil.
func codeOf(err *structs.Error) string {
	if err == nil {
		return ""
	}
	return string(err.Code)
}
