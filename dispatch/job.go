package dispatch

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// job is a submission under way.
type job struct {
	Job
	arrived    time.Time
	deadline   time.Time // when the caller goes or the answer is worth nothing
	objective  time.Time // when it should end
	calls      []CallID
	tasks      []task
	left       int            // tasks not done
	mayHaveRun bool           // a placement ended otherwise than not started
	ending     *structs.Error // why it was given up on, while its tasks are stopped
	answered   bool
	taken      bool      // tasks were placed
	heldUntil  time.Time // while it is held
	live       int       // placements that have not ended
	// successor is a copy of the submission that came after the answer while
	// tasks were still being stopped.
	successor *SubmitCalled
}

// task is one task of a job.
type task struct {
	done     bool
	failures int
	placed   int // placements so far
	moves    int // times it was stopped to run elsewhere
	current  *placement
	avoid    []string // agents at which it failed
}

// placement is one attempt to run a task at an agent.
type placement struct {
	id        uint64
	job       *job
	index     int
	agent     *agent
	number    uint64    // of the order
	stopped   bool      // its stop was ordered
	doubtEnds time.Time // when it must have ended though its agent is silent; zero while in session
}

// submit takes a job in, joins a copy of it, or refuses it.
func (d *Dispatcher) submit(e SubmitCalled) {
	if j := d.jobs[e.Job.Name]; j != nil {
		d.join(j, e)
		return
	}
	if s, ok := d.remembered[e.Job.Name]; ok {
		d.emit(Answered{Call: e.Call, Status: s})
		return
	}
	j := &job{Job: e.Job, arrived: d.now, left: e.Job.Tasks, tasks: make([]task, e.Job.Tasks)}
	objective := j.Queue.Objective(j.Estimate)
	j.objective = d.now.Add(objective)
	j.deadline = d.now.Add(lateFactor * objective)
	if j.Timeout > 0 {
		j.deadline = d.now.Add(j.Timeout)
	}
	if !d.leaveUntil.IsZero() {
		j.limitTo(d.leaveUntil)
	}
	plan, err := d.planNew(j)
	hold := err != nil && d.mayHold(j, err)
	if err != nil && !hold {
		d.refuse(j, e.Call, err)
		return
	}
	j.calls = []CallID{e.Call}
	d.calls[e.Call] = j
	d.jobs[j.Name] = j
	if hold {
		d.hold(j, err)
		return
	}
	d.admit(j, plan)
}

// latestEnd returns when a job must be expected to end at the latest to be
// taken.
func (d *Dispatcher) latestEnd(j *job) time.Time {
	latest := j.arrived.Add(lateFactor * j.objective.Sub(j.arrived))
	if j.deadline.Before(latest) {
		return j.deadline
	}
	return latest
}

func (d *Dispatcher) admit(j *job, plan []assignment) {
	j.taken = true
	d.logPlan("job_admitted", j, plan)
	d.carryOut(j, plan)
}

// join attaches a copy of a submission to the job that is under way.
func (d *Dispatcher) join(j *job, e SubmitCalled) {
	d.emit(LogEvent{Event: "job_joined", Job: j.Name, Queue: j.Queue.Name, Detail: fmt.Sprintf("answered=%t live=%d", j.answered, j.live)})
	if j.answered {
		if old := j.successor; old != nil {
			d.emit(Refused{Call: old.Call, Error: structs.Errorf(structs.CodeConflict, structs.NotRun, "replaced by a newer copy")})
		}
		j.successor = &e
		d.calls[e.Call] = j
		return
	}
	j.calls = append(j.calls, e.Call)
	d.calls[e.Call] = j
}

// limitTo brings a job's deadline forward.
func (j *job) limitTo(t time.Time) {
	if t.Before(j.deadline) {
		j.deadline = t
	}
}

// unplaced returns the tasks that are neither done nor placed.
func (j *job) unplaced() []int {
	list := make([]int, 0, j.Tasks)
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.done && t.current == nil {
			list = append(list, i)
		}
	}
	return list
}

func (d *Dispatcher) refuse(j *job, call CallID, err *structs.Error) {
	d.emit(LogEvent{Event: "job_refused", Job: j.Name, Queue: j.Queue.Name, Verdict: &err.Verdict,
		Detail: fmt.Sprintf("code=%s reason=%q retry_after_ms=%d waited_ms=%d", err.Code, err.Message, err.RetryAfter.Milliseconds(), d.now.Sub(j.arrived).Milliseconds())})
	d.emit(JobMetrics{Queue: j.Queue.Name, Took: d.now.Sub(j.arrived)})
	d.emit(Refused{Call: call, Error: err})
}

// callGone forgets a caller. A job that nobody waits for is stopped.
func (d *Dispatcher) callGone(call CallID) {
	j := d.calls[call]
	if j == nil {
		return
	}
	delete(d.calls, call)
	if j.successor != nil && j.successor.Call == call {
		j.successor = nil
		return
	}
	for i, c := range j.calls {
		if c == call {
			j.calls = append(j.calls[:i], j.calls[i+1:]...)
			break
		}
	}
	if len(j.calls) == 0 && !j.answered {
		d.emit(LogEvent{Event: "job_abandoned", Job: j.Name, Queue: j.Queue.Name,
			Detail: fmt.Sprintf("waited_ms=%d left=%d", d.now.Sub(j.arrived).Milliseconds(), j.left)})
		d.close(j)
	}
}

