package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Retry-After hints for callers.
const (
	retryAfterLeaving     = time.Second
	retryAfterUnavailable = 2 * time.Second
	retryAfterOverload    = time.Second
)

// homeOf returns the incarnation of the job's home.
func homeOf(id structs.JobID) structs.Incarnation { return id.Home }

// local reports whether this entry is the job's home.
func (c *Coordinator) local(id structs.JobID) bool {
	return homeOf(id) == c.opts.Self.Incarnation
}

// submit admits a job, or attaches the caller to the job that already exists
// under the identifier.
func (c *Coordinator) submit(e SubmitCalled) {
	if e.ID == (structs.JobID{}) {
		if err := c.checkReserve(1); err != nil {
			c.replyError(e.Call, err)
			return
		}
		e.ID = structs.JobID{Home: c.opts.Self.Incarnation, Seq: c.ids.allocate(c.now, 1)}
	}
	if !c.local(e.ID) {
		c.forward(e.Call, structs.OpSubmit, e.ID, &e.Spec)
		return
	}
	if j := c.jobs[e.ID.Seq]; j != nil {
		c.resubmit(e, j)
		return
	}
	if _, reserved := c.ids.reserved[e.ID.Seq]; reserved && c.leaving {
		// A leaving entry admits no jobs. The id stays reserved, so that the
		// final report lists it as never submitted.
		c.replyError(e.Call, c.leavingError())
		return
	}
	if !c.ids.claim(e.ID.Seq) {
		c.replyError(e.Call, c.unknownIDError(e.ID))
		return
	}
	j := &job{id: e.ID, team: e.Spec.Team, fingerprint: fingerprint(&e.Spec)}
	c.jobs[e.ID.Seq] = j
	if err := c.admit(j, &e.Spec); err != nil {
		c.refuseJob(j, err)
	} else {
		c.startJob(j, &e.Spec)
	}
	c.answerCall(e.Call, j, e.Wait)
}

// resubmit answers a submission whose identifier already has a job.
func (c *Coordinator) resubmit(e SubmitCalled, j *job) {
	if fingerprint(&e.Spec) != j.fingerprint {
		c.replyError(e.Call, contentConflictError(j.id))
		return
	}
	c.answerCall(e.Call, j, e.Wait)
}

func contentConflictError(id structs.JobID) *structs.Error {
	return structs.Errorf(structs.CodeConflict, structs.MayHaveRun, "job %s was already submitted with different content", id)
}

// unknownIDError returns the error for an identifier of this home that has no
// job. The verdict is MayHaveRun both for an expired identifier, whose job may
// have run before its record was evicted, and for a reserved one, whose
// submission may still be in flight. Only an identifier that was never reserved
// is NotRun.
func (c *Coordinator) unknownIDError(id structs.JobID) *structs.Error {
	if id.Seq >= c.ids.next {
		return structs.Errorf(structs.CodeNotFound, structs.NotRun, "job %s was never reserved", id)
	}
	if _, reserved := c.ids.reserved[id.Seq]; reserved {
		return structs.Errorf(structs.CodeNotFound, structs.MayHaveRun, "job %s has not been submitted yet", id)
	}
	return structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "job %s has expired: its record is no longer kept", id)
}

// refuseJob makes a job final at admission. The identifier stays in use, so
// that a duplicate of the submission cannot start after the refusal.
func (c *Coordinator) refuseJob(j *job, err *structs.Error) {
	j.failure = err
	c.finish(j, structs.JobFailed)
	c.emit(LogEvent{Event: "job_refused", Job: j.id, Task: noTask, Verdict: &err.Verdict, Detail: err.Message})
}

// startJob queues the tasks of an admitted job.
func (c *Coordinator) startJob(j *job, spec *structs.JobSpec) {
	j.taskSpecs = spec.Tasks
	j.deadline = c.now.Add(c.timeout(spec))
	j.state = structs.JobRunning
	j.tasks = make([]task, len(spec.Tasks))
	j.unfinished = len(j.tasks)
	c.holdBytes(j, spec.PayloadBytes())
	c.openList = append(c.openList, j)
	c.openJobs++
	c.openTasks += len(j.tasks)
	j.service.queue.push(j)
	c.emit(LogEvent{Event: "job_admitted", Job: j.id, Task: noTask, Detail: j.service.name})
}

// get replies with a job's state.
func (c *Coordinator) get(e GetCalled) {
	if !c.local(e.ID) {
		c.forward(e.Call, structs.OpGet, e.ID, nil)
		return
	}
	j := c.jobs[e.ID.Seq]
	if j == nil {
		c.replyError(e.Call, c.unknownIDError(e.ID))
		return
	}
	c.answerCall(e.Call, j, e.Wait)
}

// cancel fails a running job and replies to the caller when the job is final.
// An identifier that is reserved but not submitted is claimed, so that a
// submission still in flight does not start.
func (c *Coordinator) cancel(e CancelCalled) {
	if !c.local(e.ID) {
		c.forward(e.Call, structs.OpCancel, e.ID, nil)
		return
	}
	j := c.jobs[e.ID.Seq]
	if j == nil && c.ids.claim(e.ID.Seq) {
		j = &job{id: e.ID}
		c.jobs[e.ID.Seq] = j
		c.refuseJob(j, structs.Errorf(structs.CodeCanceled, structs.NotRun, "the job was canceled before it was submitted"))
	}
	if j == nil {
		c.replyError(e.Call, c.unknownIDError(e.ID))
		return
	}
	if !j.state.Final() {
		c.fail(j, structs.Errorf(structs.CodeCanceled, structs.MayHaveRun, "the job was canceled by the caller"), structs.SettleStop)
	}
	c.answerCall(e.Call, j, true)
}

// forward passes a caller's request to the job's home, or starts a recovery if
// the home is not among the peers.
func (c *Coordinator) forward(call CallID, op structs.JobOp, id structs.JobID, spec *structs.JobSpec) {
	home, ok := c.peers[homeOf(id)]
	if !ok {
		c.recoverJob(RecoverCalled{Call: call, ID: id, Spec: spec})
		return
	}
	c.emit(Forward{Call: call, Home: home, Op: op, ID: id, Spec: spec})
}

// answerCall replies with the job's answer: at once or, with wait, when the job
// is final.
func (c *Coordinator) answerCall(call CallID, j *job, wait bool) {
	if wait && !j.state.Final() {
		j.waiters = append(j.waiters, call)
		c.waitingCalls[call] = j
		return
	}
	c.replyJob(call, j)
}

// replyJob replies with the job's answer. A final job without tasks was
// refused, so the reply is its error.
func (c *Coordinator) replyJob(call CallID, j *job) {
	if j.state.Final() && len(j.tasks) == 0 {
		c.replyError(call, j.failure)
		return
	}
	c.emit(Reply{Call: call, Answer: j.answer()})
}

// callClosed removes a waiting caller.
func (c *Coordinator) callClosed(e CallClosed) {
	if r := c.recoveries[e.Call]; r != nil {
		c.abandonRecovery(r, e.Answer)
		return
	}
	j := c.waitingCalls[e.Call]
	if j == nil {
		return
	}
	delete(c.waitingCalls, e.Call)
	for i, w := range j.waiters {
		if w == e.Call {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if e.Answer {
		c.replyJob(e.Call, j)
	}
}

func (c *Coordinator) leavingError() *structs.Error {
	return structs.Errorf(structs.CodeLeaving, structs.NotRun, "this entry is shutting down and accepts no new jobs").
		WithRetryAfter(retryAfterLeaving)
}
