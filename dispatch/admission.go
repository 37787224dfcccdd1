package dispatch

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// noCandidateError returns why no agent can run the job. The job is unsuitable, and
// need not be held, if agents of its service are ready and none is large enough or
// has the required label.
func (d *Dispatcher) noCandidateError(j *job) *structs.Error {
	if err := d.evacuatedError(j); err != nil {
		return err
	}
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
	if d.opts.Scheduling.Shares {
		return d.planByShare(j)
	}
	plan, err := d.plan(j, j.unplaced(), d.latestUsefulEnd(j))
	if err != nil {
		return nil, err
	}
	if backlog := d.backlog(j); backlog > maxBacklog && !d.startsNow(plan) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "queued tasks need %d ms, over the limit of %d ms",
			backlog.Milliseconds(), maxBacklog.Milliseconds()).WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}

func all(plan []assignment, match func(assignment) bool) bool {
	return !slices.ContainsFunc(plan, func(as assignment) bool { return !match(as) })
}

// backlog returns how long all servers that may run the job need together for
// their queued tasks, except those that give way to the job.
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
			if d.opts.Scheduling.Shares && j.overtaken(q) {
				continue
			}
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
	if c := d.candidatesForReturn(j, d.candidates(j, nil, &limits)); len(c) > 0 {
		if best, finish := pickCandidate(c, j, 0); best != nil {
			wait = max(wait, finish-best.runTime)
		}
	}
	return wait
}
