package dispatch

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/shares"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxReturnTime bounds the hint when a refused caller should come back. Surges are over by
// then, and the queue's share is another one.
const maxReturnTime = 15 * time.Second

// Outcomes of ShareMetrics.
const (
	shareOwed      = "owed"      // admitted ahead of others, because the queue or its large jobs were owed capacity
	shareExceeds   = "exceeds"   // refused: the queue has got more than its allotment
	shareDisplaces = "displaces" // refused: jobs that were admitted before would miss their objective
	shareLate      = "late"      // refused: would be late while the servers are saturated
	shareFull      = "full"      // refused: would end when its answer is of no use
)

// serviceShares is what the entry knows of the demand for one service's capacity.
type serviceShares struct {
	ledger   shares.Ledger
	pressure shares.Pressure
	returns  map[int]*quota.RetrySchedule // of refused jobs, by priority
}

// sharesOf returns the shares of the job's service.
func (d *Dispatcher) sharesOf(j *job) *serviceShares {
	s := d.shares[j.Queue.Service]
	if s == nil {
		s = &serviceShares{returns: make(map[int]*quota.RetrySchedule)}
		d.shares[j.Queue.Service] = s
	}
	return s
}

// demand returns what the job asks for on servers of reference speed.
func (j *job) demand() shares.Demand {
	return shares.Demand{
		Queue: j.Queue.Name, Priority: j.Queue.Priority, Tasks: j.Tasks,
		Work: float64(j.Tasks) * float64(j.CPU) / 1000 * j.Estimate.Seconds(),
	}
}

// planByShare plans a job that is not admitted yet, and refuses it if its queue's share of
// the capacity leaves no room for it: see package shares.
func (d *Dispatcher) planByShare(j *job) ([]assignment, *structs.Error) {
	demand, s := j.demand(), d.sharesOf(j)
	if free, ok := d.freeShare(func(a *agent) bool { return a.identity.Service == j.Queue.Service }); ok {
		s.pressure.Observe(d.now, free)
	}
	owed := s.pressure.Saturated() && s.ledger.Owes(d.now, demand)
	s.ledger.Ask(d.now, demand)
	j.rank = shares.Owed
	if !owed {
		j.rank = shares.RankOf(j.Queue.Priority, d.returnsOf(j).IsDue(d.now, returnKey(j)), s.ledger.Surplus(d.now, demand.Queue))
	}
	plan, err := d.plan(j, j.unplaced(), d.latestUsefulEnd(j))
	if err != nil || !d.onTime(j, plan) {
		s.ledger.ExpectLate(d.now, demand)
	}
	limit := shareFull
	if err == nil {
		plan, limit, err = d.withinShare(j, plan, owed)
	}
	if err != nil && err.Code == structs.CodeOverloaded {
		if free := d.planOnFree(j); free != nil {
			plan, err = free, nil
		} else {
			d.recordShare(j, limit)
			err = err.WithRetryAfter(d.returnAfter(j, err.RetryAfter))
		}
	}
	if err != nil {
		return nil, err
	}
	d.returnsOf(j).Consume(d.now, returnKey(j))
	s.ledger.Serve(d.now, demand)
	if owed {
		d.recordShare(j, shareOwed)
	}
	return plan, nil
}

// withinShare returns the plan, or another one for the same job, if the queue's share
// leaves room for it; otherwise the limit that stands in the way. While the servers are not
// saturated, capacity is lent to whoever asks, and what can start at once is never
// refused. Otherwise a job is refused if its queue exceeds its allotment; if capacity is
// short and it would end after its objective, because it would take the capacity from jobs
// that can still end in time, until all end late; or if the agents' queues are long and it
// would make admitted jobs late.
func (d *Dispatcher) withinShare(j *job, plan []assignment, owed bool) (within []assignment, limit string, err *structs.Error) {
	s := d.sharesOf(j)
	if d.startsNow(plan) {
		return plan, "", nil
	}
	late := !d.onTime(j, plan)
	if s.pressure.Saturated() {
		if !owed && s.ledger.Exceeds(d.now, j.Queue.Name) {
			return nil, shareExceeds, d.shareError(j, shareExceeds, "the queue has got its share of the capacity")
		}
		if late && s.ledger.Short(d.now) {
			return nil, shareLate, d.shareError(j, shareLate, fmt.Sprintf("expected to end in %d ms, after its objective, while no capacity is free", lastFinish(plan).Milliseconds()))
		}
	}
	backlog := d.backlog(j)
	if backlog <= maxBacklog {
		return plan, "", nil
	}
	if !late {
		if plan = d.withoutDisplacing(j, plan); plan != nil {
			return plan, "", nil
		}
	}
	return nil, shareDisplaces, d.shareError(j, shareDisplaces, fmt.Sprintf("queued tasks up to rank %d need %d ms, over the limit of %d ms, and would be late",
		j.rank, backlog.Milliseconds(), maxBacklog.Milliseconds()))
}

// startsNow reports whether all tasks of the plan can start at once.
func (d *Dispatcher) startsNow(plan []assignment) bool {
	return all(plan, func(as assignment) bool { return as.startsNow(d) })
}

// planOnFree plans a job on servers with free capacity only; nil if there is not enough.
// These may be slow ones, on which it ends late.
func (d *Dispatcher) planOnFree(j *job) []assignment {
	if !d.unlimited(j) {
		return nil
	}
	var busy []string
	for _, a := range d.sortedAgents {
		if a.unreservedShare()*float64(a.identity.Capacity) < float64(j.CPU) {
			busy = append(busy, a.name)
		}
	}
	if len(busy) == len(d.sortedAgents) {
		return nil
	}
	plan, err := d.planWithin(j, j.unplaced(), d.latestUsefulEnd(j), &placementLimits{avoided: busy})
	if err != nil || !d.startsNow(plan) {
		return nil
	}
	return plan
}

