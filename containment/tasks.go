package containment

import "time"

const (
	// youngCrashesToGiveUp is the number of crashes, each within youngAge of its start,
	// after which a task is given up. One may happen by chance.
	youngCrashesToGiveUp = 2
	// crashesToGiveUp is the number of crashes after which any task is given up. The
	// platform allows two starts after three crashes; one is left for a crash that no
	// agent has reported.
	crashesToGiveUp = 4
	// retention is how long the losses of a task are remembered. It is longer than
	// callers submit a job again.
	retention = 60 * time.Second
	// maxTasks bounds the tasks that are remembered.
	maxTasks = 20_000
)

// taskRecord is the evidence against a task.
type taskRecord struct {
	possible  int       // crashes of servers that may have started it
	crashes   int       // of these, crashes of servers that had started it
	young     int       // of these, crashes within youngAge of its start
	lastCrash time.Time // when the last one was reported
}

type taskExpiry struct {
	task Task
	at   time.Time
}

// Suspicion is the evidence against a task.
type Suspicion struct {
	Possible int // servers that crashed after they may have started it
	Crashes  int // of these, servers that had acknowledged the start
	Young    int // of these, servers that crashed within youngAge of its start
}

// GiveUp reports whether the task must not be started again. A task that was started
// long before its servers crashed is more likely to have been there by chance, and may
// be started more often.
func (s Suspicion) GiveUp() bool {
	return s.Young >= youngCrashesToGiveUp || s.Possible >= crashesToGiveUp
}

// Failed reports whether it is certain that enough servers have crashed under the task
// for its job to count as failed.
func (s Suspicion) Failed() bool { return s.GiveUp() && s.Crashes >= youngCrashesToGiveUp }

// Suspicion returns the evidence against a task.
func (t *Tracker) Suspicion(task Task) Suspicion {
	r := t.tasks[task]
	if r == nil {
		return Suspicion{}
	}
	return Suspicion{Possible: r.possible, Crashes: r.crashes, Young: r.young}
}

func (t *Tracker) recordLosses(losses []Loss) {
	for _, l := range losses {
		r := t.tasks[l.Task]
		if r == nil {
			r = &taskRecord{}
			t.tasks[l.Task] = r
		}
		r.possible++
		if l.Started {
			r.crashes++
		}
		if l.Started && l.Ran <= youngAge {
			r.young++
		}
		r.lastCrash = t.now
		t.expiry = append(t.expiry, taskExpiry{task: l.Task, at: t.now.Add(retention)})
	}
}

// expireTasks forgets the tasks whose last crash was long ago, and the oldest ones
// over maxTasks.
func (t *Tracker) expireTasks() {
	for len(t.expiry) > 0 && (!t.now.Before(t.expiry[0].at) || len(t.expiry) > maxTasks) {
		e := t.expiry[0]
		t.expiry = t.expiry[1:]
		if r := t.tasks[e.task]; r != nil && !e.at.Before(r.lastCrash.Add(retention)) {
			delete(t.tasks, e.task)
		}
	}
}
