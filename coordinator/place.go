package coordinator

import (
	"cmp"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// placeAll sends waiting tasks to agents, as many as the placement policies
// allow.
func (c *Coordinator) placeAll() {
	for _, svc := range c.services {
		svc.releaseDelayed()
	}
	for _, svc := range c.sortedServices() {
		for c.placeNext(svc) {
		}
	}
}

func (c *Coordinator) sortedServices() []*service {
	var list []*service
	for _, svc := range c.services {
		if svc.queue.Len() > 0 {
			list = append(list, svc)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

// placeNext places one task and reports whether it did. It tries the first task
// in the queue and then the one that can wait longest, for which the policy
// accepts a slower agent.
func (c *Coordinator) placeNext(svc *service) bool {
	first, ok := svc.queue.Peek()
	if !ok {
		return false
	}
	if a := c.pickAgent(svc, first, svc.queue.Jobs()); a != nil {
		svc.queue.Pop()
		c.place(first.job, first.index, a)
		return true
	}
	last, _ := svc.queue.PeekLeastUrgent()
	if a := c.pickAgent(svc, last, svc.queue.Len()); a != nil {
		svc.queue.PopLeastUrgent()
		c.place(last.job, last.index, a)
		return true
	}
	return false
}

// pickAgent returns the agent for a task, or nil if there is none at present.
// The task would be the nth to wait if it is not placed.
func (c *Coordinator) pickAgent(svc *service, q queuedTask, n int) *agent {
	svc.policy.SetQueuePosition(n)
	id, ok := svc.policy.Pick(c.now, &q.job.taskSpecs[q.index])
	if !ok {
		return nil
	}
	return c.agents[id]
}

// place sends a task to an agent under the next attempt number. The task is in
// phase waiting, so no agent holds an earlier attempt.
func (c *Coordinator) place(j *job, index int, a *agent) {
	t := &j.tasks[index]
	t.phase = placed
	t.attempt++
	t.agent = a.info.Incarnation
	ref := j.ref(index)
	a.attempts[ref] = c.now
	a.service.throughput.inFlight++
	a.service.policy.Dispatched(c.now, a.info.Incarnation)
	c.logTask("task_placed", a, ref, nil)
	c.emit(Run{
		Agent: a.info.Incarnation,
		Request: structs.RunRequest{
			Agent:     a.info.Incarnation,
			Task:      ref.Task,
			Attempt:   ref.Attempt,
			JobTasks:  len(j.tasks),
			Content:   j.fingerprint,
			Spec:      j.taskSpecs[index],
			Service:   j.service.name,
			Team:      j.team,
			Revision:  j.service.record.Revision,
			Timeout:   j.deadline.Sub(c.now),
			Watermark: c.ids.watermark,
		},
	})
}

// heldTask returns the job and task of an attempt if the agent holds it, and
// nil if the attempt has ended or is at another agent.
func (c *Coordinator) heldTask(id structs.Incarnation, ref structs.TaskRef) (*job, *task) {
	j := c.jobs[ref.Task.Job.Seq]
	if j == nil || !c.local(ref.Task.Job) || ref.Task.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Task.Index]
	held := t.phase == placed || t.phase == inDoubt
	if !held || t.agent != id || t.attempt != ref.Attempt {
		return nil, nil
	}
	return j, t
}

// runReplied handles the reply to a Run or Await.
func (c *Coordinator) runReplied(e RunReplied) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	if e.Reply.State.Incarnation != e.Agent {
		// A different process answers at the agent's address. It has not
		// started the task, but a copy of the message may have reached the
		// process it was addressed to.
		c.attemptLost(a, e.Ref, replacedError(a))
	} else {
		c.attemptReported(a, e.Ref, &e.Reply.Result, placement.Outcome{ServiceTime: e.Reply.ServiceTime})
	}
	c.updateState(a, e.Reply.State)
}

// attemptReported handles the final outcome of an attempt as its agent reports
// it.
func (c *Coordinator) attemptReported(a *agent, ref structs.TaskRef, r *structs.TaskResult, o placement.Outcome) {
	o.Refused = r.Verdict == structs.NotRun
	o.Failed = r.Error != nil && !o.Refused
	j, t := c.heldTask(a.info.Incarnation, ref)
	if j != nil {
		spec := &j.taskSpecs[ref.Task.Index]
		o.Kind, o.Declared = spec.Kind, spec.Declared
	}
	a.releaseAttempt(c.now, ref, o)
	c.logTask("task_ended", a, ref, r)
	if j == nil {
		return
	}
	result := *r
	result.Index = ref.Task.Index
	if r.Verdict == structs.NotRun {
		c.attemptRefused(a, j, t, &result)
		return
	}
	if r.Error == nil {
		j.service.retries.Succeeded()
	}
	if r.Error == nil && !c.holdBytes(j, len(result.Body)) {
		result.Body = nil
		result.Error = structs.Errorf(structs.CodeResultLost, structs.Ran, "result dropped: this entry's limit of held bytes is reached")
	}
	c.endTask(j, t, result)
}

// logTask emits an event about one task if LogTasks is set.
func (c *Coordinator) logTask(event string, a *agent, ref structs.TaskRef, r *structs.TaskResult) {
	if !c.opts.LogTasks {
		return
	}
	e := LogEvent{Event: event, Job: ref.Task.Job, Task: ref.Task.Index, Agent: a.info.Incarnation}
	if r != nil {
		e.Verdict = &r.Verdict
	}
	if r != nil && r.Error != nil {
		e.Detail = r.Error.Error()
	}
	c.emit(e)
}

// attemptLost ends an attempt whose outcome its agent did not report.
func (c *Coordinator) attemptLost(a *agent, ref structs.TaskRef, err *structs.Error) {
	a.releaseAttempt(c.now, ref, placement.Outcome{Failed: true})
	j, t := c.heldTask(a.info.Incarnation, ref)
	if j == nil {
		return
	}
	c.logTask("task_ended", a, ref, &structs.TaskResult{Verdict: err.Verdict, Error: err})
	c.endTask(j, t, structs.TaskResult{Index: ref.Task.Index, Verdict: err.Verdict, Error: err})
}

// attemptRefused handles an attempt that certainly did not start. The task is
// queued again unless its job has failed, the refusal is permanent or
// MaxAttempts is reached.
func (c *Coordinator) attemptRefused(a *agent, j *job, t *task, r *structs.TaskResult) {
	if r.Error == nil {
		r.Error = structs.Errorf(structs.CodeInternal, structs.NotRun, "the agent refused the task without giving a reason")
	}
	if r.Error.Code == structs.CodeHomeFenced {
		c.homeFenced(a)
	}
	if j.failure != nil || !retryable(r.Error.Code) || t.attempt >= c.opts.MaxAttempts {
		c.endTask(j, t, *r)
		return
	}
	c.requeueTask(j, r.Index)
}

// homeFenced handles the report that another entry declared this one dead and
// fenced it at an agent. A fenced entry can no longer be a home: it leaves, and
// a new process takes its place.
func (c *Coordinator) homeFenced(a *agent) {
	if !a.fenced {
		a.fenced = true
		c.updateEligibility(a)
		c.emit(LogEvent{Event: "home_fenced", Task: noTask, Agent: a.info.Incarnation, Detail: a.info.Name})
	}
	c.leave()
}

// retryable reports whether a task refused with this code may be placed again.
// Tasks refused because this home is fenced must not be: the entry that fenced
// it may have told the caller that they have not run.
func retryable(code structs.ErrorCode) bool {
	switch code {
	case structs.CodeHomeFenced,
		structs.CodeRejected, structs.CodeInvalid, structs.CodeTooLarge, structs.CodeTimeout:
		return false
	}
	return true
}

// runNotSent handles a Run that never left this process.
func (c *Coordinator) runNotSent(e RunNotSent) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	err := structs.Errorf(structs.CodeUnavailable, structs.NotRun, "task not sent to agent %s: no connection or send queue full", a.info.Name)
	a.suspect = true
	c.updateEligibility(a)
	c.attemptReported(a, e.Ref, &structs.TaskResult{Verdict: structs.NotRun, Error: err}, placement.Outcome{})
}

// runInDoubt handles a broken connection with the outcome of an attempt
// outstanding. It asks the agent for the attempt's status.
func (c *Coordinator) runInDoubt(e RunInDoubt) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	if a.replaced {
		c.attemptLost(a, e.Ref, replacedError(a))
		return
	}
	j, t := c.heldTask(e.Agent, e.Ref)
	if j == nil {
		a.releaseAttempt(c.now, e.Ref, placement.Outcome{Failed: true})
		return
	}
	t.phase = inDoubt
	mode := structs.SettleQuery
	if j.failure != nil {
		mode = structs.SettleRecall
	}
	a.requestSettle(e.Ref, mode)
}

// sortedRefs returns the keys in a fixed order, so that equal states produce
// equal effects.
func sortedRefs[V any](m map[structs.TaskRef]V) []structs.TaskRef {
	refs := make([]structs.TaskRef, 0, len(m))
	for ref := range m {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b structs.TaskRef) int {
		return cmp.Or(
			cmp.Compare(a.Task.Job.Seq, b.Task.Job.Seq),
			cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return refs
}
