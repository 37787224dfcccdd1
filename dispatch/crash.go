package dispatch

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/containment"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// initialRecoveryTime is the assumed time from a crash until the server accepts
	// tasks again, as long as none has been seen.
	initialRecoveryTime = 3 * time.Second
	// maxCrashAgo bounds how long ago a reported crash was, in ms.
	maxCrashAgo = 60_000
	// recoveryWeight is the weight of the newest recovery in the moving average.
	recoveryWeight = 0.3
)

// recordCrashes records the crashes that an agent has reported.
func (d *Dispatcher) recordCrashes(a *agent, crashes []session.Crash) {
	for _, c := range crashes {
		if d.containment.Knows(a.name, c.Run) {
			continue
		}
		ev := containment.ServerCrashed{
			Agent: a.name, Service: a.identity.Service, Servers: len(d.agentsOf(a.identity.Service)),
			Incarnation: c.Run, At: d.now.Add(-time.Duration(min(max(c.Ago, 0), maxCrashAgo)) * time.Millisecond),
		}
		for _, t := range c.Tasks {
			ev.Losses = append(ev.Losses, containment.Loss{
				Task: containment.Task{Job: t.Job, Index: t.Index}, Queue: t.Queue, Ran: time.Duration(t.Ran) * time.Millisecond, Started: t.Started,
			})
		}
		for _, r := range c.Starts {
			ev.Rates = append(ev.Rates, containment.Rate{Queue: r.Queue, PerSecond: r.PerSecond})
		}
		if !a.state.Ready {
			a.crashedAt = ev.At
		}
		d.emit(LogEvent{Event: "server_crash_reported", Agent: a.name, Detail: fmt.Sprintf("run=%d ago_ms=%d tasks=%d", c.Run, c.Ago, len(c.Tasks))})
		d.emit(CrashMetrics{Servers: 1})
		d.applyChanges(d.containment.Step(d.now, ev))
	}
}

// recordRecovery learns how long servers take to come back.
func (d *Dispatcher) recordRecovery(a *agent) {
	if a.crashedAt.IsZero() || !a.state.Ready {
		return
	}
	took := d.now.Sub(a.crashedAt)
	a.crashedAt = time.Time{}
	d.recoveryTime += time.Duration(recoveryWeight * float64(took-d.recoveryTime))
}

// applyChanges logs which queues were confined or released.
func (d *Dispatcher) applyChanges(changes []containment.Change) {
	for _, c := range changes {
		d.emit(LogEvent{Event: "queue_" + c.Kind.String(), Queue: c.Queue, Detail: fmt.Sprintf("share=%.2f reason=%q", c.Share, c.Reason)})
		if c.Kind == containment.Confined {
			d.emit(CrashMetrics{QueuesConfined: 1})
		}
	}
}

// taskLost gives up the job of a task that was lost if servers have crashed under the
// task, or abandons it if the task was lost too often. It reports whether it did.
func (d *Dispatcher) taskLost(j *job, index int, reason string) bool {
	t := &j.tasks[index]
	t.losses++
	s := d.containment.Suspicion(containment.Task{Job: j.Name, Index: index})
	switch {
	case s.Failed():
		d.emit(CrashMetrics{TasksGivenUp: 1})
		d.answer(j, Failed, crashReason(index, s))
		return true
	case s.GiveUp():
		d.emit(CrashMetrics{TasksGivenUp: 1})
		d.abandon(j, structs.CodeUnavailable, crashReason(index, s))
		return true
	case t.losses >= maxLosses:
		d.abandon(j, structs.CodeUnavailable, fmt.Sprintf("task %d was lost %d times, the last time: %s", index, t.losses, reason))
		return true
	}
	return false
}

// refuseCrashing answers a submission of a job whose earlier submission was given up,
// at any entry, because servers have crashed under one of its tasks. It reports
// whether it did.
func (d *Dispatcher) refuseCrashing(e SubmitCalled) bool {
	for i := range e.Job.Tasks {
		s := d.containment.Suspicion(containment.Task{Job: e.Job.Name, Index: i})
		if !s.GiveUp() {
			continue
		}
		j := &job{Job: e.Job, arrived: d.now, objective: d.now, unfinished: e.Job.Tasks, calls: []CallID{e.Call}}
		if s.Failed() {
			d.answer(j, Failed, crashReason(i, s))
		} else {
			d.refuse(j, e.Call, structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", crashReason(i, s)))
		}
		return true
	}
	return false
}

func crashReason(index int, s containment.Suspicion) string {
	return fmt.Sprintf("task %d: servers that crashed after they may have started it: %d, had started it: %d, had just started it: %d", index, s.Possible, s.Crashes, s.Young)
}
