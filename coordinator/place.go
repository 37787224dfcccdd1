package coordinator

import (
	"cmp"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// placeAll sends waiting tasks to agents as far as the policies allow.
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

// placeNext places one task and reports whether it could: the first one, or the
// one that can wait longest if an agent is only good enough for that.
func (c *Coordinator) placeNext(svc *service) bool {
	first, ok := svc.queue.Peek()
	if !ok {
		return false
	}
	if a := c.pick(svc, first, svc.queue.Jobs()); a != nil {
		svc.queue.Pop()
		c.place(first.job, first.index, a)
		return true
	}
	last, _ := svc.queue.PeekLast()
	if a := c.pick(svc, last, svc.queue.Len()); a != nil {
		svc.queue.PopLast()
		c.place(last.job, last.index, a)
		return true
	}
	return false
}

// pick returns the agent for a task that would otherwise be the nth to wait;
// nil if there is none now.
func (c *Coordinator) pick(svc *service, q queued, n int) *agent {
	svc.policy.SetWaiting(n)
	id, ok := svc.policy.Pick(c.now, &q.job.specs[q.index])
	if !ok {
		return nil
	}
	return c.agents[id]
}

// place sends a task to an agent under the next attempt number. The task is
// waiting, so no agent holds an earlier attempt.
func (c *Coordinator) place(j *job, index int, a *agent) {
	t := &j.tasks[index]
	t.phase = placed
	t.attempt++
	t.agent = a.info.Incarnation
	ref := j.ref(index)
	a.calls[ref] = c.now
	a.service.drain.placed++
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
			Spec:      j.specs[index],
			Service:   j.service.name,
			Team:      j.team,
			Revision:  j.service.record.Revision,
			Timeout:   j.deadline.Sub(c.now),
			Watermark: c.ids.watermark,
		},
	})
}

// holder returns the task of an attempt that is at the agent now, or nil if the
// attempt is over or belongs elsewhere.
func (c *Coordinator) holder(id structs.Incarnation, ref structs.TaskRef) (*job, *task) {
	j := c.jobs[ref.Task.Job.Seq]
	if j == nil || !c.local(ref.Task.Job) || ref.Task.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Task.Index]
	atAgent := t.phase == placed || t.phase == unsettled
	if !atAgent || t.agent != id || t.attempt != ref.Attempt {
		return nil, nil
	}
	return j, t
}

// runReplied takes in the outcome of a Run or Await.
func (c *Coordinator) runReplied(e RunReplied) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	if e.Reply.State.Incarnation != e.Agent {
		// Another run answers. It has not started the task, but a copy of the
		// message may have reached the run it was meant for.
		c.taskFailed(a, e.Ref, replacedError(a))
	} else {
		c.taskEnded(a, e.Ref, &e.Reply.Result, placement.Outcome{Service: e.Reply.ServiceTime})
	}
	c.observe(a, e.Reply.State)
}

// taskEnded takes in the final word of the agent on an attempt.
func (c *Coordinator) taskEnded(a *agent, ref structs.TaskRef, r *structs.TaskResult, o placement.Outcome) {
	o.Refused = r.Verdict == structs.NotRun
	o.Failed = r.Error != nil && !o.Refused
	j, t := c.holder(a.info.Incarnation, ref)
	if j != nil {
		spec := &j.specs[ref.Task.Index]
		o.Kind, o.Declared = spec.Kind, spec.Declared
	}
	a.release(c.now, ref, o)
	c.logTask("task_ended", a, ref, r)
	if j == nil {
		return
	}
	result := *r
	result.Index = ref.Task.Index
	if r.Verdict == structs.NotRun {
		c.taskRefused(a, j, t, &result)
		return
	}
	if r.Error == nil {
		j.service.retries.Succeeded()
	}
	if r.Error == nil && !c.hold(j, len(result.Body)) {
		result.Body = nil
		result.Error = structs.Errorf(structs.CodeResultLost, structs.Ran, "no memory for its result")
	}
	c.endTask(j, t, result)
}

// logTask emits an event of one task, if asked to.
func (c *Coordinator) logTask(event string, a *agent, ref structs.TaskRef, r *structs.TaskResult) {
	if !c.cfg.LogTasks {
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

// taskFailed ends an attempt whose outcome the agent did not tell.
func (c *Coordinator) taskFailed(a *agent, ref structs.TaskRef, err *structs.Error) {
	a.release(c.now, ref, placement.Outcome{Failed: true})
	j, t := c.holder(a.info.Incarnation, ref)
	if j == nil {
		return
	}
	c.logTask("task_ended", a, ref, &structs.TaskResult{Verdict: err.Verdict, Error: err})
	c.endTask(j, t, structs.TaskResult{Index: ref.Task.Index, Verdict: err.Verdict, Error: err})
}

// taskRefused handles an attempt that certainly did not start: the task is
// placed again unless its job fails anyway or the refusal is for good.
func (c *Coordinator) taskRefused(a *agent, j *job, t *task, r *structs.TaskResult) {
	if r.Error == nil {
		r.Error = structs.Errorf(structs.CodeInternal, structs.NotRun, "refused without a reason")
	}
	if r.Error.Code == structs.CodeHomeFenced {
		c.fencedBy(a)
	}
	if j.failure != nil || !retryable(r.Error.Code) || t.attempt >= c.cfg.MaxAttempts {
		c.endTask(j, t, *r)
		return
	}
	c.taskReturns(j, r.Index)
}

// fencedBy handles the news that another entry took this one for dead and
// fenced it at an agent. It can be a home no longer and leaves, to be replaced
// by a new run.
func (c *Coordinator) fencedBy(a *agent) {
	if !a.fenced {
		a.fenced = true
		c.refreshAgent(a)
		c.emit(LogEvent{Event: "home_fenced", Task: noTask, Agent: a.info.Incarnation, Detail: a.info.Name})
	}
	c.leave()
}

// retryable reports whether another agent may take what one refused. What was
// refused because this home is fenced must not be placed again: the entry that
// fenced it may have told the caller that it has not run.
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
	err := structs.Errorf(structs.CodeUnavailable, structs.NotRun, "no connection to agent %s", a.info.Name)
	a.suspect = true
	c.refreshAgent(a)
	c.taskEnded(a, e.Ref, &structs.TaskResult{Verdict: structs.NotRun, Error: err}, placement.Outcome{})
}

// runBroken handles a call that broke: the agent is asked about the task.
func (c *Coordinator) runBroken(e RunInDoubt) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	if a.replaced {
		c.taskFailed(a, e.Ref, replacedError(a))
		return
	}
	j, t := c.holder(e.Agent, e.Ref)
	if j == nil {
		a.release(c.now, e.Ref, placement.Outcome{Failed: true})
		return
	}
	t.phase = unsettled
	mode := structs.SettleQuery
	if j.failure != nil {
		mode = structs.SettleRecall
	}
	a.ask(e.Ref, mode)
}

// sortedRefs returns the keys in a fixed order, so that equal states give equal
// effects.
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
