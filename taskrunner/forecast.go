package taskrunner

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// timeline returns when the capacity held by started tasks is expected to become
// free.
func (m *Runner) timeline() *capacity.Timeline {
	var releases []capacity.Release
	for _, r := range m.runs {
		if r.phase != queued {
			releases = append(releases, capacity.Release{At: m.remaining(r), CPU: r.cpu})
		}
	}
	if withheld := m.withheldCPU(); withheld > 0 {
		releases = append(releases, capacity.Ramp(withheld, m.warmUp.remaining(m.now))...)
	}
	return capacity.New(m.freeCPU(), releases)
}

// remaining predicts the time until a run ends.
func (m *Runner) remaining(r *run) time.Duration {
	if r.phase == stopping {
		return m.opts.StopTimeout
	}
	if !r.confirmed {
		return m.expectedRunTime(r)
	}
	if d := m.distributionOf(r); d.Known() {
		return m.conditionalRemaining(r, &d)
	}
	ran := m.now.Sub(r.startedAt)
	return max(m.totalRunTime(r)-ran, 0)
}

// totalRunTime predicts the total run time of a run from its progress, or from its
// estimate while there is too little progress.
func (m *Runner) totalRunTime(r *run) time.Duration {
	if r.percent >= minPredictivePercent {
		return r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(m.health.expectedRunTime(r.estimate), m.now.Sub(r.startedAt))
}

// stragglers returns the runs of the session that are far slower than expected. It
// returns none unless the server as a whole is slow: a single slow job more likely
// has too low an estimate.
func (m *Runner) stragglers(s *entrySession) []session.Straggler {
	if m.health.expectedSlowness() < slowServerFactor*m.health.baseline() {
		return nil
	}
	var list []session.Straggler
	for _, r := range m.sortedRuns() {
		if r.session != s || r.phase != running {
			continue
		}
		baselineRunTime := time.Duration(float64(r.estimate) * m.health.baseline())
		if left := m.remaining(r); left > minStragglerLeft && m.totalRunTime(r) > stragglerFactor*baselineRunTime {
			list = append(list, session.Straggler{ID: r.id, Ms: int(left.Milliseconds())})
		}
	}
	return list
}

// runningTasks returns the started tasks in the order of their expected ends. It
// returns at most maxRunningTasks elements, of which the last one combines all
// tasks that end later.
func (m *Runner) runningTasks() []session.RunningTask {
	var list []session.RunningTask
	for _, r := range m.runs {
		if r.phase != queued {
			list = append(list, session.RunningTask{CPU: r.cpu, Ms: int(m.remaining(r).Milliseconds())})
		}
	}
	slices.SortFunc(list, func(a, b session.RunningTask) int { return cmp.Or(cmp.Compare(a.Ms, b.Ms), cmp.Compare(a.CPU, b.CPU)) })
	for len(list) > maxRunningTasks {
		last, previous := list[len(list)-1], &list[len(list)-2]
		previous.CPU += last.CPU
		previous.Ms = last.Ms
		list = list[:len(list)-1]
	}
	return list
}
