package taskrunner

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnuthollow/chestnuthollow/runtimes"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// maxTailShare is the share of tasks in the tail of their distribution above which the
// server counts as slow instead: one that slows down has most of its tasks there, a queue
// with a long tail a few percent.
const maxTailShare = 0.25

// learnedRunTimes are the distributions of run times at this server. The zero value has
// learned nothing.
type learnedRunTimes struct {
	tracker   runtimes.Tracker
	finished  tailShare
	slow      bool  // more than maxTailShare of the running tasks are in their tail
	tailTasks int64 // tasks in the tail of their distribution that have ended
}

// tailShare is the share of recent tasks that were in the tail of their distribution.
type tailShare struct {
	tail, all float64 // decayed counts
	decayedAt time.Time
}

func (s *tailShare) record(now time.Time, tail bool) {
	if !s.decayedAt.IsZero() && now.After(s.decayedAt) {
		f := math.Exp(-float64(now.Sub(s.decayedAt)) / float64(recentDecayTime))
		s.tail, s.all = s.tail*f, s.all*f
	}
	s.decayedAt = now
	s.all++
	if tail {
		s.tail++
	}
}

func (s *tailShare) exceeded() bool { return s.tail > maxTailShare*s.all }

// distributionOf returns the distribution of the run times of a run's queue.
func (m *Runner) distributionOf(r *run) runtimes.Distribution {
	if !m.opts.RunTimes || r.estimate <= 0 {
		return runtimes.Distribution{}
	}
	return m.runTimes.tracker.Of(r.queue)
}

// expectedRunTime returns the expected run time of a run that has not started. It
// corrects the constant error of its queue's estimates.
func (m *Runner) expectedRunTime(r *run) time.Duration {
	d := m.distributionOf(r)
	return scale(m.health.expectedRunTime(r.estimate), d.Correction())
}

// conditionalRemaining predicts the time until a started run ends: by its progress, or,
// while there is too little, by its distribution if it has outrun the expected time or is
// in the tail.
func (m *Runner) conditionalRemaining(r *run, d *runtimes.Distribution) time.Duration {
	ran := m.now.Sub(r.startedAt)
	if r.percent >= minPredictivePercent {
		left := m.totalRunTime(r) - ran
		return max(left, -left) // one that is overdue has slowed down since
	}
	unit := float64(m.health.expectedRunTime(r.estimate)) // of the ratios
	if least := r.leastRunTime(); least > ran && d.InTail(float64(least)/unit) {
		return least - ran + time.Duration(unit*d.Remaining(float64(least)/unit))
	}
	if left := m.expectedRunTime(r) - ran; left > 0 {
		return left
	}
	return time.Duration(unit * d.Remaining(float64(ran)/unit))
}

// clockGrain is the resolution of the server's clock in its replies.
const clockGrain = time.Millisecond

// leastRunTime returns the least total run time of a run by its progress, which the server
// rounds down to whole percents.
func (r *run) leastRunTime() time.Duration {
	return max(r.listedFor-clockGrain, 0) * 100 / time.Duration(r.percent+1)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// recordRunTime records the run time of a finished task. One in the tail of its
// distribution says nothing about the speed of the server, unless there are many.
func (m *Runner) recordRunTime(r *run, ran time.Duration) {
	if !m.opts.RunTimes || r.estimate <= 0 {
		m.health.recordRunTime(m.now, r.estimate, ran)
		return
	}
	expected := m.health.expectedRunTime(r.estimate)
	ratio := float64(ran) / float64(expected)
	d := m.distributionOf(r)
	tail := d.InTail(ratio)
	m.runTimes.finished.record(m.now, tail)
	slow := m.runTimes.slow || m.runTimes.finished.exceeded()
	if !tail || slow {
		m.health.recordRunTime(m.now, r.estimate, ran)
	}
	if tail && !slow {
		m.runTimes.tailTasks++
		m.emit(LogEvent{Event: "task_in_tail", Task: r.key.String(), Entry: r.session.entry,
			Detail: fmt.Sprintf("queue=%s expected_ms=%d ran_ms=%d body_per_mille=%d", r.queue, expected.Milliseconds(), ran.Milliseconds(), int(d.Body()*perMille))})
	}
	m.runTimes.tracker.Record(m.now, r.queue, ratio)
}

// withoutTails returns the predicted run times of running tasks, without those in the
// tail of their distribution. If these are several and many, the server counts as slow,
// and all is included.
func (m *Runner) withoutTails(all runTimes) runTimes {
	var body runTimes
	started, tails := 0, 0
	for _, r := range m.runs {
		if r.phase != running || r.estimate <= 0 {
			continue
		}
		started++
		total := m.totalRunTime(r)
		if d := m.distributionOf(r); d.InTail(float64(total) / float64(m.health.expectedRunTime(r.estimate))) {
			tails++
			continue
		}
		body.add(total, r.estimate)
	}
	m.runTimes.slow = tails > 1 && float64(tails) > maxTailShare*float64(started)
	if m.runTimes.slow {
		return all
	}
	return body
}

// unsentRunTimes returns the distributions that have changed since the session's last
// state.
func (m *Runner) unsentRunTimes(s *entrySession) []session.RunTimes {
	if !m.opts.RunTimes {
		return nil
	}
	var list []session.RunTimes
	list, s.runTimesSent = m.runTimes.tracker.Since(s.runTimesSent)
	return list
}

// TailTasks returns the number of ended tasks that were in the tail of their
// distribution.
func (m *Runner) TailTasks() int64 { return m.runTimes.tailTasks }

// RunTimesDump is the distribution of run times of a queue in a Dump. The quantiles are
// of the run time over the expected one, in thousandths.
type RunTimesDump struct {
	Queue   string `json:"queue"`
	Samples int    `json:"samples"`
	Median  int    `json:"median"`
	P90     int    `json:"p90"`
	P97     int    `json:"p97"`
	P99     int    `json:"p99"`
}

func (l *learnedRunTimes) dump() []RunTimesDump {
	var rows []RunTimesDump
	for _, name := range l.tracker.Queues() {
		d := l.tracker.Of(name)
		quantile := func(p float64) int { return int(d.Quantile(p) * perMille) }
		rows = append(rows, RunTimesDump{Queue: name, Samples: d.Samples, Median: quantile(0.5), P90: quantile(0.9), P97: quantile(0.97), P99: quantile(0.99)})
	}
	return rows
}
