package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Limits on recoveries and their Retry-After hints.
const (
	maxRecoveries        = 64 // at once
	retryAfterRecovering = time.Second
	retryAfterHomeLost   = 2 * time.Second
)

// recovery determines from the agents the outcome of a job whose home, another
// entry, cannot be reached. It never places a task.
//
// A complete answer needs no fence: a task is at no more than one agent at a
// time, and the result of a finished task never changes. NotRun is returned
// only for a task that was queued at an agent when the home was fenced there.
// The home had no evidence that this attempt did not start, so it has placed no
// later one, and a fenced home does not place the task again. The outcome of a
// task that no agent reports is unknown.
type recovery struct {
	call CallID
	id   structs.JobID
	// tasks is the number of the job's tasks; zero until it is known.
	tasks    int
	homeDead bool
	// content is the fingerprint of the submission that the call repeats; zero
	// if the call does not carry one.
	content  [16]byte
	conflict bool
	// incomplete reports that an agent's records or a task's outcome are
	// unavailable now but may be available later, or that the result of a
	// task that ran was lost.
	incomplete bool
	// pending holds the agents that have not answered, and awaited the attempts
	// that are queued or running, with their agents.
	pending  map[structs.Incarnation]struct{}
	awaited  map[structs.TaskRef]structs.Incarnation
	statuses map[int]structs.TaskStatus // status of the newest attempt, by task index
}

// maxClosedReports limits the number of stored reports of entries that shut
// down.
const maxClosedReports = 256

// homeClosed stores the final report of another entry.
func (c *Coordinator) homeClosed(r structs.ClosedReport) {
	if _, stored := c.closedReports[r.Home]; stored {
		return
	}
	c.closedReports[r.Home] = r
	c.closedOrder = append(c.closedOrder, r.Home)
	if len(c.closedOrder) > maxClosedReports {
		delete(c.closedReports, c.closedOrder[0])
		c.closedOrder = c.closedOrder[1:]
	}
}

// ClosedReports returns the stored final reports of other entries, oldest
// first.
func (c *Coordinator) ClosedReports() []structs.ClosedReport {
	var reports []structs.ClosedReport
	for _, home := range c.closedOrder {
		reports = append(reports, c.closedReports[home])
	}
	return reports
}

// recoverJob starts a recovery, unless the home reported that the job was never
// submitted.
func (c *Coordinator) recoverJob(e RecoverCalled) {
	if report, ok := c.closedReports[homeOf(e.ID)]; ok && report.Covers(e.ID.Seq) {
		c.replyError(e.Call, structs.Errorf(structs.CodeExpired, structs.NotRun,
			"the entry that reserved job %s shut down before the job was submitted", e.ID))
		return
	}
	agents := c.agentsOf(e.Spec)
	if len(agents) == 0 {
		c.replyError(e.Call, homeLostError(e.ID))
		return
	}
	if len(c.recoveries) >= maxRecoveries {
		c.replyError(e.Call, homeLostError(e.ID).WithRetryAfter(retryAfterRecovering))
		return
	}
	r := &recovery{
		call:     e.Call,
		id:       e.ID,
		homeDead: e.Dead,
		pending:  make(map[structs.Incarnation]struct{}, len(agents)),
		awaited:  make(map[structs.TaskRef]structs.Incarnation),
		statuses: make(map[int]structs.TaskStatus),
	}
	if e.Spec != nil {
		r.tasks = len(e.Spec.Tasks)
		r.content = fingerprint(e.Spec)
	}
	c.recoveries[e.Call] = r
	for _, a := range agents {
		id := a.info.Incarnation
		r.pending[id] = struct{}{}
		c.emit(Query{
			Call:    e.Call,
			Agent:   id,
			Request: structs.FenceRequest{Agent: id, Job: e.ID, Close: e.Dead},
		})
	}
}

// agentsOf returns the agents of the service in spec, or all agents if spec
// names none.
func (c *Coordinator) agentsOf(spec *structs.JobSpec) []*agent {
	if spec == nil || spec.Service == "" {
		return c.agentList
	}
	if svc := c.services[spec.Service]; svc != nil {
		return svc.agents
	}
	return nil
}

func homeLostError(id structs.JobID) *structs.Error {
	return structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun,
		"the entry that owns job %s cannot be reached, and its outcome cannot be determined from the agents now", id).
		WithRetryAfter(retryAfterHomeLost)
}

// queryReplied handles the records of one agent.
func (c *Coordinator) queryReplied(e QueryReplied) {
	r := c.recoveries[e.Call]
	if r == nil {
		return
	}
	delete(r.pending, e.Agent)
	for i := range e.Reply.Statuses {
		c.recordStatus(r, e.Agent, &e.Reply.Statuses[i])
	}
	c.finishRecovery(r)
}

func (c *Coordinator) recordStatus(r *recovery, agent structs.Incarnation, s *structs.TaskStatus) {
	index := s.Task.Index
	if s.Attempt < r.statuses[index].Attempt {
		return
	}
	r.statuses[index] = *s
	r.checkContent(s.Content)
	r.tasks = max(r.tasks, s.JobTasks)
	if s.Phase != structs.TaskRunning && s.Phase != structs.TaskQueued {
		return
	}
	if c.agents[agent] == nil {
		r.incomplete = true // dropped since it answered; nothing can be sent to it
		return
	}
	ref := structs.TaskRef{Task: s.Task, Attempt: s.Attempt}
	r.awaited[ref] = agent
	c.emit(QueryAwait{Call: r.call, Agent: agent, Ref: ref})
}

