package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/places"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// Places: a job may name the rack that holds its data, or want all its tasks on one rack.
// Package places decides how long a wait for such a place pays; this file and group.go
// apply the decision to the agents' states.

// recallTime is how long it takes to recall a queued task and to order it elsewhere.
const recallTime = 2 * hopOverhead

// placementPlace is what was expected of a placement's wait.
type placementPlace struct {
	placedAt time.Time
	wait     time.Duration // expected
	forecast time.Duration // of the whole wait, when it was recalled
	factor   float64       // of the run time, see awayFactor
}

// runFactor returns the factor of the run time; one if none was recorded.
func (p *placementPlace) runFactor() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

// servesPlaces reports whether places are taken into account.
func (d *Dispatcher) servesPlaces() bool { return d.opts.Scheduling.Places && d.opts.FarFactor > 1 }

// wantsPlace reports whether a job has a place.
func (d *Dispatcher) wantsPlace(j *job) bool {
	return d.servesPlaces() && (j.Rack != "" || j.wantsOneRack())
}

// awayFactor returns how many times as long a task of the job takes at the agent as near
// its data and its group: one at its place.
func (d *Dispatcher) awayFactor(j *job, a *agent) float64 {
	factor := 1.0
	if !d.wantsPlace(j) {
		return factor
	}
	if j.Rack != "" && !slices.Contains(a.identity.Labels, j.Rack) {
		factor *= d.opts.FarFactor
	}
	if j.wantsOneRack() && j.groupPlaced() && j.group.isAway(a) {
		factor *= d.opts.FarFactor
	}
	return factor
}

func scale(t time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return t
	}
	return time.Duration(float64(t) * factor)
}

// choosePlace decides whether the tasks run at the place of their job. It returns the
// candidates that remain.
func (d *Dispatcher) choosePlace(j *job, tasks []int, candidates []*candidate, latest time.Time) []*candidate {
	if !d.wantsPlace(j) {
		return candidates
	}
	candidates = d.rotate(candidates)
	near, away := splitByPlace(candidates)
	mixed := candidates
	if j.wantsOneRack() && !j.groupPlaced() {
		near, away, mixed = d.bestRack(j, tasks, candidates), d.spread(candidates), nil
	}
	if len(near) == 0 {
		return away
	}
	if len(away) == 0 {
		return near
	}
	limits := places.Limits{Objective: j.objective.Sub(d.now), Latest: latest.Sub(d.now) - answerMargin}
	place := d.trial(j, tasks, near)
	if j.wantsOneRack() && j.groupPlaced() && place.End() <= limits.Latest {
		return near // off the rack, it would slow down all tasks of the group
	}
	choice := d.waits.Choose(d.now, places.Options{Place: place, Mixed: d.trial(j, tasks, mixed), Away: d.trial(j, tasks, away)}, limits)
	chosen := near
	switch choice.Where {
	case places.Mixed:
		chosen = mixed
	case places.Away:
		chosen = away
	}
	for _, c := range chosen {
		c.choice = &choice
	}
	return chosen
}

// rotate returns the candidates in an order of this entry's own, so that entries which see
// the same free servers do not all take the first of them.
func (d *Dispatcher) rotate(candidates []*candidate) []*candidate {
	first := int(uint64(d.opts.Incarnation) % uint64(len(candidates)))
	return slices.Concat(candidates[first:], candidates[:first])
}

// overtakenWithin returns within which time tasks of the agents' queues that must start by
// then start before the job's. A job with a place that has missed its objective is queued
// by its deadline.
func (d *Dispatcher) overtakenWithin(j *job) time.Duration {
	if d.wantsPlace(j) && d.now.After(j.objective) {
		return j.deadline.Sub(d.now)
	}
	return j.objective.Sub(d.now)
}

// trial plans the tasks on copies of the candidates and returns the option of the one
// that ends last.
func (d *Dispatcher) trial(j *job, tasks []int, candidates []*candidate) places.Option {
	copies := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		s := *c
		if s.timeline != nil {
			s.timeline = s.timeline.Clone()
		}
		copies = append(copies, &s)
	}
	var last places.Option
	var lastFinish time.Duration
	for range tasks {
		best, finish := d.pick(copies, j)
		if best == nil {
			return places.Option{Wait: places.Never}
		}
		if finish > lastFinish {
			last, lastFinish = best.option(finish), finish
		}
		best.reserve(j)
	}
	return last
}

