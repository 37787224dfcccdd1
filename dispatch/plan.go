package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// assignment is a task of a job with the agent chosen for it.
type assignment struct {
	index   int
	agent   *agent
	finish  time.Duration // expected time from now to the end
	runTime time.Duration // expected run time
}

// candidate is an agent that may run tasks of a job.
type candidate struct {
	agent     *agent
	timeline  *capacity.Timeline
	runTime   time.Duration
	overhead  time.Duration // expected time besides the work, see hopOverhead
	jobTasks  int           // tasks of the job placed there
	sameZone  bool          // in this entry's availability zone
	freeShare float64       // see agent.unreservedShare, less the tasks planned so far
}

// finish returns the expected time from now to the end of another task of the
// given size. It reports false if the task never fits.
func (c *candidate) finish(cpu int) (time.Duration, bool) {
	start, ok := c.timeline.EarliestStart(cpu)
	return start + c.runTime + c.overhead, ok
}

// weightedFreeShare returns the free share of the candidate's capacity, weighted
// by what its choice saves: traffic between zones, and copies of the job's spec.
func (c *candidate) weightedFreeShare() float64 {
	weight := 1.0
	if c.sameZone {
		weight += sameZoneWeight
	}
	if c.jobTasks > 0 {
		weight += sameJobWeight
	}
	return c.freeShare * weight
}

// finishMargin returns the uncertainty of the candidate's finish.
func (c *candidate) finishMargin() time.Duration {
	return minFinishMargin + time.Duration(finishMarginShare*float64(c.runTime))
}

// plan chooses an agent for each of the tasks. It returns an error if there is a
// task that no agent can take, or if the job is not expected to end by the latest
// time.
func (d *Dispatcher) plan(j *job, tasks []int, latest time.Time) ([]assignment, *structs.Error) {
	limits := d.limitsOf(j, tasks)
	plan, err := d.planWithin(j, tasks, latest, &limits)
	if limits.confined || limits.allowed == nil && limits.avoided == nil {
		return plan, err
	}
	unlimited, unlimitedErr := d.planWithin(j, tasks, latest, &placementLimits{})
	if err != nil || unlimitedErr == nil && lastFinish(plan) > lastFinish(unlimited)+maxLimitDelay {
		return unlimited, unlimitedErr
	}
	return plan, nil
}

// lastFinish returns the expected time until the last of the planned tasks ends.
func lastFinish(plan []assignment) time.Duration {
	var last time.Duration
	for _, as := range plan {
		last = max(last, as.finish)
	}
	return last
}

// planWithin is plan for given limits.
func (d *Dispatcher) planWithin(j *job, tasks []int, latest time.Time, limits *placementLimits) ([]assignment, *structs.Error) {
	candidates := d.candidates(j, tasks, limits)
	if len(candidates) == 0 && limits.confined {
		return nil, d.confinedError(j, limits)
	}
	if len(candidates) == 0 {
		return nil, d.noCandidateError(j)
	}
	plan := make([]assignment, 0, len(tasks))
	for _, index := range tasks {
		best, finish := pickCandidate(candidates, j, j.objective.Sub(d.now))
		if best == nil {
			return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "no server can take another task of %d thousandths of a core", j.CPU).
				WithRetryAfter(d.retryAfter(j))
		}
		best.timeline.Reserve(j.CPU, best.runTime)
		best.jobTasks++
		best.freeShare -= float64(j.CPU) / float64(max(best.agent.identity.Capacity, 1))
		plan = append(plan, assignment{index: index, agent: best.agent, finish: finish, runTime: best.runTime})
	}
	last := lastFinish(plan)
	if d.now.Add(last + answerMargin).After(latest) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun,
			"expected to end in %d ms, over the limit of %d ms", last.Milliseconds(), latest.Sub(d.now).Milliseconds()).
			WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}

// noCandidateError returns why no agent can run the job. The job is unsuitable, and
// need not be held, if agents of its service are ready and none is large enough or
// has the required label.
func (d *Dispatcher) noCandidateError(j *job) *structs.Error {
	ofService := func(a *agent) bool { return d.isReady(a) && a.identity.Service == j.Queue.Service }
	shrunk := func(a *agent) bool { return ofService(a) && !fits(j, &a.identity) && fits(j, &a.largest) }
	if slices.ContainsFunc(d.sortedAgents, shrunk) {
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "the servers of service %s that had %d thousandths of a core, %d MB and %d GPUs have shrunk",
			j.Queue.Service, j.CPU, j.MemMB, j.GPU).WithRetryAfter(unavailableRetryAfter)
	}
	if slices.ContainsFunc(d.sortedAgents, ofService) {
		retryAfter := unsuitableRetryAfter
		if j.RequiredLabel != "" {
			retryAfter = unavailableRetryAfter // a server with the label may be in the subset of another entry
		}
		return structs.Errorf(structs.CodeRejected, structs.NotRun, "no server of service %s has %d thousandths of a core, %d MB, %d GPUs and the label %q",
			j.Queue.Service, j.CPU, j.MemMB, j.GPU, j.RequiredLabel).WithRetryAfter(retryAfter)
	}
	return structs.Errorf(structs.CodeUnavailable, structs.NotRun, "no agent of service %s can run the job now", j.Queue.Service).
		WithRetryAfter(unavailableRetryAfter)
}

