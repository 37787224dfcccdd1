package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// endTask records the final outcome of a task and fails or finishes its job
// accordingly.
func (c *Coordinator) endTask(j *job, t *task, r structs.TaskResult) {
	c.recordResult(j, t, r)
	if r.Error != nil {
		c.fail(j, r.Error, structs.SettleRecall)
		return
	}
	c.finishIfDone(j)
}

// recordResult stores the final outcome of a task.
func (c *Coordinator) recordResult(j *job, t *task, r structs.TaskResult) {
	if t.phase == done {
		return
	}
	t.phase = done
	t.agent = 0
	t.result = r
	j.unfinished--
	c.openTasks--
	j.service.limiter.Release(j.team, 1)
}

// fail marks a job as failing: its waiting tasks never start, its placed ones
// are recalled, and it becomes final as soon as every task's verdict is known.
func (c *Coordinator) fail(j *job, err *structs.Error, mode structs.SettleMode) {
	if j.state.Final() {
		return
	}
	if j.failure == nil {
		j.failure = err
		j.verdictDeadline = c.now.Add(c.opts.FailSettleTimeout)
		j.service.queue.remove(j)
		c.abandonTasks(j, mode)
	}
	c.finishIfDone(j)
}

// abandonTasks ends the waiting tasks of a failing job and asks the agents to
// settle the others.
func (c *Coordinator) abandonTasks(j *job, mode structs.SettleMode) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case waiting:
			err := structs.Errorf(j.failure.Code, structs.NotRun, "the task had not started when its job failed")
			c.recordResult(j, t, structs.TaskResult{Index: i, Verdict: structs.NotRun, Error: err})
		case placed, inDoubt:
			if a := c.agents[t.agent]; a != nil {
				a.requestSettle(j.ref(i), mode)
			}
		}
	}
}

// endUnreportedTasks ends, as MayHaveRun, the tasks of a failing job whose
// verdicts were not reported in time.
func (c *Coordinator) endUnreportedTasks(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == done {
			continue
		}
		err := structs.Errorf(j.failure.Code, structs.MayHaveRun, "the agent did not report the task's outcome in time")
		c.recordResult(j, t, structs.TaskResult{Index: i, Verdict: structs.MayHaveRun, Error: err})
	}
	c.finishIfDone(j)
}

// finishIfDone makes the job final once every task is done.
func (c *Coordinator) finishIfDone(j *job) {
	if j.unfinished > 0 || j.state.Final() {
		return
	}
	c.openJobs--
	if j.failure == nil || j.allSucceeded() {
		j.failure = nil
		c.finish(j, structs.JobComplete)
		return
	}
	failure := *j.failure
	failure.Verdict = j.verdict()
	j.failure = &failure
	c.finish(j, structs.JobFailed)
}

// finish makes the job final and replies to its waiting callers. A failed job
// keeps no results.
func (c *Coordinator) finish(j *job, state structs.JobState) {
	j.state = state
	j.finalAt = c.now
	c.finalSeqs = append(c.finalSeqs, j.id.Seq)
	if state == structs.JobFailed {
		dropResults(j)
	}
	c.releaseBytes(j)
	for _, call := range j.waiters {
		delete(c.waitingCalls, call)
		c.replyJob(call, j)
	}
	j.waiters = nil
	c.logFinal(j)
}

func (c *Coordinator) logFinal(j *job) {
	v := j.verdict()
	if len(j.tasks) == 0 {
		return
	}
	detail := string(j.state)
	if j.failure != nil {
		detail += ": " + j.failure.Message
	}
	c.emit(LogEvent{Event: "job_final", Job: j.id, Task: noTask, Verdict: &v, Detail: detail})
}

func dropResults(j *job) {
	for i := range j.tasks {
		withoutResult(&j.tasks[i].result, j.failure)
	}
}

// withoutResult reduces the result of a task of a failed job to its verdict and
// error.
func withoutResult(r *structs.TaskResult, failure *structs.Error) {
	r.Body = nil
	r.ContentType = ""
	if r.Error == nil {
		r.Error = structs.Errorf(failure.Code, r.Verdict, "the task finished, but its job failed")
	}
}

// holdBytes accounts for bytes that the job keeps in memory. It returns false,
// and counts nothing, if they would exceed twice MaxHeldBytes: admission stops
// at MaxHeldBytes, and the rest is for the results of admitted jobs.
func (c *Coordinator) holdBytes(j *job, bytes int) bool {
	if c.heldBytes+bytes > 2*c.opts.MaxHeldBytes {
		return false
	}
	j.memoryBytes += bytes
	c.heldBytes += bytes
	return true
}

// releaseBytes drops the payloads of a final job and accounts for its remaining
// results.
func (c *Coordinator) releaseBytes(j *job) {
	c.heldBytes -= j.memoryBytes
	j.memoryBytes = 0
	j.taskSpecs = nil
	for i := range j.tasks {
		j.memoryBytes += len(j.tasks[i].result.Body)
	}
	c.heldBytes += j.memoryBytes
}

// tick applies timeouts and runs periodic work.
func (c *Coordinator) tick() {
	c.ids.expire(c.now.Add(-c.opts.ReservationTTL))
	c.tickJobs()
	for _, a := range append([]*agent(nil), c.agentList...) {
		c.tickAgent(a)
	}
	c.tickServices()
	c.evictAnswers()
	c.advanceWatermark()
}

func (c *Coordinator) tickServices() {
	elapsed := c.now.Sub(c.lastTick)
	c.lastTick = c.now
	for _, svc := range c.services {
		svc.retries.RefillElapsed(elapsed)
		svc.limiter.EvictIdleTeams(c.now)
		c.recallFromSlowAgents(svc)
	}
}

// tickJobs fails jobs that are past their deadline and ends failing jobs that
// are past their verdict deadline.
func (c *Coordinator) tickJobs() {
	for _, j := range c.compactOpen() {
		switch {
		case j.failure == nil && !c.now.Before(j.deadline):
			c.fail(j, structs.Errorf(structs.CodeTimeout, structs.MayHaveRun, "the job timed out"), structs.SettleRecall)
		case j.failure != nil && !c.now.Before(j.verdictDeadline):
			c.endUnreportedTasks(j)
		}
	}
}

// compactOpen removes final jobs from the list of open jobs and returns the
// list.
func (c *Coordinator) compactOpen() []*job {
	kept := c.openList[:0]
	for _, j := range c.openList {
		if !j.state.Final() {
			kept = append(kept, j)
		}
	}
	clear(c.openList[len(kept):])
	c.openList = kept
	return kept
}

// evictAnswers removes the oldest final answers while they are past AnswerTTL,
// too many or over the limit of held bytes.
func (c *Coordinator) evictAnswers() {
	for len(c.finalSeqs) > 0 {
		j := c.jobs[c.finalSeqs[0]]
		expired := c.now.Sub(j.finalAt) >= c.opts.AnswerTTL
		overLimit := len(c.finalSeqs) > c.opts.MaxAnswers || c.heldBytes > c.opts.MaxHeldBytes
		if !expired && !overLimit {
			return
		}
		c.heldBytes -= j.memoryBytes
		if len(j.tasks) > 0 && !j.finalBy(c.watermarkCutoff()) {
			c.evictedEarly = append(c.evictedEarly, evictedAnswer{seq: j.id.Seq, finalAt: j.finalAt})
		}
		delete(c.jobs, j.id.Seq)
		c.finalSeqs = c.finalSeqs[1:]
	}
}

// TickInterval is how often the caller should send Ticked.
const TickInterval = 100 * time.Millisecond