// withoutDisplacing returns the plan, or another one that meets the objective, if it makes
// no queued task late; nil if there is none.
func (d *Dispatcher) withoutDisplacing(j *job, plan []assignment) []assignment {
	full := d.displacing(j, plan)
	if len(full) == 0 {
		return plan
	}
	if !d.unlimited(j) {
		return nil
	}
	other, err := d.planWithin(j, j.unplaced(), j.objective, &placementLimits{avoided: full})
	if err != nil || len(d.displacing(j, other)) > 0 {
		return nil
	}
	return other
}

// shareError refuses a job because of the named limit.
func (d *Dispatcher) shareError(j *job, limit, reason string) *structs.Error {
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "limit %s of queue %s: %s", limit, j.Queue.Name, reason).WithRetryAfter(d.retryAfter(j))
}

// unlimited reports whether the job may be placed on all servers.
func (d *Dispatcher) unlimited(j *job) bool {
	l := d.limitsOf(j, nil)
	return !l.confined && l.allowed == nil && l.avoided == nil
}

func (d *Dispatcher) onTime(j *job, plan []assignment) bool {
	return !d.now.Add(lastFinish(plan) + answerMargin).After(j.objective)
}

// overtaken reports whether a queued task gives way to the job.
func (j *job) overtaken(q session.QueuedTask) bool { return shares.Rank(q.Priority) > j.rank }

// displacing returns the agents at which the plan would make a queued task up to the job's
// rank miss its latest start.
func (d *Dispatcher) displacing(j *job, plan []assignment) []string {
	none := func(session.QueuedTask) bool { return false }
	added := make(map[*agent][]shares.Waiting)
	for _, as := range plan {
		within := j.objective.Sub(d.now) - as.runTime - as.agent.networkOverhead(d)
		added[as.agent] = append(added[as.agent], shares.Waiting{Rank: j.rank, CPU: j.CPU, RunTime: as.runTime, Within: within})
	}
	var names []string
	for _, a := range d.sortedAgents {
		if added[a] == nil {
			continue
		}
		forecast := func() *capacity.Timeline { return d.capacityTimeline(a, none) }
		if shares.Displaced(d.waitingUpTo(a, j.rank), added[a], forecast) > 0 {
			names = append(names, a.name)
		}
	}
	return names
}

// waitingUpTo returns the agent's queued tasks up to a rank.
func (d *Dispatcher) waitingUpTo(a *agent, rank shares.Rank) []shares.Waiting {
	age := d.now.Sub(a.stateAsOf)
	var list []shares.Waiting
	for _, q := range a.state.Queue {
		if r := shares.Rank(q.Priority); r <= rank {
			list = append(list, shares.Waiting{
				Rank: r, CPU: q.CPU, RunTime: time.Duration(q.Ms) * time.Millisecond, Within: time.Duration(q.StartWithin)*time.Millisecond - age,
			})
		}
	}
	return list
}

// returnsOf returns the schedule of the refused jobs of the same priority.
func (d *Dispatcher) returnsOf(j *job) *quota.RetrySchedule {
	returns := d.sharesOf(j).returns
	if returns[j.Queue.Priority] == nil {
		returns[j.Queue.Priority] = quota.NewRetrySchedule()
	}
	return returns[j.Queue.Priority]
}

// returnAfter returns when a refused caller should come back: when there is room, and
// after those refused before, at the rate at which the queue is served here, or by the
// capacity of the service if nothing of it was served. It is rounded up, because callers
// get whole seconds.
func (d *Dispatcher) returnAfter(j *job, earliest time.Duration) time.Duration {
	cores := d.sharesOf(j).ledger.Served(d.now, j.Queue.Name)
	if cores == 0 {
		cores = d.coresOf(j.Queue.Service)
	}
	perTask := time.Duration(j.demand().Work / float64(max(j.Tasks, 1)) / max(cores, 1) * float64(time.Second))
	at := d.now.Add((earliest + time.Second - 1).Truncate(time.Second))
	wait := d.returnsOf(j).Assign(d.now, returnKey(j), j.Tasks, at, perTask).Sub(d.now)
	return max(min(wait, maxReturnTime), earliest)
}

// coresOf returns the capacity of a service's servers.
func (d *Dispatcher) coresOf(service string) float64 {
	cores := 0.0
	for _, a := range d.sortedAgents {
		if d.isReady(a) && a.identity.Service == service {
			cores += float64(a.identity.Capacity) / 1000
		}
	}
	return cores
}

// returnKey identifies a job among those that were told when to come back.
func returnKey(j *job) quota.Key {
	h := fnv.New128a()
	h.Write([]byte(j.Name))
	return quota.Key(h.Sum(nil))
}

func (d *Dispatcher) recordShare(j *job, outcome string) {
	d.emit(ShareMetrics{Queue: j.Queue.Name, Outcome: outcome})
	if outcome == shareOwed {
		d.emit(LogEvent{Event: "job_owed", Job: j.Name, Queue: j.Queue.Name, Detail: fmt.Sprintf("tasks=%d priority=%d free_share=%.3f", j.Tasks, j.Queue.Priority, d.sharesOf(j).pressure.Free())})
	}
}
