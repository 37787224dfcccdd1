package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/containment"
	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/shares"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// job is a submitted job until it is answered and all its placements have ended.
type job struct {
	Job
	arrived        time.Time
	deadline       time.Time // when the caller stops waiting, or the answer is no longer useful
	objective      time.Time // latency objective: when it should end
	target         time.Time // by when tasks have to end if they can: the objective, or later if the caller has waited before
	calls          []CallID
	newest         time.Time // when the newest submission was sent, as far as is known
	peersAsked     time.Time // when the other entries were last asked for newer ones
	asksPeers      bool      // they are being asked
	stopEchoBefore time.Time // see Order.EchoBefore, of orders that stop its tasks; zero if they count from now
	checked        uint64    // step in which one of the callers was last known to be connected
	tasks          []task
	unfinished     int            // tasks not done
	mayHaveRun     bool           // a placement ended with an outcome other than NotStarted
	abandonErr     *structs.Error // why it was abandoned; nil if it was not
	answered       bool           // or closed without an answer, because no caller is left
	admitted       bool           // tasks were placed
	rank           shares.Rank    // under shortage; zero unless Scheduling.Shares is set
	holdUntil      time.Time      // end of the hold time if it is held
	livePlacements int            // placements that have not ended
	group          group          // where its tasks run if it wants one rack
	openIndex      indexheap.Index
	// successors are the duplicates of the submission that arrived after the answer
	// while tasks were still being stopped.
	successors []waitingSubmission
}

// task is one task of a job.
type task struct {
	done          bool
	failures      int
	losses        int // placements that ended as Lost
	placements    int // placements so far
	moves         int // times it was stopped to run on another agent
	current       *placement
	avoidedAgents []string // where it ended without success or was moved away from
}

// placement is one attempt to run a task at an agent.
type placement struct {
	id            uint64
	job           *job
	index         int
	agent         *agent
	orderNumber   uint64 // of the order that starts it
	stopRequested bool   // an order to stop it was emitted
	recalled      bool   // an order to return it if it has not been started was emitted
	place         placementPlace
	inDoubtUntil  time.Time // by when it must have ended, once its session has; zero while the session is open
	inDoubtIndex  indexheap.Index
}

// submit admits, holds or refuses a new job. A duplicate of a known job joins it
// or gets its retained answer, and one of a canceled job is answered as canceled. The caller
// is known to be connected. It returns why a new job was refused.
func (d *Dispatcher) submit(e SubmitCalled) *structs.Error {
	if j := d.jobs[e.Job.Name]; j != nil {
		d.join(j, e)
		return nil
	}
	if status, ok := d.retainedAnswers[e.Job.Name]; ok {
		d.emitAnswer(e.Call, status)
		return nil
	}
	if d.answerCanceled(e) || d.refuseCrashing(e) {
		return nil
	}
	j := &job{Job: e.Job, arrived: d.now.Add(-e.Job.Waited), checked: d.steps, unfinished: e.Job.Tasks, tasks: make([]task, e.Job.Tasks)}
	objective := j.Queue.Objective(j.Estimate)
	j.objective = j.arrived.Add(objective)
	j.deadline = j.arrived.Add(usefulFactor * objective)
	if j.Timeout > 0 {
		j.deadline = d.now.Add(j.Timeout)
	}
	if !d.leaveDeadline.IsZero() {
		j.limitDeadline(d.leaveDeadline)
	}
	j.target = j.objective
	if j.Timeout > 0 && d.longestSlack.isResubmission(j.Queue.Name, j.Timeout+j.Waited, objective) {
		j.target = d.latestUsefulEnd(j)
	}
	d.recordDemand(j)
	plan, err := d.planNew(j)
	held := err != nil && d.mayHold(j, err)
	if err != nil && !held {
		d.refuse(j, e.Call, err)
		return err
	}
	j.calls = []CallID{e.Call}
	j.newest = d.now.Add(-max(e.LastReceived, 0))
	d.assign(e.Call, j)
	d.jobs[j.Name] = j
	d.openJobs.Set(j)
	if held {
		d.hold(j, err)
		return nil
	}
	d.admit(j, plan)
	return nil
}

// latestUsefulEnd returns by when a job must be expected to end to be admitted:
// while its answer is useful and before its deadline.
func (d *Dispatcher) latestUsefulEnd(j *job) time.Time {
	latest := j.arrived.Add(usefulFactor * j.objective.Sub(j.arrived))
	if j.deadline.Before(latest) {
		return j.deadline
	}
	return latest
}

