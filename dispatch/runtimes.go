package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnuthollow/chestnuthollow/runtimes"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// minOnTime is the least probability of being on time that servers are weighed by, so
	// that their free capacity still counts.
	minOnTime = 0.01
	// relevantChange is the relative change of a quantile from which on it is logged.
	relevantChange = 0.25
)

// learnedRunTimes are the distributions of run times by queue, as sent by the agents.
type learnedRunTimes struct {
	fleet  *runtimes.Fleet
	logged map[string]runtimes.Distribution // by queue
}

func newLearnedRunTimes() learnedRunTimes {
	return learnedRunTimes{fleet: runtimes.NewFleet(), logged: make(map[string]runtimes.Distribution)}
}

// runTimesOpened prepares for the states of a new session.
func (d *Dispatcher) runTimesOpened(a *agent) {
	if d.opts.Scheduling.RunTimes {
		d.runTimes.fleet.Open(a.name)
		d.recordRunTimes(a, a.state.Seq, a.state.RunTimes)
	}
}

// recordRunTimes takes over the distributions of a state of an agent.
func (d *Dispatcher) recordRunTimes(a *agent, seq uint64, list []session.RunTimes) {
	if !d.opts.Scheduling.RunTimes || len(list) == 0 {
		return
	}
	if invalid := d.runTimes.fleet.Update(d.now, a.name, seq, list); invalid > 0 {
		d.emit(LogEvent{Event: "run_times_unusable", Agent: a.name, Detail: fmt.Sprintf("queues=%d of=%d quantiles_expected=%d", invalid, len(list), len(runtimes.Probabilities))})
	}
	for _, m := range list {
		d.logRunTimes(m.Queue)
	}
}

// logRunTimes logs the distribution of a queue when it has become known or has changed.
func (d *Dispatcher) logRunTimes(queue string) {
	now := d.runTimes.fleet.Of(d.now, queue)
	before := d.runTimes.logged[queue]
	changed := func(p float64) bool { return math.Abs(now.Quantile(p)/before.Quantile(p)-1) > relevantChange }
	if !now.Known() || before.Known() && !changed(0.5) && !changed(0.97) {
		return
	}
	d.runTimes.logged[queue] = now
	d.emit(LogEvent{Event: "run_times_learned", Queue: queue, Detail: fmt.Sprintf("samples=%d p05=%.2f median=%.2f p90=%.2f p97=%.2f p99=%.2f",
		now.Samples, now.Quantile(0.05), now.Median(), now.Quantile(0.9), now.Quantile(0.97), now.Quantile(0.99))})
}

// correctRunTime corrects an expected run time by the constant error of the queue's
// estimates.
func (d *Dispatcher) correctRunTime(j *job, expected time.Duration) time.Duration {
	if !d.opts.Scheduling.RunTimes {
		return expected
	}
	r := d.runTimes.fleet.Of(d.now, j.Queue.Name)
	return time.Duration(float64(expected) * r.Correction())
}

// onTimeProbability returns the probability that all tasks of the job end within its
// objective if they start now at the candidate. The objective follows the true run time:
// a server that is slower than it allows for is late with the longest tasks.
func (d *Dispatcher) onTimeProbability(c *candidate, j *job) float64 {
	if !d.opts.Scheduling.RunTimes {
		return 1
	}
	r := d.runTimes.fleet.At(d.now, c.agent.name, j.Queue.Name)
	allowed := float64(j.Queue.Objective(j.Estimate) - j.Queue.TargetLatency)
	deficit := float64(c.runTime) - allowed
	if !r.Known() || deficit <= 0 {
		return 1
	}
	slack := j.objective.Sub(d.now) - c.runTime - c.overhead - minFinishMargin
	longest := r.Correction() * (1 + float64(slack)/deficit)
	return max(math.Pow(r.Below(longest), float64(j.Tasks)), minOnTime)
}

func uncertainTasks(plan []assignment) int {
	n := 0
	for _, as := range plan {
		if as.uncertain {
			n++
		}
	}
	return n
}

// RunTimesDump is the distribution of run times of a queue over all servers. The
// quantiles are of the run time over the expected one.
type RunTimesDump struct {
	Queue   string  `json:"queue"`
	Samples int     `json:"samples"`
	P05     float64 `json:"p05"`
	Median  float64 `json:"median"`
	P90     float64 `json:"p90"`
	P97     float64 `json:"p97"`
	P99     float64 `json:"p99"`
}

func (l *learnedRunTimes) dump() []RunTimesDump {
	var rows []RunTimesDump
	for _, name := range l.fleet.Queues() {
		r := l.fleet.Known(name)
		rows = append(rows, RunTimesDump{Queue: name, Samples: r.Samples, P05: r.Quantile(0.05), Median: r.Median(),
			P90: r.Quantile(0.9), P97: r.Quantile(0.97), P99: r.Quantile(0.99)})
	}
	return rows
}

// RunTimeQueues returns the number of queues whose distribution of run times is known.
func (d *Dispatcher) RunTimeQueues() int { return len(d.runTimes.fleet.Queues()) }
