package dispatch

import (
	"fmt"
	"hash/fnv"
	"slices"
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
	shareOvertook  = "overtook"  // taken ahead of queued tasks of higher ranks
	shareOwed      = "owed"      // taken because the queue is below its floor
	shareDisplaces = "displaces" // refused: admitted jobs would miss their objective
	shareFull      = "full"      // refused: would end too late
)

// work returns the core-seconds that the job needs on servers of reference speed.
func (j *job) work() float64 {
	return float64(j.Tasks) * float64(j.CPU) / 1000 * j.Estimate.Seconds()
}

// planByShare plans a job that is not admitted yet by its rank: see package shares. A job
// of a queue that gets less than its floor goes ahead of all others.
func (d *Dispatcher) planByShare(j *job) ([]assignment, *structs.Error) {
	queue := j.Queue.Name
	d.ledger.Ask(d.now, queue, j.work())
	returned := d.returnsOf(j).IsDue(d.now, returnKey(j))
	j.rank = shares.RankOf(j.Queue.Priority, returned, d.ledger.Surplus(d.now, queue))
	plan, err := d.planAtRank(j)
	if err != nil && err.Code == structs.CodeOverloaded && d.ledger.Owes(d.now, queue) {
		j.rank = shares.Owed
		plan, err = d.planAtRank(j)
		if err == nil {
			d.recordShare(j, shareOwed)
		}
	}
	if err != nil {
		if err.Code == structs.CodeOverloaded {
			err = err.WithRetryAfter(d.returnAfter(j, err.RetryAfter))
		}
		return nil, err
	}
	d.returnsOf(j).Consume(d.now, returnKey(j))
	d.ledger.Serve(d.now, queue, j.work())
	return plan, nil
}

// planAtRank plans a job behind all queued tasks that have to start before its own, or
// ahead of those of higher ranks if it would be late otherwise.
func (d *Dispatcher) planAtRank(j *job) ([]assignment, *structs.Error) {
	plan, err := d.plan(j, j.unplaced(), d.latestUsefulEnd(j))
	if (err != nil || !d.onTime(j, plan)) && d.mayOvertake(j) {
		j.overtakes = true
		ahead, aheadErr := d.plan(j, j.unplaced(), d.latestUsefulEnd(j))
		j.overtakes = false
		if aheadErr == nil && (err != nil || lastFinish(ahead) < lastFinish(plan)) {
			plan, err = ahead, nil
			d.recordShare(j, shareOvertook)
		}
	}
	if err != nil {
		d.recordShare(j, shareFull)
		return nil, err
	}
	return d.withinShare(j, plan)
}

// withinShare returns the plan, or another one, if what is queued up to the job's rank
// leaves room for it: there is a free slot for each task, or all that is queued ends soon,
// or the job meets its objective and no task that was admitted before becomes late.
func (d *Dispatcher) withinShare(j *job, plan []assignment) ([]assignment, *structs.Error) {
	startsNow := func(as assignment) bool { return as.finish-as.runTime-as.agent.networkOverhead(d) <= 0 }
	backlog := d.backlog(j)
	if backlog <= maxBacklog || all(plan, startsNow) {
		return plan, nil
	}
	displaced := 0
	if d.onTime(j, plan) {
		var full []string
		if displaced, full = d.displaced(j, plan); displaced == 0 {
			return plan, nil
		}
		if other, err := d.planWithin(j, j.unplaced(), j.objective, &placementLimits{avoided: full}); err == nil && d.unlimited(j) {
			if n, _ := d.displaced(j, other); n == 0 {
				return other, nil
			}
		}
	}
	d.recordShare(j, shareDisplaces)
	return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "queued tasks up to rank %d need %d ms, over the limit of %d ms, and %d of them would be late",
		j.rank, backlog.Milliseconds(), maxBacklog.Milliseconds(), displaced).WithRetryAfter(d.retryAfter(j))
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

// notOvertaken restricts a filter of queued tasks to those that do not give way to the
// job while it overtakes.
func notOvertaken(j *job, isAhead func(session.QueuedTask) bool) func(session.QueuedTask) bool {
	if !j.overtakes {
		return isAhead
	}
	return func(q session.QueuedTask) bool { return !j.overtaken(q) && isAhead(q) }
}

func (d *Dispatcher) mayOvertake(j *job) bool {
	return slices.ContainsFunc(d.sortedAgents, func(a *agent) bool {
		return d.eligible(a, j) && slices.ContainsFunc(a.state.Queue, j.overtaken)
	})
}

// displaced returns how many queued tasks up to the job's rank would miss their latest
// starts because of the plan, and the names of their agents.
func (d *Dispatcher) displaced(j *job, plan []assignment) (int, []string) {
	none := func(session.QueuedTask) bool { return false }
	added := make(map[*agent][]shares.Waiting)
	for _, as := range plan {
		within := j.objective.Sub(d.now) - as.runTime - as.agent.networkOverhead(d)
		added[as.agent] = append(added[as.agent], shares.Waiting{Rank: j.rank, CPU: j.CPU, RunTime: as.runTime, Within: within})
	}
	total := 0
	var names []string
	for _, a := range d.sortedAgents {
		if added[a] == nil {
			continue
		}
		forecast := func() *capacity.Timeline { return d.capacityTimeline(a, none) }
		if n := shares.Displaced(d.waitingUpTo(a, j.rank), added[a], forecast); n > 0 {
			total += n
			names = append(names, a.name)
		}
	}
	return total, names
}

// waitingUpTo returns the agent's queued tasks up to a rank.
func (d *Dispatcher) waitingUpTo(a *agent, rank shares.Rank) []shares.Waiting {
	age := d.now.Sub(a.stateReceivedAt)
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
	s := d.returns[j.Queue.Priority]
	if s == nil {
		s = quota.NewRetrySchedule()
		d.returns[j.Queue.Priority] = s
	}
	return s
}

// returnAfter returns when a refused caller should come back: when there is room, and
// after those refused before, at the rate at which the queue is served here. It is
// rounded up, because callers get whole seconds.
func (d *Dispatcher) returnAfter(j *job, earliest time.Duration) time.Duration {
	perTask := time.Duration(0)
	if served := d.ledger.Served(d.now, j.Queue.Name); served > 0 {
		perTask = time.Duration(j.work() / float64(max(j.Tasks, 1)) / served * float64(time.Second))
	}
	at := d.now.Add((earliest + time.Second - 1).Truncate(time.Second))
	wait := d.returnsOf(j).Assign(d.now, returnKey(j), j.Tasks, at, perTask).Sub(d.now)
	return max(min(wait, maxReturnTime), earliest)
}

// returnKey identifies a job among those that were told when to come back.
func returnKey(j *job) quota.Key {
	h := fnv.New128a()
	h.Write([]byte(j.Name))
	return quota.Key(h.Sum(nil))
}

func (d *Dispatcher) recordShare(j *job, outcome string) {
	d.emit(ShareMetrics{Queue: j.Queue.Name, Outcome: outcome})
	if outcome == shareOwed || outcome == shareOvertook {
		d.emit(LogEvent{Event: "job_" + outcome, Job: j.Name, Queue: j.Queue.Name, Detail: fmt.Sprintf("rank=%d priority=%d", j.rank, j.Queue.Priority)})
	}
}