// planNew plans a job that is not admitted yet. It returns an error if the job is
// not expected to end while its answer is useful. Unless all its tasks can start
// at once, it also returns an error if the backlog exceeds maxBacklog, because
// another job would then delay the queued ones until their answers are useless.
func (d *Dispatcher) planNew(j *job) ([]assignment, *structs.Error) {
	plan, err := d.plan(j, j.unplaced(), d.latestUsefulEnd(j))
	if err != nil {
		return nil, err
	}
	startsNow := func(as assignment) bool { return as.finish-as.runTime-as.agent.networkOverhead(d) <= 0 }
	if backlog := d.backlog(j); backlog > maxBacklog && !all(plan, startsNow) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "queued tasks need %d ms, over the limit of %d ms",
			backlog.Milliseconds(), maxBacklog.Milliseconds()).WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}

func all(plan []assignment, match func(assignment) bool) bool {
	return !slices.ContainsFunc(plan, func(as assignment) bool { return !match(as) })
}

// backlog returns how long all servers that may run the job need together for
// their queued tasks.
func (d *Dispatcher) backlog(j *job) time.Duration {
	limits := d.limitsOf(j, nil)
	if !limits.confined {
		limits = placementLimits{}
	}
	var work, cpu float64 // work in thousandths of a core times ms, cpu in thousandths of a core
	for _, a := range d.sortedAgents {
		if !d.eligible(a, j) || a.state.Failing >= failingThreshold || !limits.permits(a.name) {
			continue
		}
		cpu += float64(a.identity.Capacity)
		for _, q := range a.state.Queue {
			work += float64(q.CPU) * float64(q.Ms)
		}
	}
	if cpu == 0 {
		return 0
	}
	return time.Duration(work / cpu * float64(time.Millisecond))
}

// unsuitableRetryAfter is the retry hint for a job that fits no server: it may only
// fit after the service was changed.
const unsuitableRetryAfter = 30 * time.Second

// unavailableRetryAfter is the retry hint while no agent is available: sessions
// and heartbeats are restored in about two seconds.
const unavailableRetryAfter = 2 * time.Second

// retryAfter returns the expected time until the job's service has free capacity,
// at least one second.
func (d *Dispatcher) retryAfter(j *job) time.Duration {
	wait := time.Second
	limits := d.limitsOf(j, nil)
	if c := d.candidates(j, nil, &limits); len(c) > 0 {
		if best, finish := pickCandidate(c, j, 0); best != nil {
			wait = max(wait, finish-best.runTime)
		}
	}
	return wait
}

// pickCandidate chooses the agent for one task that should end within the given
// time. Of the candidates that are expected to end it at least finishMargin
// before that, it prefers the one with the most weighted free capacity, whatever
// its speed, so that fast servers stay free for tasks that need them. If there is
// none, it chooses the candidate that would end the task first.
func pickCandidate(candidates []*candidate, j *job, within time.Duration) (*candidate, time.Duration) {
	var earliest, preferred *candidate
	var earliestFinish, preferredFinish time.Duration
	for _, c := range candidates {
		if j.MaxPerServer > 0 && c.jobTasks >= j.MaxPerServer {
			continue
		}
		finish, ok := c.finish(j.CPU)
		if !ok {
			continue
		}
		if earliest == nil || finish < earliestFinish {
			earliest, earliestFinish = c, finish
		}
		if finish+c.finishMargin() <= within && (preferred == nil || c.weightedFreeShare() > preferred.weightedFreeShare()) {
			preferred, preferredFinish = c, finish
		}
	}
	if preferred != nil {
		return preferred, preferredFinish
	}
	return earliest, earliestFinish
}

// fits reports whether a task of the job fits an idle server. Agents of earlier
// builds state the processor capacity only.
func fits(j *job, id *session.Identity) bool {
	return j.CPU <= id.Capacity && (id.MemMB == 0 || j.MemMB <= id.MemMB && j.GPU <= id.GPU)
}

// isReady reports whether an agent accepts tasks by a recent state.
func (d *Dispatcher) isReady(a *agent) bool {
	return a.state.Ready && d.now.Sub(a.stateReceivedAt) <= staleAfter
}

// eligible reports whether an agent is ready by a recent state, and its server is
// of the job's service, is large enough for a task and has the required label.
func (d *Dispatcher) eligible(a *agent, j *job) bool {
	return d.isReady(a) &&
		a.identity.Service == j.Queue.Service && fits(j, &a.identity) &&
		(j.RequiredLabel == "" || slices.Contains(a.identity.Labels, j.RequiredLabel))
}