// pick chooses the agent for one task: at the place of its job if it is sure to end in
// time there.
func (d *Dispatcher) pick(candidates []*candidate, j *job) (*candidate, time.Duration) {
	within := j.objective.Sub(d.now)
	if allAtOnePlace(candidates) {
		return d.choose(candidates, j, within)
	}
	near, away := splitByPlace(candidates)
	best, finish := pickCandidate(near, j, within)
	if best != nil && d.waits.InTime(d.now, best.option(finish), within) {
		return best, finish
	}
	if other, otherFinish := pickCandidate(away, j, within); other != nil {
		return other, otherFinish
	}
	return best, finish
}

// allAtOnePlace reports whether the candidates are all at the place of the job, or all
// away from it.
func allAtOnePlace(candidates []*candidate) bool {
	return !slices.ContainsFunc(candidates, func(c *candidate) bool { return c.factor > 1 != (candidates[0].factor > 1) })
}

func splitByPlace(candidates []*candidate) (near, away []*candidate) {
	for _, c := range candidates {
		if c.factor > 1 {
			away = append(away, c)
		} else {
			near = append(near, c)
		}
	}
	return near, away
}

// option describes the candidate to package places.
func (c *candidate) option(finish time.Duration) places.Option {
	return optionAt(c.agent, max(finish-c.runTime-c.overhead, 0), c.runTime, c.overhead)
}

func optionAt(a *agent, wait, runTime, overhead time.Duration) places.Option {
	return places.Option{Rack: rackOf(a), Wait: wait, Run: runTime, Overhead: overhead, Margin: finishMargin(runTime)}
}

// candidatesForReturn returns the candidates that decide when a refused job should be
// submitted again: those at its place if it could not end in time away from it, even
// without a wait.
func (d *Dispatcher) candidatesForReturn(j *job, candidates []*candidate) []*candidate {
	near, away := splitByPlace(candidates)
	latest := d.latestUsefulEnd(j).Sub(d.now)
	inTime := func(c *candidate) bool { return c.runTime+c.overhead+answerMargin <= latest }
	if len(near) > 0 && !slices.ContainsFunc(away, inTime) {
		return near
	}
	return candidates
}

// notePlace records what is expected of the placement.
func (d *Dispatcher) notePlace(p *placement, as assignment) {
	if !d.servesPlaces() {
		return
	}
	p.place = placementPlace{
		placedAt: d.now, wait: max(as.finish-as.runTime-as.agent.networkOverhead(d), 0), factor: as.factor,
	}
	if d.wantsPlace(p.job) {
		as.agent.recallable = append(as.agent.recallable, p)
	}
}

// learnWait records how long a placement that has ended waited for its start, or would
// have waited at least.
func (d *Dispatcher) learnWait(p *placement, r session.Report) {
	if p.place.placedAt.IsZero() {
		return
	}
	waited := d.now.Sub(p.place.placedAt) - r.Ran - p.agent.networkOverhead(d)
	switch {
	case r.Outcome == session.Done || r.Outcome == session.Failed:
	case r.Outcome == session.NotStarted && p.recalled:
		waited = p.place.forecast
	case r.Outcome == session.NotStarted && waited > p.place.wait:
	default:
		return
	}
	d.waits.Observe(d.now, rackOf(p.agent), p.place.wait, waited)
}

// recallWaiting recalls tasks of jobs that have a place from the agent's queue if their
// wait does not pay any more. A task that has been started meanwhile is not affected.
func (d *Dispatcher) recallWaiting(a *agent) {
	a.recallable = slices.DeleteFunc(a.recallable, func(p *placement) bool {
		return d.placements[p.id] != p || p.stopRequested || p.recalled || p.job.answered || p.job.abandonErr != nil
	})
	for _, p := range slices.Clone(a.recallable) {
		if p.job.tasks[p.index].moves < maxMoves {
			d.recallIfLong(a, p)
		}
	}
}

