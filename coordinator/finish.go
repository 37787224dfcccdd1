package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// endTask records the final outcome of a task and what follows for its job.
func (c *Coordinator) endTask(j *job, t *task, r structs.TaskResult) {
	c.taskDone(j, t, r)
	if r.Error != nil {
		c.fail(j, r.Error, structs.SettleRecall)
		return
	}
	c.finishIfDone(j)
}

// taskDone records the final outcome of a task.
func (c *Coordinator) taskDone(j *job, t *task, r structs.TaskResult) {
	if t.phase == done {
		return
	}
	t.phase = done
	t.agent = 0
	t.result = r
	j.left--
	c.openTasks--
	j.service.limiter.Release(j.team, 1)
}

// fail gives a job up: what waits never starts, what is placed is recalled, and
// the job is final as soon as every task's verdict is known.
func (c *Coordinator) fail(j *job, err *structs.Error, mode structs.SettleMode) {
	if j.state.Final() {
		return
	}
	if j.failure == nil {
		j.failure = err
		j.failBy = c.now.Add(c.cfg.FailSettleBound)
		j.service.queue.remove(j)
		c.giveUpTasks(j, mode)
	}
	c.finishIfDone(j)
}

// giveUpTasks ends waiting tasks and asks the agents about the others.
func (c *Coordinator) giveUpTasks(j *job, mode structs.SettleMode) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case waiting:
			err := structs.Errorf(j.failure.Code, structs.NotRun, "not started when the job failed")
			c.taskDone(j, t, structs.TaskResult{Index: i, Verdict: structs.NotRun, Error: err})
		case placed, unsettled:
			if a := c.agents[t.agent]; a != nil {
				a.ask(j.ref(i), mode)
			}
		}
	}
}

// closeOpenTasks ends what a failing job could not learn in time.
func (c *Coordinator) closeOpenTasks(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == done {
			continue
		}
		err := structs.Errorf(j.failure.Code, structs.MayHaveRun, "its agent has not answered")
		c.taskDone(j, t, structs.TaskResult{Index: i, Verdict: structs.MayHaveRun, Error: err})
	}
	c.finishIfDone(j)
}

// finishIfDone makes the job final once every task is done.
func (c *Coordinator) finishIfDone(j *job) {
	if j.left > 0 || j.state.Final() {
		return
	}
	c.openJobs--
	if j.failure == nil || j.whole() {
		j.failure = nil
		c.finish(j, structs.JobComplete)
		return
	}
	failure := *j.failure
	failure.Verdict = j.verdict()
	j.failure = &failure
	c.finish(j, structs.JobFailed)
}

// finish makes the job final and answers its callers. A failed job keeps no
// result.
func (c *Coordinator) finish(j *job, state structs.JobState) {
	j.state = state
	j.finalAt = c.now
	c.finals = append(c.finals, j.id.Seq)
	if state == structs.JobFailed {
		dropResults(j)
	}
	c.release(j)
	for _, call := range j.waiters {
		delete(c.calls, call)
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

// withoutResult leaves a task of a failed job its verdict alone.
func withoutResult(r *structs.TaskResult, failure *structs.Error) {
	r.Body = nil
	r.ContentType = ""
	if r.Error == nil {
		r.Error = structs.Errorf(failure.Code, r.Verdict, "finished; another task of the job failed")
	}
}

// hold counts bytes that the job is to keep in memory. It reports false, and
// counts nothing, if there is no room.
func (c *Coordinator) hold(j *job, bytes int) bool {
	if c.heldBytes+bytes > 2*c.cfg.MaxHeldBytes {
		return false
	}
	j.bytes += bytes
	c.heldBytes += bytes
	return true
}

// release drops what a final job needs no more, and counts what is left.
func (c *Coordinator) release(j *job) {
	c.heldBytes -= j.bytes
	j.bytes = 0
	j.specs = nil
	for i := range j.tasks {
		j.bytes += len(j.tasks[i].result.Body)
	}
	c.heldBytes += j.bytes
}

// tick lets time pass.
func (c *Coordinator) tick() {
	c.ids.expire(c.now.Add(-c.cfg.ReservationTTL))
	c.tickJobs()
	for _, a := range append([]*agent(nil), c.order...) {
		c.tickAgent(a)
	}
	c.tickServices()
	c.forgetAnswers()
	c.advanceWatermark()
}

func (c *Coordinator) tickServices() {
	passed := c.now.Sub(c.ticked)
	c.ticked = c.now
	for _, svc := range c.services {
		svc.retries.RefillElapsed(passed)
		svc.limiter.EvictIdleTeams(c.now)
		c.recallStragglers(svc)
	}
}

// tickJobs fails jobs past their timeout and closes failing ones.
func (c *Coordinator) tickJobs() {
	for _, j := range c.compactOpen() {
		switch {
		case j.failure == nil && !c.now.Before(j.deadline):
			c.fail(j, structs.Errorf(structs.CodeTimeout, structs.MayHaveRun, "the job's timeout passed"), structs.SettleRecall)
		case j.failure != nil && !c.now.Before(j.failBy):
			c.closeOpenTasks(j)
		}
	}
}

// compactOpen drops final jobs from the list of open ones and returns it.
func (c *Coordinator) compactOpen() []*job {
	kept := c.open[:0]
	for _, j := range c.open {
		if !j.state.Final() {
			kept = append(kept, j)
		}
	}
	clear(c.open[len(kept):])
	c.open = kept
	return kept
}

// forgetAnswers drops the oldest final answers past their time or the caps.
func (c *Coordinator) forgetAnswers() {
	for len(c.finals) > 0 {
		j := c.jobs[c.finals[0]]
		expired := c.now.Sub(j.finalAt) >= c.cfg.AnswerTTL
		crowded := len(c.finals) > c.cfg.MaxAnswers || c.heldBytes > c.cfg.MaxHeldBytes
		if !expired && !crowded {
			return
		}
		c.heldBytes -= j.bytes
		delete(c.jobs, j.id.Seq)
		c.finals = c.finals[1:]
	}
}

// TickInterval is how often the caller should send Ticked.
const TickInterval = 100 * time.Millisecond
