package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/places"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// assignment is a task of a job with the agent chosen for it.
type assignment struct {
	index   int
	agent   *agent
	finish  time.Duration // expected time from now to the end
	runTime time.Duration // expected run time
	// uncertain is set if the agent is not sure enough to end the task within the
	// objective of the job.
	uncertain bool
	factor    float64 // of the run time, see awayFactor
	choice    *places.Choice
}

// startsNow reports whether the task is expected to start when the order arrives.
func (as *assignment) startsNow(d *Dispatcher) bool {
	return as.finish-as.runTime-as.agent.networkOverhead(d) <= 0
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
	candidates = d.choosePlace(j, tasks, candidates, latest)
	plan := make([]assignment, 0, len(tasks))
	for _, index := range tasks {
		best, finish := d.pick(candidates, j)
		if best == nil {
			return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun, "no server can take another task of %d thousandths of a core", j.CPU).
				WithRetryAfter(d.retryAfter(j))
		}
		uncertain := finish+finishMargin(best.runTime) > j.objective.Sub(d.now)
		best.reserve(j)
		plan = append(plan, assignment{index: index, agent: best.agent, finish: finish, runTime: best.runTime, factor: best.factor, choice: best.choice, uncertain: uncertain})
	}
	last := lastFinish(plan)
	if d.now.Add(last + answerMargin).After(latest) {
		return nil, structs.Errorf(structs.CodeOverloaded, structs.NotRun,
			"expected to end in %d ms, over the limit of %d ms", last.Milliseconds(), latest.Sub(d.now).Milliseconds()).
			WithRetryAfter(d.retryAfter(j))
	}
	return plan, nil
}
