package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds of recoveries.
const (
	maxRecoveries        = 64 // at once
	retryAfterRecovering = time.Second
	retryAfterHomeLost   = 2 * time.Second
)

// recovery finds out from the agents what became of a job whose home, another
// entry, cannot be reached. It never places a task.
//
// A whole answer needs no fence: a task is at one agent at most, and a finished
// one never changes. NotRun is said only of a task that waited at an agent when
// the home was closed there: the home had no evidence against that attempt, so
// there is no later one, and a closed home does not place it again. Of a task
// that no agent reports, nothing is known.
type recovery struct {
	call CallID
	id   structs.JobID
	// tasks is the number of the job's tasks; zero until known.
	tasks int
	dead  bool
	// content identifies the submission that is repeated; zero if unknown.
	content  [16]byte
	conflict bool
	// unsure says that an agent or a task's outcome could not be had now, but
	// may be had later.
	unsure bool
	// pending are the agents that have not answered, and awaited the tasks
	// that still run.
	pending map[structs.Incarnation]struct{}
	awaited map[structs.TaskRef]struct{}
	known   map[int]structs.TaskStatus // newest attempt of each task
}

// maxClosed bounds the reports kept of entries that have ended.
const maxClosed = 256

// homeClosed remembers the last word of another entry.
func (c *Coordinator) homeClosed(r structs.ClosedReport) {
	if _, known := c.closed[r.Home]; known {
		return
	}
	c.closed[r.Home] = r
	c.closedBy = append(c.closedBy, r.Home)
	if len(c.closedBy) > maxClosed {
		delete(c.closed, c.closedBy[0])
		c.closedBy = c.closedBy[1:]
	}
}

// ClosedReports returns the last words of other entries, oldest first.
func (c *Coordinator) ClosedReports() []structs.ClosedReport {
	var reports []structs.ClosedReport
	for _, home := range c.closedBy {
		reports = append(reports, c.closed[home])
	}
	return reports
}

// recoverJob starts a recovery, unless the home said that it never took the job.
func (c *Coordinator) recoverJob(e RecoverCalled) {
	if report, ok := c.closed[owner(e.ID)]; ok && report.Covers(e.ID.Seq) {
		c.replyError(e.Call, structs.Errorf(structs.CodeExpired, structs.NotRun,
			"the entry that reserved job %s has left without having taken it", e.ID))
		return
	}
	agents := c.agentsOf(e.Spec)
	if len(agents) == 0 {
		c.replyError(e.Call, homeLost(e.ID))
		return
	}
	if len(c.recovers) >= maxRecoveries {
		c.replyError(e.Call, homeLost(e.ID).WithRetryAfter(retryAfterRecovering))
		return
	}
	r := &recovery{
		call:    e.Call,
		id:      e.ID,
		dead:    e.Dead,
		pending: make(map[structs.Incarnation]struct{}, len(agents)),
		awaited: make(map[structs.TaskRef]struct{}),
		known:   make(map[int]structs.TaskStatus),
	}
	if e.Spec != nil {
		r.tasks = len(e.Spec.Tasks)
		r.content = fingerprint(e.Spec)
	}
	c.recovers[e.Call] = r
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

// agentsOf returns the agents of a service, or all if it is not named.
func (c *Coordinator) agentsOf(spec *structs.JobSpec) []*agent {
	if spec == nil || spec.Service == "" {
		return c.order
	}
	if svc := c.services[spec.Service]; svc != nil {
		return svc.agents
	}
	return nil
}

func homeLost(id structs.JobID) *structs.Error {
	return structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun,
		"the entry that owns job %s cannot be reached, and the agents do not know enough of it", id).
		WithRetryAfter(retryAfterHomeLost)
}

// queryReplied takes in what one agent knows.
func (c *Coordinator) queryReplied(e QueryReplied) {
	r := c.recovers[e.Call]
	if r == nil {
		return
	}
	delete(r.pending, e.Agent)
	for i := range e.Reply.Statuses {
		c.recovered(r, e.Agent, &e.Reply.Statuses[i])
	}
	c.finishRecovery(r)
}

