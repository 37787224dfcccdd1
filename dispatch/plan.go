package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/timeline"
)

// assignment is the choice of an agent for a task.
type assignment struct {
	index  int
	agent  *agent
	finish time.Duration // expected, from now
	runs   time.Duration // expected run time
}

// candidate is an agent that may run tasks of a job.
type candidate struct {
	agent *agent
	line  *timeline.Timeline
	runs  time.Duration
	extra time.Duration // on the way
	taken int
	near  bool    // in this entry's availability zone
	free  float64 // share of the capacity that is free
}

// finish returns when another task of the size would end there.
func (c *candidate) finish(cpu int) (time.Duration, bool) {
	start, ok := c.line.EarliestStart(cpu)
	return start + c.runs + c.extra, ok
}

// room returns the free share of the candidate's capacity, weighted by what its
// use spares: bytes between zones, and copies of the job's text.
func (c *candidate) room() float64 {
	weight := 1.0
	if c.near {
		weight += nearWeight
	}
	if c.taken > 0 {
		weight += takenWeight
	}
	return c.free * weight
}

// margin returns the uncertainty of the candidate's finish.
func (c *candidate) margin() time.Duration {
	return sureMargin + time.Duration(sureShare*float64(c.runs))
}

// plan chooses an agent for each of the tasks, or says why the job cannot end by
// the latest time.
func (d *Dispatcher) plan(j *job, tasks []int, latest time.Time) ([]assignment, *structs.Error) {
	candidates := d.candidates(j, tasks)
	if len(candidates) == 0 {
		return nil, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "no agent of service %s takes orders", j.Queue.Service).
			WithRetryAfter(retryUnavailable)
	}
	plan := make([]assignment, 0, len(tasks))
	for _, index := range tasks {
		best, finish := pick(candidates, j, j.objective.Sub(d.now))
		if best == nil {
			return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "no server has room for a task of %d thousandths of a core", j.CPU).
				WithRetryAfter(d.retryAfter(j))
		}
		best.line.Reserve(j.CPU, best.runs)
		best.taken++
		best.free -= float64(j.CPU) / float64(best.agent.identity.Capacity)
		plan = append(plan, assignment{index: index, agent: best.agent, finish: finish, runs: best.runs})
	}
	last := slices.MaxFunc(plan, func(a, b assignment) int { return int(a.finish - b.finish) })
	if d.now.Add(last.finish + answerMargin).After(latest) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun,
			"expected to end in %d ms, too late after %d ms", last.finish.Milliseconds(), latest.Sub(d.now).Milliseconds()).
			WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}

// planNew plans a job that is not taken yet. It is refused if it cannot end while
// its answer is worth something, and if what waits already takes so long that
// another job would only delay the others beyond their use; not if there is room
// for it at once.
func (d *Dispatcher) planNew(j *job) ([]assignment, *structs.Error) {
	plan, err := d.plan(j, j.unplaced(), d.latestEnd(j))
	if err != nil {
		return nil, err
	}
	startsNow := func(as assignment) bool { return as.finish-as.runs-as.agent.extraFrom(d) <= 0 }
	if backlog := d.backlog(j); backlog > maxBacklog && !allOf(plan, startsNow) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "tasks that wait take %d ms, over %d ms",
			backlog.Milliseconds(), maxBacklog.Milliseconds()).WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}

func allOf(plan []assignment, match func(assignment) bool) bool {
	return !slices.ContainsFunc(plan, func(as assignment) bool { return !match(as) })
}

// backlog returns how long all servers that may run the job would work on what
// waits for them.
func (d *Dispatcher) backlog(j *job) time.Duration {
	var work, capacity float64 // thousandths of a core, times ms; thousandths of a core
	for _, a := range d.order {
		if !d.mayRun(a, j) || a.state.Failing >= failingShare {
			continue
		}
		capacity += float64(a.identity.Capacity)
		for _, q := range a.state.Queue {
			work += float64(q.CPU) * float64(q.Ms)
		}
	}
	if capacity == 0 {
		return 0
	}
	return time.Duration(work / capacity * float64(time.Millisecond))
}

// retryUnavailable is when to come back if no server is known: sessions and
// heartbeats are back in about two seconds.
const retryUnavailable = 2 * time.Second

// retryAfter returns when the job's service is expected to have room.
func (d *Dispatcher) retryAfter(j *job) time.Duration {
	wait := time.Second
	if c := d.candidates(j, nil); len(c) > 0 {
		if best, finish := pick(c, j, 0); best != nil {
			wait = max(wait, finish-best.runs)
		}
	}
	return wait
}