func (d *Dispatcher) admit(j *job, plan []assignment) {
	j.admitted = true
	d.logPlan("job_admitted", j, plan)
	d.emit(PlanMetrics{Queue: j.Queue.Name, Uncertain: uncertainTasks(plan) > 0})
	d.logPlaces(j, plan)
	d.applyChanges(d.containment.Step(d.now, containment.JobAdmitted{
		Queue: j.Queue.Name, Service: j.Queue.Service, Work: float64(j.Tasks) * float64(j.CPU) / 1000 * j.Estimate.Seconds(),
	}))
	d.place(j, plan)
}

// join attaches a duplicate submission to its open job. If the job is answered
// already and its tasks are still being stopped, the duplicates are submitted when
// they have ended.
func (d *Dispatcher) join(j *job, e SubmitCalled) {
	d.emit(LogEvent{Event: "job_joined", Job: j.Name, Queue: j.Queue.Name, Detail: fmt.Sprintf("answered=%t live=%d", j.answered, j.livePlacements)})
	if j.answered {
		j.successors = append(j.successors, d.newWaitingSubmission(e))
		d.assign(e.Call, j)
		return
	}
	j.calls = append(j.calls, e.Call)
	j.checked = d.steps
	j.stopEchoBefore = time.Time{}
	j.newest = d.now.Add(-max(e.LastReceived, 0))
	d.assign(e.Call, j)
}

// limitDeadline moves a job's deadline to t if it is later.
func (j *job) limitDeadline(t time.Time) {
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

// emitAnswer gives the final answer to a call.
func (d *Dispatcher) emitAnswer(call CallID, s Status) {
	d.removeCaller(call)
	d.emit(Answered{Call: call, Status: s})
}

func (d *Dispatcher) refuse(j *job, call CallID, err *structs.Error) {
	d.emit(LogEvent{Event: "job_refused", Job: j.Name, Queue: j.Queue.Name, Verdict: &err.Verdict,
		Detail: fmt.Sprintf("code=%s reason=%q retry_after_ms=%d waited_ms=%d", err.Code, err.Message, err.RetryAfter.Milliseconds(), d.now.Sub(j.arrived).Milliseconds())})
	d.emit(JobMetrics{Queue: j.Queue.Name, Took: d.now.Sub(j.arrived)})
	d.removeCaller(call)
	d.emit(Refused{Call: call, Error: err})
}

// callClosed removes a caller. A job whose last caller has disconnected is
// stopped without an answer, which is logged as job_abandoned; abandon is called
// for jobs that still have callers.
func (d *Dispatcher) callClosed(call CallID, reason string) {
	isCall := func(s waitingSubmission) bool { return s.Call == call }
	j := d.jobOf(call)
	d.removeCaller(call)
	if j == nil {
		d.delayed = slices.DeleteFunc(d.delayed, isCall)
		d.ready = slices.DeleteFunc(d.ready, isCall)
		return
	}
	if i := slices.IndexFunc(j.successors, isCall); i >= 0 {
		j.successors = slices.Delete(j.successors, i, i+1)
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
			Detail: fmt.Sprintf("reason=%q waited_ms=%d left=%d", reason, d.now.Sub(j.arrived).Milliseconds(), j.unfinished)})
		d.close(j)
	}
}

// answer gives the final answer of a job and stops its remaining tasks.
func (d *Dispatcher) answer(j *job, s Status, reason string) {
	took := d.now.Sub(j.arrived)
	late := d.now.After(j.objective)
	d.emit(LogEvent{Event: "job_answered", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("status=%s reason=%q took_ms=%d objective_ms=%d tasks=%d left=%d", s, reason,
			took.Milliseconds(), j.objective.Sub(j.arrived).Milliseconds(), j.Tasks, j.unfinished)})
	d.emit(JobMetrics{Queue: j.Queue.Name, Status: s, Took: took, Late: late})
	for _, call := range j.calls {
		d.emitAnswer(call, s)
	}
	j.calls = nil
	d.retainedAnswers[j.Name] = s
	d.answerExpiry = append(d.answerExpiry, retainedAnswer{name: j.Name, at: d.now})
	d.close(j)
}

// abandon ends a job that cannot be completed in time. As long as no task is
// known to have started, the answer waits up to verdictTimeout for the stopped
// tasks to end, so that it can say whether the job has run.
func (d *Dispatcher) abandon(j *job, code structs.ErrorCode, reason string) {
	if j.abandonErr != nil {
		return
	}
	err := structs.Errorf(code, structs.MayHaveRun, "%s", reason).WithRetryAfter(d.retryAfter(j))
	j.abandonErr = err
	if j.livePlacements == 0 || j.mayHaveRun {
		d.answerAbandoned(j)
		return
	}
	j.deadline = d.now.Add(verdictTimeout)
	d.openJobs.Set(j)
	d.stopTasks(j)
}

