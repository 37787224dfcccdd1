package dispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

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
	d.updateGroup(j, plan)
	d.countPlacements(plan)
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
		d.notePlace(p, as)
		d.addToOrder(o, j, session.Placement{ID: p.id, Index: as.index, Attempt: t.placements}, max(d.maxWait(&as, t, startWithin), time.Millisecond), scale(j.Estimate, as.factor))
	}
	for _, call := range j.calls {
		d.watch(d.callers[call])
	}
}

// addToOrder adds a task to the part of the order that belongs to its job. With
// Scheduling.Spread, tasks of a job that may wait for different times are in different parts.
func (d *Dispatcher) addToOrder(o *Order, j *job, p session.Placement, startWithin, estimate time.Duration) {
	for i := range o.Start {
		if o.Start[i].Job == j.Name && (!d.opts.Scheduling.Spread || o.Start[i].StartWithin == startWithin) {
			o.Start[i].Tasks = append(o.Start[i].Tasks, p)
			return
		}
	}
	o.Start = append(o.Start, session.JobPart{
		Job: j.Name, Queue: j.Queue.Name, Spec: j.Spec, Service: j.Queue.Service, CPU: j.CPU, MemMB: j.MemMB, GPU: j.GPU,
		Estimate: estimate, Priority: int(j.rank), StartWithin: startWithin,
		RequiredLabel: j.RequiredLabel, MaxPerServer: j.MaxPerServer, ConfigVersion: j.ConfigVersion, Tasks: []session.Placement{p},
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
		Detail: fmt.Sprintf("tasks=%d uncertain=%d cpu=%d estimate_ms=%d expected_ms=%d objective_ms=%d target_ms=%d deadline_ms=%d waited_ms=%d%s to=%s", j.Tasks, uncertainTasks(plan), j.CPU,
			j.Estimate.Milliseconds(), lastFinish(plan).Milliseconds(), j.objective.Sub(j.arrived).Milliseconds(),
			j.target.Sub(j.arrived).Milliseconds(), j.deadline.Sub(j.arrived).Milliseconds(), d.now.Sub(j.arrived).Milliseconds(), d.spreadDetail(plan), to.String())})
}