func (d *Dispatcher) cancel(e CancelCalled) {
	j := d.jobs[e.Name]
	if j == nil || j.answered {
		_, known := d.remembered[e.Name]
		d.emit(CancelReplied{Call: e.Call, Known: known})
		return
	}
	d.answer(j, Canceled, "canceled by the caller")
	d.emit(CancelReplied{Call: e.Call, Known: true})
}

// answer gives the final answer of a job and stops what is left of it.
func (d *Dispatcher) answer(j *job, s Status, reason string) {
	took := d.now.Sub(j.arrived)
	late := d.now.After(j.objective)
	d.emit(LogEvent{Event: "job_answered", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("status=%s reason=%q took_ms=%d objective_ms=%d tasks=%d left=%d", s, reason,
			took.Milliseconds(), j.objective.Sub(j.arrived).Milliseconds(), j.Tasks, j.left)})
	d.emit(JobMetrics{Queue: j.Queue.Name, Status: s, Took: took, Late: late})
	for _, call := range j.calls {
		delete(d.calls, call)
		d.emit(Answered{Call: call, Status: s})
	}
	j.calls = nil
	d.remembered[j.Name] = s
	d.forget = append(d.forget, remembered{name: j.Name, at: d.now})
	d.close(j)
}

// giveUp ends a job that cannot be done in time. While a placement may or may
// not have started, its tasks are stopped first, for a short time, so that the
// answer can say whether the job has run.
func (d *Dispatcher) giveUp(j *job, code structs.ErrorCode, reason string) {
	if j.ending != nil {
		return
	}
	err := structs.Errorf(code, structs.MayHaveRun, "%s", reason).WithRetryAfter(d.retryAfter(j))
	j.ending = err
	if j.live == 0 || j.mayHaveRun {
		d.endRefused(j)
		return
	}
	j.deadline = d.now.Add(verdictWait)
	d.stopTasks(j)
}

// endRefused gives the final answer of a job that was given up on. Only if no
// task has started does it say that the job has not run.
func (d *Dispatcher) endRefused(j *job) {
	err := *j.ending
	if j.live == 0 && !j.mayHaveRun {
		err.Verdict = structs.NotRun
	}
	for _, call := range j.calls {
		delete(d.calls, call)
		d.refuse(j, call, &err)
	}
	j.calls = nil
	d.close(j)
}

// stopTasks stops the placements of a job.
func (d *Dispatcher) stopTasks(j *job) {
	for i := range j.tasks {
		if p := j.tasks[i].current; p != nil && p.doubtEnds.IsZero() && !p.stopped {
			d.stopPlacement(p)
		}
	}
}

func (d *Dispatcher) stopPlacement(p *placement) {
	p.stopped = true
	o := d.orderTo(p.agent)
	o.Stop = append(o.Stop, p.id)
}

// close stops the placements of a job that has its answer, or needs none.
func (d *Dispatcher) close(j *job) {
	j.answered = true
	d.stopTasks(j)
	d.releaseIfEnded(j)
}

// releaseIfEnded forgets a closed job once none of its tasks can run, and takes
// in the copy that came meanwhile.
func (d *Dispatcher) releaseIfEnded(j *job) {
	if !j.answered || j.live > 0 || d.jobs[j.Name] != j {
		return
	}
	delete(d.jobs, j.Name)
	if next := j.successor; next != nil {
		delete(d.calls, next.Call)
		d.submit(*next)
	}
}

// ended takes in the end of a placement.
func (d *Dispatcher) ended(p *placement, r session.Report) {
	delete(d.placements, p.id)
	delete(p.agent.pending, p.id)
	j := p.job
	t := &j.tasks[p.index]
	j.live--
	if t.current == p {
		t.current = nil
	}
	if j.answered {
		d.releaseIfEnded(j)
		return
	}
	j.mayHaveRun = j.mayHaveRun || r.Outcome != session.NotStarted
	if j.ending != nil {
		if j.live == 0 || j.mayHaveRun {
			d.endRefused(j)
		}
		return
	}
	switch r.Outcome {
	case session.Done:
		t.done = true
		j.left--
		if j.left == 0 {
			d.answer(j, Completed, "")
		}
		return
	case session.Failed:
		t.failures++
		t.avoid = append(t.avoid, p.agent.name)
		if t.failures >= max(j.Queue.Attempts, 1) {
			d.answer(j, Failed, fmt.Sprintf("task %d failed %d times", p.index, t.failures))
			return
		}
	default:
		t.avoid = append(t.avoid, p.agent.name)
	}
	d.placeAgain(j, p, r.Outcome.String()+": "+r.Reason)
}

// placeAgain places a task whose last placement has ended, or gives the job up.
func (d *Dispatcher) placeAgain(j *job, p *placement, why string) {
	if j.tasks[p.index].placed >= maxPlacements {
		d.giveUp(j, structs.CodeUnavailable, "task placed too often, last "+why)
		return
	}
	plan, err := d.plan(j, []int{p.index}, j.deadline)
	if err != nil && d.mayHold(j, err) {
		d.hold(j, err)
		return
	}
	if err != nil {
		d.giveUp(j, err.Code, err.Message+"; after "+why)
		return
	}
	d.emit(LogEvent{Event: "task_placed_again", Job: j.Name, Queue: j.Queue.Name, Agent: p.agent.name,
		Detail: fmt.Sprintf("task=%d why=%q to=%s", p.index, why, plan[0].agent.name)})
	d.carryOut(j, plan)
}