func (c *Coordinator) recovered(r *recovery, agent structs.Incarnation, s *structs.TaskStatus) {
	index := s.Task.Index
	if s.Attempt < r.known[index].Attempt {
		return
	}
	r.known[index] = *s
	r.checkContent(s.Content)
	r.tasks = max(r.tasks, s.JobTasks)
	if s.Phase == structs.TaskRunning || s.Phase == structs.TaskQueued {
		ref := structs.TaskRef{Task: s.Task, Attempt: s.Attempt}
		r.awaited[ref] = struct{}{}
		c.emit(QueryAwait{Call: r.call, Agent: agent, Ref: ref})
	}
}

// checkContent notes whether the agents know the id with other content than the
// repeated submission.
func (r *recovery) checkContent(known [16]byte) {
	var unknown [16]byte
	if r.content != unknown && known != unknown && known != r.content {
		r.conflict = true
	}
}

// queryAwaited takes in the outcome of a task that was still under way.
func (c *Coordinator) queryAwaited(e QueryAwaited) {
	r := c.recovers[e.Call]
	if r == nil {
		return
	}
	delete(r.awaited, e.Ref)
	index := e.Ref.Task.Index
	if s := r.known[index]; s.Attempt == e.Ref.Attempt {
		s.Phase = structs.TaskDone
		s.Result = e.Reply.Result
		r.known[index] = s
	}
	c.finishRecovery(r)
}

// queryFailed counts an agent's answer, or a task's outcome, as not to be had
// now.
func (c *Coordinator) queryFailed(e QueryFailed) {
	r := c.recovers[e.Call]
	if r == nil {
		return
	}
	r.unsure = true
	delete(r.pending, e.Agent)
	delete(r.awaited, e.Ref)
	c.finishRecovery(r)
}

// finishRecovery answers once nothing is outstanding.
func (c *Coordinator) finishRecovery(r *recovery) {
	if len(r.pending) > 0 || len(r.awaited) > 0 {
		return
	}
	delete(c.recovers, r.call)
	if r.conflict {
		c.replyError(r.call, otherContent(r.id))
		return
	}
	answer := r.answer()
	if answer == nil {
		c.replyError(r.call, homeLost(r.id))
		return
	}
	c.emit(LogEvent{Event: "job_recovered", Job: r.id, Task: noTask, Detail: string(answer.State)})
	c.emit(Reply{Call: r.call, Answer: answer})
}

// abandonRecovery ends a recovery whose caller has gone or waits no longer.
func (c *Coordinator) abandonRecovery(r *recovery, answer bool) {
	delete(c.recovers, r.call)
	if answer {
		c.replyError(r.call, homeLost(r.id).WithRetryAfter(retryAfterRecovering))
	}
}

// answer returns the job's final answer, or nil if the agents do not know
// enough. While the home may live, only a whole answer is final. So it is while
// an agent may still tell more: what is final must not depend on who asks when.
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
	if !r.dead || r.unsure {
		return nil
	}
	a.Error = structs.Errorf(structs.CodeHomeLost, verdict, "the entry that owned job %s is gone", r.id)
	for i := range a.Results {
		withoutResult(&a.Results[i], a.Error)
	}
	return a
}

// result returns what is known of one task.
func (r *recovery) result(index int) structs.TaskResult {
	s, known := r.known[index]
	if s.Result.Error != nil && s.Result.Error.Code == structs.CodeResultLost {
		r.unsure = true
	}
	switch {
	case known && s.Phase == structs.TaskDone && s.Result.Verdict != structs.NotRun:
		result := s.Result
		result.Index = index
		return result
	case known && s.Phase == structs.TaskFenced && s.Result.Error != nil && s.Result.Error.Code == structs.CodeHomeFenced:
		return structs.TaskResult{Index: index, Verdict: structs.NotRun, Error: s.Result.Error}
	}
	err := structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun, "no agent knows of it")
	return structs.TaskResult{Index: index, Verdict: structs.MayHaveRun, Error: err}
}

// dropFromRecoveries lets recoveries go on without an agent that is gone.
func (c *Coordinator) dropFromRecoveries(agent structs.Incarnation) {
	for _, r := range c.sortedRecoveries() {
		if _, waits := r.pending[agent]; waits {
			delete(r.pending, agent)
			c.finishRecovery(r)
		}
	}
}

func (c *Coordinator) sortedRecoveries() []*recovery {
	list := make([]*recovery, 0, len(c.recovers))
	for _, r := range c.recovers {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *recovery) int { return cmp.Compare(a.call, b.call) })
	return list
}