// answerAbandoned gives the final answer of an abandoned job. Its verdict is
// NotRun only if all placements have ended and none has started.
func (d *Dispatcher) answerAbandoned(j *job) {
	err := *j.abandonErr
	if j.livePlacements == 0 && !j.mayHaveRun {
		err.Verdict = structs.NotRun
	}
	for _, call := range j.calls {
		d.refuse(j, call, &err)
	}
	j.calls = nil
	d.close(j)
}

// stopTasks orders the placements of a job to be stopped, except those in doubt.
func (d *Dispatcher) stopTasks(j *job) {
	for i := range j.tasks {
		if p := j.tasks[i].current; p != nil && p.inDoubtUntil.IsZero() && !p.stopRequested {
			d.stopPlacement(p)
		}
	}
}

func (d *Dispatcher) stopPlacement(p *placement) {
	p.stopRequested = true
	o := d.orderTo(p.agent)
	o.Stop = append(o.Stop, p.id)
	if before := p.job.stopEchoBefore; !before.IsZero() && (o.EchoBefore.IsZero() || before.Before(o.EchoBefore)) {
		o.EchoBefore = before
	}
}

// close stops the placements of a job that was answered or has no caller left.
func (d *Dispatcher) close(j *job) {
	j.answered = true
	d.openJobs.Remove(j)
	d.stopTasks(j)
	d.releaseIfEnded(j)
}

// releaseIfEnded removes a closed job once all its placements have ended. The duplicates that
// have arrived since its answer can be submitted then.
func (d *Dispatcher) releaseIfEnded(j *job) {
	if !j.answered || j.livePlacements > 0 || d.jobs[j.Name] != j {
		return
	}
	delete(d.jobs, j.Name)
	for _, next := range j.successors {
		d.assign(next.Call, nil)
		d.ready = append(d.ready, next)
	}
}

// placementEnded processes the final report on a placement.
func (d *Dispatcher) placementEnded(p *placement, r session.Report) {
	delete(d.placements, p.id)
	d.inDoubt.Remove(p)
	delete(d.suspects, p)
	delete(p.agent.unacknowledged, p.id)
	d.learnWait(p, r)
	j := p.job
	t := &j.tasks[p.index]
	j.livePlacements--
	if t.current == p {
		t.current = nil
	}
	if j.answered {
		d.releaseIfEnded(j)
		return
	}
	j.mayHaveRun = j.mayHaveRun || r.Outcome != session.NotStarted
	if j.abandonErr != nil {
		if j.livePlacements == 0 || j.mayHaveRun {
			d.answerAbandoned(j)
		}
		return
	}
	switch r.Outcome {
	case session.Done:
		t.done = true
		d.retries.Succeeded()
		j.unfinished--
		if j.unfinished == 0 {
			d.applyChanges(d.containment.Step(d.now, containment.JobCompleted{Queue: j.Queue.Name}))
			d.answer(j, Completed, "")
		}
		return
	case session.Failed:
		t.failures++
		t.avoidedAgents = append(t.avoidedAgents, p.agent.name)
		if t.failures >= max(j.Queue.Attempts, 1) {
			d.answer(j, Failed, fmt.Sprintf("task %d failed %d times", p.index, t.failures))
			return
		}
	default:
		if r.Outcome == session.NotStarted {
			d.countReturned()
		}
		t.avoidedAgents = append(t.avoidedAgents, p.agent.name)
		if r.Outcome == session.Lost && d.taskLost(j, p.index, r.Reason) {
			return
		}
	}
	d.reassign(j, p, r)
}

// takeRetry reports whether a task may be placed again after it was lost or not started. An entry
// that places more tasks again than it completes has no processor time for those that it could
// complete.
func (d *Dispatcher) takeRetry() bool {
	d.retries.RefillElapsed(d.now.Sub(d.retriesRefilled))
	d.retriesRefilled = d.now
	if d.retries.Take() {
		return true
	}
	d.emit(RetryMetrics{Denied: 1})
	return false
}

// reassign has a task placed again whose last placement has ended without success. If that is
// not possible, it holds or abandons the job.
func (d *Dispatcher) reassign(j *job, p *placement, r session.Report) {
	reason := r.Outcome.String() + ": " + r.Reason
	if j.tasks[p.index].placements >= maxPlacements {
		d.abandon(j, structs.CodeUnavailable, "task reached its limit of placements, last outcome "+reason)
		return
	}
	d.placeAgain(reassignment{
		job: j, index: p.index, agent: p.agent.name, reason: reason,
		retry: r.Outcome != session.Failed && !p.stopRequested && !p.recalled,
	})
}