// pick chooses the agent for one task that must have ended within the time. While
// several are sure to make it, the one with the most room is taken, whatever its
// speed: fast servers are left to what needs them. Otherwise the one that would
// end first.
func pick(candidates []*candidate, j *job, within time.Duration) (*candidate, time.Duration) {
	var first, roomy *candidate
	var earliest, roomyFinish time.Duration
	for _, c := range candidates {
		if j.MaxPerServer > 0 && c.taken >= j.MaxPerServer {
			continue
		}
		f, ok := c.finish(j.CPU)
		if !ok {
			continue
		}
		if first == nil || f < earliest {
			first, earliest = c, f
		}
		if f+c.margin() <= within && (roomy == nil || c.room() > roomy.room()) {
			roomy, roomyFinish = c, f
		}
	}
	if roomy != nil {
		return roomy, roomyFinish
	}
	return first, earliest
}

// mayRun reports whether an agent is heard, and takes tasks such as the job's.
func (d *Dispatcher) mayRun(a *agent, j *job) bool {
	return a.state.Ready && d.now.Sub(a.stateAt) <= staleAfter &&
		a.identity.Service == j.Queue.Service && j.CPU <= a.identity.Capacity &&
		(j.RequiredLabel == "" || slices.Contains(a.identity.Labels, j.RequiredLabel))
}

// candidates returns the agents that may run the tasks. Agents that fail their
// tasks, or failed one of these, are left out while others are there.
func (d *Dispatcher) candidates(j *job, tasks []int) []*candidate {
	var sound, rest []*candidate
	for _, a := range d.order {
		if !d.mayRun(a, j) {
			continue
		}
		runs := d.expect(a, j.Estimate)
		c := &candidate{
			agent: a, line: d.timeline(a, d.notOvertaken(a, j.objective.Sub(d.now))), runs: runs, extra: hopOverhead,
			taken: d.tasksAt(j, a), near: a.zone == d.opts.Zone, free: a.freeShare(),
		}
		if !c.near {
			c.extra += crossZone
		}
		if a.state.Failing >= failingShare || avoids(j, tasks, a.name) {
			rest = append(rest, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}

// freeShare returns the free part of the capacity, less what is on its way.
func (a *agent) freeShare() float64 {
	free := a.state.FreeCPU
	for _, p := range a.pending {
		free -= p.job.CPU
	}
	for _, q := range a.state.Queue {
		free -= q.CPU
	}
	return float64(free) / float64(a.identity.Capacity)
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

func avoids(j *job, tasks []int, name string) bool {
	for _, i := range tasks {
		if slices.Contains(j.tasks[i].avoid, name) {
			return true
		}
	}
	return false
}

// limitFor returns by when the planned tasks are to end: with the objective if
// they can, else while the answer is worth something, else before the caller
// goes. What waits at an agent is started in the order of these.
func (d *Dispatcher) limitFor(j *job, plan []assignment) time.Time {
	var last time.Duration
	for _, as := range plan {
		last = max(last, as.finish)
	}
	for _, limit := range []time.Time{j.objective, d.latestEnd(j)} {
		if !d.now.Add(last).After(limit) {
			return limit
		}
	}
	return j.deadline
}

// carryOut orders the planned tasks.
func (d *Dispatcher) carryOut(j *job, plan []assignment) {
	limit := d.limitFor(j, plan)
	for _, as := range plan {
		t := &j.tasks[as.index]
		t.placed++
		d.lastID++
		o := d.orderTo(as.agent)
		p := &placement{id: d.lastID, job: j, index: as.index, agent: as.agent, number: o.Number}
		t.current = p
		d.placements[p.id] = p
		as.agent.pending[p.id] = p
		j.live++
		within := limit.Sub(d.now) - as.runs - as.agent.extraFrom(d)
		addToOrder(o, j, session.Placement{ID: p.id, Index: as.index, Attempt: t.placed}, max(within, time.Millisecond))
	}
}

func (a *agent) extraFrom(d *Dispatcher) time.Duration {
	if a.zone != d.opts.Zone {
		return hopOverhead + crossZone
	}
	return hopOverhead
}

// addToOrder adds a task to the part of its job.
func addToOrder(o *Order, j *job, p session.Placement, within time.Duration) {
	for i := range o.Start {
		if o.Start[i].Job == j.Name {
			o.Start[i].Tasks = append(o.Start[i].Tasks, p)
			return
		}
	}
	o.Start = append(o.Start, session.JobPart{
		Job: j.Name, Spec: j.Spec, Service: j.Queue.Service, CPU: j.CPU, MemMB: j.MemMB, GPU: j.GPU,
		Estimate: j.Estimate, StartWithin: within, Tasks: []session.Placement{p},
	})
}

func (d *Dispatcher) logPlan(event string, j *job, plan []assignment) {
	var to strings.Builder
	var last time.Duration
	for i, as := range plan {
		if i > 0 {
			to.WriteByte(',')
		}
		to.WriteString(as.agent.name)
		last = max(last, as.finish)
	}
	d.emit(LogEvent{Event: event, Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("tasks=%d cpu=%d estimate_ms=%d expected_ms=%d objective_ms=%d deadline_ms=%d to=%s", j.Tasks, j.CPU,
			j.Estimate.Milliseconds(), last.Milliseconds(), j.objective.Sub(j.arrived).Milliseconds(), j.deadline.Sub(j.arrived).Milliseconds(), to.String())})
}
