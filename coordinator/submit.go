package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Hints to callers of when to come back.
const (
	retryAfterLeaving     = time.Second
	retryAfterUnavailable = 2 * time.Second
	retryAfterOverload    = time.Second
)

// owner returns the incarnation that places the tasks of a job.
func owner(id structs.JobID) structs.Incarnation { return id.Home }

// local reports whether this entry is the home of the job.
func (c *Coordinator) local(id structs.JobID) bool {
	return owner(id) == c.cfg.Self.Incarnation
}

// submit takes a job in, or attaches the caller to the job already there.
func (c *Coordinator) submit(e SubmitCalled) {
	if e.ID == (structs.JobID{}) {
		if err := c.checkReserve(1); err != nil {
			c.replyError(e.Call, err)
			return
		}
		e.ID = structs.JobID{Home: c.cfg.Self.Incarnation, Seq: c.ids.take(c.now, 1)}
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
		// The id stays reserved, to be reported as never submitted. A leaving
		// entry admits nothing any more.
		c.replyError(e.Call, c.leavingError())
		return
	}
	if !c.ids.claim(e.ID.Seq) {
		c.replyError(e.Call, c.unknownID(e.ID))
		return
	}
	j := &job{id: e.ID, team: e.Spec.Team, fingerprint: fingerprint(&e.Spec)}
	c.jobs[e.ID.Seq] = j
	if err := c.admit(j, &e.Spec); err != nil {
		c.refuse(j, err)
	} else {
		c.start(j, &e.Spec)
	}
	c.answerCall(e.Call, j, e.Wait)
}

// resubmit answers a repeated submission.
func (c *Coordinator) resubmit(e SubmitCalled, j *job) {
	if fingerprint(&e.Spec) != j.fingerprint {
		c.replyError(e.Call, otherContent(j.id))
		return
	}
	c.answerCall(e.Call, j, e.Wait)
}

func otherContent(id structs.JobID) *structs.Error {
	return structs.Errorf(structs.CodeConflict, structs.MayHaveRun, "job %s was submitted with other content", id)
}

// unknownID explains an identifier of this home without a job. What was
// forgotten may have run, and a submission of a reserved identifier may still
// be under way, so nothing better than MayHaveRun is known of either.
func (c *Coordinator) unknownID(id structs.JobID) *structs.Error {
	if id.Seq >= c.ids.next {
		return structs.Errorf(structs.CodeNotFound, structs.NotRun, "job %s was never reserved", id)
	}
	if _, reserved := c.ids.reserved[id.Seq]; reserved {
		return structs.Errorf(structs.CodeNotFound, structs.MayHaveRun, "job %s has not been submitted yet", id)
	}
	return structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "job %s is no longer remembered", id)
}

// refuse makes the job final before it began. The identifier stays taken, so
// that no copy of the submission can start after the refusal.
func (c *Coordinator) refuse(j *job, err *structs.Error) {
	j.failure = err
	c.finish(j, structs.JobFailed)
	c.emit(LogEvent{Event: "job_refused", Job: j.id, Task: noTask, Verdict: &err.Verdict, Detail: err.Message})
}

// start makes an admitted job run.
func (c *Coordinator) start(j *job, spec *structs.JobSpec) {
	j.specs = spec.Tasks
	j.deadline = c.now.Add(c.timeout(spec))
	j.state = structs.JobRunning
	j.tasks = make([]task, len(spec.Tasks))
	j.left = len(j.tasks)
	c.hold(j, spec.PayloadBytes())
	c.open = append(c.open, j)
	c.openJobs++
	c.openTasks += len(j.tasks)
	j.service.queue.push(j)
	c.emit(LogEvent{Event: "job_admitted", Job: j.id, Task: noTask, Detail: j.service.name})
}

// get answers with a job's state.
func (c *Coordinator) get(e GetCalled) {
	if !c.local(e.ID) {
		c.forward(e.Call, structs.OpGet, e.ID, nil)
		return
	}
	j := c.jobs[e.ID.Seq]
	if j == nil {
		c.replyError(e.Call, c.unknownID(e.ID))
		return
	}
	c.answerCall(e.Call, j, e.Wait)
}

// cancel fails a running job. The caller waits for the final answer. An
// identifier that was not submitted yet is taken, so that a submission still
// under way does not start.
func (c *Coordinator) cancel(e CancelCalled) {
	if !c.local(e.ID) {
		c.forward(e.Call, structs.OpCancel, e.ID, nil)
		return
	}
	j := c.jobs[e.ID.Seq]
	if j == nil && c.ids.claim(e.ID.Seq) {
		j = &job{id: e.ID}
		c.jobs[e.ID.Seq] = j
		c.refuse(j, structs.Errorf(structs.CodeCanceled, structs.NotRun, "canceled before it was submitted"))
	}
	if j == nil {
		c.replyError(e.Call, c.unknownID(e.ID))
		return
	}
	if !j.state.Final() {
		c.fail(j, structs.Errorf(structs.CodeCanceled, structs.MayHaveRun, "canceled by the caller"), structs.SettleStop)
	}
	c.answerCall(e.Call, j, true)
}

// forward sends a caller's request to the job's home.
func (c *Coordinator) forward(call CallID, op structs.JobOp, id structs.JobID, spec *structs.JobSpec) {
	home, ok := c.peers[owner(id)]
	if !ok {
		c.recoverJob(RecoverCalled{Call: call, ID: id, Spec: spec})
		return
	}
	c.emit(Forward{Call: call, Home: home, Op: op, ID: id, Spec: spec})
}

// answerCall replies with the job's answer, at once or when it is final.
func (c *Coordinator) answerCall(call CallID, j *job, wait bool) {
	if wait && !j.state.Final() {
		j.waiters = append(j.waiters, call)
		c.calls[call] = j
		return
	}
	c.replyJob(call, j)
}

// replyJob answers a caller. A job refused at admission has no tasks, and its
// answer is the refusal.
func (c *Coordinator) replyJob(call CallID, j *job) {
	if j.state.Final() && len(j.tasks) == 0 {
		c.replyError(call, j.failure)
		return
	}
	c.emit(Reply{Call: call, Answer: j.answer()})
}

// callGone forgets a waiting caller.
func (c *Coordinator) callGone(e CallClosed) {
	if r := c.recovers[e.Call]; r != nil {
		c.abandonRecovery(r, e.Answer)
		return
	}
	j := c.calls[e.Call]
	if j == nil {
		return
	}
	delete(c.calls, e.Call)
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
	return structs.Errorf(structs.CodeLeaving, structs.NotRun, "this entry is leaving").
		WithRetryAfter(retryAfterLeaving)
}