// candidates returns the agents that may run the tasks. Agents whose tasks often
// fail, and those that one of the tasks avoids, are used only if there is no
// other.
func (d *Dispatcher) candidates(j *job, tasks []int, limits *placementLimits) []*candidate {
	var healthy, fallback []*candidate
	for _, a := range d.sortedAgents {
		if !d.eligible(a, j) || !limits.permits(a.name) {
			continue
		}
		runTime := d.expectedRunTime(a, j.Estimate)
		c := &candidate{
			agent: a, timeline: d.capacityTimeline(a, d.queuedAhead(a, j.objective.Sub(d.now))), runTime: runTime, overhead: hopOverhead,
			jobTasks: d.tasksAt(j, a), sameZone: a.zone == d.opts.Zone, freeShare: a.unreservedShare(),
		}
		if !c.sameZone {
			c.overhead += crossZoneOverhead
		}
		if a.state.Failing >= failingThreshold || avoidsAgent(j, tasks, a.name) {
			fallback = append(fallback, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return fallback
}

// unreservedShare returns the share of the capacity that is neither in use nor
// needed by queued tasks and unacknowledged placements.
func (a *agent) unreservedShare() float64 {
	free := a.state.FreeCPU
	for _, p := range a.unacknowledged {
		free -= p.job.CPU
	}
	for _, q := range a.state.Queue {
		free -= q.CPU
	}
	return float64(free) / float64(max(a.identity.Capacity, 1))
}

func (d *Dispatcher) tasksAt(j *job, a *agent) int {
	n := 0
	for i := range j.tasks {
		if p := j.tasks[i].current; p != nil && p.agent == a {
			n++
		}
	}
	return n
}

func avoidsAgent(j *job, tasks []int, name string) bool {
	for _, i := range tasks {
		if slices.Contains(j.tasks[i].avoidedAgents, name) {
			return true
		}
	}
	return false
}

// completionLimit returns by when the planned tasks must end: by the job's target if
// they can, else while the answer is useful, else by the job's deadline. Agents
// start queued tasks in the order of the latest starts that follow from it.
func (d *Dispatcher) completionLimit(j *job, plan []assignment) time.Time {
	last := lastFinish(plan)
	for _, limit := range []time.Time{j.target, d.latestUsefulEnd(j)} {
		if !d.now.Add(last).After(limit) {
			return limit
		}
	}
	return j.deadline
}

// place adds the planned tasks to the orders to their agents.
func (d *Dispatcher) place(j *job, plan []assignment) {
	limit := d.completionLimit(j, plan)
	for _, as := range plan {
		t := &j.tasks[as.index]
		t.placements++
		d.lastPlacementID++
		o := d.orderTo(as.agent)
		p := &placement{id: d.lastPlacementID, job: j, index: as.index, agent: as.agent, orderNumber: o.Number}
		t.current = p
		d.placements[p.id] = p
		if d.isSuspect(j, []int{as.index}) {
			d.suspects[p] = true
		}
		as.agent.unacknowledged[p.id] = p
		j.livePlacements++
		startWithin := limit.Sub(d.now) - as.runTime - as.agent.networkOverhead(d)
		addToOrder(o, j, session.Placement{ID: p.id, Index: as.index, Attempt: t.placements}, max(startWithin, time.Millisecond))
	}
}

func (a *agent) networkOverhead(d *Dispatcher) time.Duration {
	if a.zone != d.opts.Zone {
		return hopOverhead + crossZoneOverhead
	}
	return hopOverhead
}

// addToOrder adds a task to the part of the order that belongs to its job.
func addToOrder(o *Order, j *job, p session.Placement, startWithin time.Duration) {
	for i := range o.Start {
		if o.Start[i].Job == j.Name {
			o.Start[i].Tasks = append(o.Start[i].Tasks, p)
			return
		}
	}
	o.Start = append(o.Start, session.JobPart{
		Job: j.Name, Queue: j.Queue.Name, Spec: j.Spec, Service: j.Queue.Service, CPU: j.CPU, MemMB: j.MemMB, GPU: j.GPU,
		Estimate: j.Estimate, StartWithin: startWithin, Tasks: []session.Placement{p},
	})
}

func (d *Dispatcher) logPlan(event string, j *job, plan []assignment) {
	var to strings.Builder
	for i, as := range plan {
		if i > 0 {
			to.WriteByte(',')
		}
		to.WriteString(as.agent.name)
	}
	d.emit(LogEvent{Event: event, Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("tasks=%d cpu=%d estimate_ms=%d expected_ms=%d objective_ms=%d target_ms=%d deadline_ms=%d to=%s", j.Tasks, j.CPU,
			j.Estimate.Milliseconds(), lastFinish(plan).Milliseconds(), j.objective.Sub(j.arrived).Milliseconds(),
			j.target.Sub(j.arrived).Milliseconds(), j.deadline.Sub(j.arrived).Milliseconds(), to.String())})
}