// recallIfLong recalls a task that is in the agent's queue if its wait does not pay.
func (d *Dispatcher) recallIfLong(a *agent, p *placement) {
	position := slices.IndexFunc(a.state.Queue, func(q session.QueuedTask) bool { return q.ID == p.id })
	if position < 0 {
		return // started, or the agent is of an earlier build
	}
	j := p.job
	before := func(i int, _ session.QueuedTask) bool { return i < position }
	forecast, ok := d.timelineAfter(a, before).EarliestStart(j.CPU)
	if !ok {
		return
	}
	t := &j.tasks[p.index]
	t.avoidedAgents = append(t.avoidedAgents, a.name)
	plan, err := d.plan(j, []int{p.index}, j.deadline)
	t.avoidedAgents = t.avoidedAgents[:len(t.avoidedAgents)-1]
	if err != nil || plan[0].agent == a {
		return
	}
	waiting := places.Waiting{
		Option: optionAt(a, p.place.wait, scale(d.expectedRunTime(a, j), p.place.factor), a.networkOverhead(d)),
		Waited: d.now.Sub(p.place.placedAt), Forecast: forecast,
	}
	to := plan[0].agent
	elsewhere := optionAt(to, max(plan[0].finish-plan[0].runTime-to.networkOverhead(d), 0), plan[0].runTime, to.networkOverhead(d))
	if !d.waits.GiveUp(d.now, waiting, elsewhere, recallTime, j.objective.Sub(d.now)) {
		return
	}
	t.moves++
	p.recalled = true
	p.place.forecast = waiting.Waited + forecast
	d.emit(LogEvent{Event: "wait_given_up", Job: j.Name, Queue: j.Queue.Name, Agent: a.name,
		Detail: fmt.Sprintf("task=%d rack=%s expected_wait_ms=%d waited_ms=%d forecast_ms=%d elsewhere_ms=%d to=%s", p.index, waiting.Rack,
			waiting.Wait.Milliseconds(), waiting.Waited.Milliseconds(), forecast.Milliseconds(), plan[0].finish.Milliseconds(), to.name)})
	d.emit(PlaceMetrics{GivenUp: 1})
	o := d.orderTo(a)
	o.Recall = append(o.Recall, p.id)
}

// logPlaces logs how many tasks of an admitted job wait at its place, and why.
func (d *Dispatcher) logPlaces(j *job, plan []assignment) {
	if !d.wantsPlace(j) {
		return
	}
	var kept, away int
	choice := places.Choice{Where: "only_choice"}
	for _, as := range plan {
		if as.factor > 1 {
			away++
		} else {
			kept++
		}
		if as.choice != nil {
			choice = *as.choice
		}
	}
	d.emit(PlaceMetrics{Kept: kept, Away: away})
	d.emit(LogEvent{Event: "place_chosen", Job: j.Name, Queue: j.Queue.Name,
		Detail: fmt.Sprintf("rack=%s one_rack=%t at_place=%d away=%d chosen=%s in_time=%t wait_ms=%d pays_ms=%d",
			j.Rack, j.OneRack, kept, away, choice.Where, choice.InTime, choice.Wait.Milliseconds(), choice.Bound.Milliseconds())})
}

// recordDemand records which place a submitted job wants.
func (d *Dispatcher) recordDemand(j *job) {
	if !d.wantsPlace(j) {
		return
	}
	if j.Rack != "" && d.placeDemand.Add(d.now, j.Rack) {
		d.emit(LogEvent{Event: "rack_wanted", Job: j.Name, Queue: j.Queue.Name,
			Detail: fmt.Sprintf("rack=%s servers=%d", j.Rack, d.serversOnRack(j.Rack))})
	}
	if j.wantsOneRack() {
		d.placeDemand.AddGroup(d.now)
	}
}

// serversOnRack returns the number of agents in session whose servers have the label.
func (d *Dispatcher) serversOnRack(rack string) int {
	n := 0
	for _, a := range d.sortedAgents {
		if slices.Contains(a.identity.Labels, rack) {
			n++
		}
	}
	return n
}

// WantedRacks returns the racks that jobs have wanted of late, the most wanted ones
// first, and whether jobs wanted any one rack for all their tasks.
func (d *Dispatcher) WantedRacks(now time.Time) (racks []string, groups bool) {
	return d.placeDemand.Racks(now), d.placeDemand.Groups(now)
}

// rackOf returns the rack of the agent's server. A server whose agent does not report it
// counts as a rack of its own.
func rackOf(a *agent) string {
	if a.identity.Rack != "" {
		return a.identity.Rack
	}
	return "server " + a.name
}
