package dispatch

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/containment"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// recordCrashes records the crashes that an agent has reported.
func (d *Dispatcher) recordCrashes(a *agent, crashes []session.Crash) {
	for _, c := range crashes {
		ev := containment.ServerCrashed{Agent: a.name, Incarnation: c.Run, At: d.now.Add(-time.Duration(c.Ago) * time.Millisecond)}
		for _, t := range c.Tasks {
			ev.Losses = append(ev.Losses, containment.Loss{
				Task: containment.Task{Job: t.Job, Index: t.Index}, Queue: t.Queue, Ran: time.Duration(t.Ran) * time.Millisecond, Started: t.Started,
			})
		}
		for _, r := range c.Starts {
			ev.Rates = append(ev.Rates, containment.Rate{Queue: r.Queue, PerSecond: r.PerSecond})
		}
		d.containment.Step(d.now, ev)
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
		d.answer(j, Failed, crashReason(index, s))
		return true
	case s.GiveUp():
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