// checkContent sets conflict if an agent has the job's identifier with
// different content.
func (r *recovery) checkContent(reported [16]byte) {
	var unknown [16]byte
	if r.content != unknown && reported != unknown && reported != r.content {
		r.conflict = true
	}
}

// queryAwaitReplied handles the outcome of a task that was queued or running.
func (c *Coordinator) queryAwaitReplied(e QueryAwaitReplied) {
	r := c.recoveries[e.Call]
	if r == nil {
		return
	}
	delete(r.awaited, e.Ref)
	index := e.Ref.Task.Index
	if s := r.statuses[index]; s.Attempt == e.Ref.Attempt {
		s.Phase = structs.TaskDone
		s.Result = e.Reply.Result
		r.statuses[index] = s
	}
	c.finishRecovery(r)
}

// queryFailed records that an agent's records or a task's outcome are
// unavailable.
func (c *Coordinator) queryFailed(e QueryFailed) {
	r := c.recoveries[e.Call]
	if r == nil {
		return
	}
	r.incomplete = true
	delete(r.pending, e.Agent)
	delete(r.awaited, e.Ref)
	c.finishRecovery(r)
}

// finishRecovery replies to the caller once no query is outstanding.
func (c *Coordinator) finishRecovery(r *recovery) {
	if len(r.pending) > 0 || len(r.awaited) > 0 {
		return
	}
	delete(c.recoveries, r.call)
	if r.conflict {
		c.replyError(r.call, contentConflictError(r.id))
		return
	}
	answer := r.answer()
	if answer == nil {
		c.replyError(r.call, homeLostError(r.id))
		return
	}
	c.emit(LogEvent{Event: "job_recovered", Job: r.id, Task: noTask, Detail: string(answer.State)})
	c.emit(Reply{Call: r.call, Answer: answer})
}

// abandonRecovery ends a recovery whose caller has disconnected or stops
// waiting.
func (c *Coordinator) abandonRecovery(r *recovery, answer bool) {
	delete(c.recoveries, r.call)
	if answer {
		c.replyError(r.call, homeLostError(r.id).WithRetryAfter(retryAfterRecovering))
	}
}

// answer returns the job's final answer, or nil if the agents' records do not
// determine it. Until the home is known to be dead, only a complete answer is
// final. The same holds for an incomplete recovery: a final answer must not
// depend on who asks and when.
func (r *recovery) answer() *structs.JobAnswer {
	if r.tasks == 0 {
		return nil
	}
	a := &structs.JobAnswer{ID: r.id, State: structs.JobComplete, Total: r.tasks, Done: r.tasks}
	verdict := structs.NotRun
	for i := range r.tasks {
		result := r.result(i)
		verdict = verdict.Combine(result.Verdict)
		if result.Error != nil {
			a.State = structs.JobFailed
		}
		a.Results = append(a.Results, result)
	}
	if a.State == structs.JobComplete {
		return a
	}
	if !r.homeDead || r.incomplete {
		return nil
	}
	a.Error = structs.Errorf(structs.CodeHomeLost, verdict, "the entry that owned job %s is no longer running", r.id)
	for i := range a.Results {
		withoutResult(&a.Results[i], a.Error)
	}
	return a
}

// result returns the recovered result of one task. If the result was lost, the
// recovery is incomplete: an earlier complete answer may have included it.
func (r *recovery) result(index int) structs.TaskResult {
	s, reported := r.statuses[index]
	if s.Result.Error != nil && s.Result.Error.Code == structs.CodeResultLost {
		r.incomplete = true
	}
	switch {
	case reported && s.Phase == structs.TaskDone && s.Result.Verdict != structs.NotRun:
		result := s.Result
		result.Index = index
		return result
	case reported && s.Phase == structs.TaskFenced && s.Result.Error != nil && s.Result.Error.Code == structs.CodeHomeFenced:
		return structs.TaskResult{Index: index, Verdict: structs.NotRun, Error: s.Result.Error}
	}
	err := structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun, "no agent reported a conclusive outcome of the task")
	return structs.TaskResult{Index: index, Verdict: structs.MayHaveRun, Error: err}
}

// removeFromRecoveries stops recoveries from waiting for an agent that has been
// dropped. A replaced agent has lost its records; one that was only unreachable may
// still report them. The outcome of a task that an agent had reported as queued or
// running may be known to another entry.
func (c *Coordinator) removeFromRecoveries(agent structs.Incarnation, replaced bool) {
	for _, r := range c.sortedRecoveries() {
		_, waiting := r.pending[agent]
		if waiting {
			delete(r.pending, agent)
			r.incomplete = r.incomplete || !replaced
		}
		for ref, id := range r.awaited {
			if id == agent {
				delete(r.awaited, ref)
				r.incomplete, waiting = true, true
			}
		}
		if waiting {
			c.finishRecovery(r)
		}
	}
}

func (c *Coordinator) sortedRecoveries() []*recovery {
	list := make([]*recovery, 0, len(c.recoveries))
	for _, r := range c.recoveries {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *recovery) int { return cmp.Compare(a.call, b.call) })
	return list
}
