package sessions_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// cancelTime is how long after the acknowledgement of a cancel the tasks of the job may
	// still start, as agreed with the users.
	cancelTime = 3 * time.Second
	// cancelRetryAfter is how long after no answer a caller sends a cancel again.
	cancelRetryAfter = time.Second
	canceledPrefix   = "canceled"
)

// Guards against tasks of a canceled job that run on, or start again, at another entry than
// the one that got the cancel: it has the job itself, gets a copy seconds later, was
// suspended, cut off from agents, or has restarted between the cancel and the copy.
func TestCanceledJobsDoNotRun(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		sim.runCancelScenario(25, rapid.IntRange(0, 6).Draw(t, "faults"))
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"started", "canceled", "cancel canceled", "cancel no_such_job", "cancel unconfirmed", "peer not told", "copy canceled"} {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

// runCancelScenario submits jobs that are canceled soon and submitted again some seconds
// later, and injects faults meanwhile.
func (sim *simulation) runCancelScenario(jobs, faults int) {
	sim.acknowledged = make(map[string]time.Duration)
	sim.newEntry(len(sim.entries))
	sim.run(2 * time.Second)
	for i := range jobs {
		sim.after(sim.draw(0, 6*time.Second), func() {
			job := sim.drawJob(i)
			job.Name = fmt.Sprint(canceledPrefix, i)
			if i%2 == 0 { // would run on long after cancelTime
				job.Spec, job.Estimate, job.Timeout = fmt.Sprintf("8000,%d,ok", job.CPU), 8*time.Second, 20*time.Second
			}
			sim.submit(job)
			sim.after(sim.draw(0, 900*time.Millisecond), func() { sim.cancelJob(job) })
		})
	}
	for range faults {
		sim.after(sim.draw(0, 10*time.Second), sim.injectFault)
	}
	sim.run(25 * time.Second)
}

// cancelJob cancels a job at any entry, until the cancel is acknowledged. A copy of the
// submission follows.
func (sim *simulation) cancelJob(job dispatch.Job) {
	e := sim.entries[sim.rng.Intn(len(sim.entries))]
	retry := func() { sim.after(cancelRetryAfter, func() { sim.cancelJob(job) }) }
	if !e.up || e.suspended {
		retry()
		return
	}
	e.nextCall++
	generation, answered := e.generation, false
	e.cancels[e.nextCall] = func(r dispatch.CancelResult) {
		answered = true
		sim.counts["cancel "+r.String()]++
		if r == dispatch.CancelUnconfirmed {
			retry()
			return
		}
		sim.cancelAcknowledged(job)
	}
	e.step(dispatch.CancelCalled{Call: e.nextCall, Queue: job.Queue.Name, Name: job.Name})
	sim.after(cancelRetryAfter, func() {
		if !answered && (e.generation != generation || e.suspended) {
			retry()
		}
	})
}

func (sim *simulation) cancelAcknowledged(job dispatch.Job) {
	if _, ok := sim.acknowledged[job.Name]; ok {
		return
	}
	sim.traceEvent("simulation", "CANCEL ACKNOWLEDGED", job.Name, "")
	sim.acknowledged[job.Name] = sim.now
	sim.after(cancelTime+stopTimeout, func() {
		for i := range job.Tasks {
			if task := fmt.Sprintf("%s.%d", job.Name, i); len(sim.running[task]) > 0 {
				sim.fail("task %s runs on at %v after its job was canceled at %v", task, sim.running[task], sim.acknowledged[job.Name])
			}
		}
	})
	copies := &caller{sim: sim, job: job, earlierSubmissionMayRun: true, isCopy: true}
	sim.after(sim.draw(time.Second, 8*time.Second), copies.send)
}

// checkNotCanceled fails if the job of a task that starts was canceled longer than
// cancelTime ago.
func (sim *simulation) checkNotCanceled(job, task string) {
	if at, ok := sim.acknowledged[job]; ok && sim.now > at+cancelTime {
		sim.fail("task %s starts %v after the cancel of its job was acknowledged", task, sim.now-at)
	}
}

// notifyPeers transmits a cancel to the other entries. A message or its reply may be lost.
func (e *entryProc) notifyPeers(ef dispatch.NotifyPeers) {
	sim := e.sim
	told := dispatch.PeersNotified{Call: ef.Call}
	waiting, done := len(sim.entries)-1, false
	finish := func() {
		if !done {
			done = true
			told.Missed = waiting
			sim.counts["peer not told"] += waiting
			e.step(told)
		}
	}
	e.deliverAfter(dispatch.PeerCancelTimeout, finish)
	for _, p := range sim.entries {
		if p == e {
			continue
		}
		if sim.rng.Float64() < 0.1 {
			continue // lost
		}
		p.deliverAfter(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
			known := p.learnCancels(e.name, []session.Cancel{ef.Cancel}, false)
			if sim.rng.Float64() < 0.1 {
				return // the reply is lost
			}
			e.deliverAfter(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
				if done {
					return
				}
				waiting--
				told.Known = told.Known || known[0]
				if waiting == 0 {
					finish()
				}
			})
		})
	}
}

func (e *entryProc) learnCancels(from string, list []session.Cancel, all bool) []bool {
	var known []bool
	for _, ef := range e.step(dispatch.CancelsLearned{From: from, Cancels: list, All: all}) {
		if r, ok := ef.(dispatch.CancelsRecorded); ok {
			known = r.Known
		}
	}
	return known
}

// fetchCancels asks the other entries for the cancels that they know, as an entry does that
// has just started.
func (e *entryProc) fetchCancels() {
	for _, p := range e.sim.entries {
		if p == e || !p.up {
			continue
		}
		p.deliverAfter(e.sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
			list := p.dispatcher.Cancels(p.bootNow())
			e.deliverAfter(e.sim.draw(500*time.Microsecond, 3*time.Millisecond), func() { e.learnCancels(p.name, list, true) })
		})
	}
}
