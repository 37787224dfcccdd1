package sessions_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// Guards against tasks that start or run on beside those of a copy: the path between a caller and its
// entry is cut, and the entry, which reaches its agents, learns of no end.
func TestTasksOfCallersThatAreCutOffAreOverBeforeCopiesRun(t *testing.T) {
	checkScenario(t, (*simulation).runCutScenario, "started", "completed", "refused not_run", "probed", "probe lost", "given up as silent",
		"cut to the entry", "cut to the caller", "cut both ways", "reset lost", "answer retransmitted", "left before placed")
}

// Guards against tasks that start or run on beside those of a copy: the entry, or its whole machine, is
// suspended while its callers leave, whose ends are lost or arrive late.
func TestResumedEntriesRunNothingForCallersWhoseEndsAreLost(t *testing.T) {
	checkScenario(t, (*simulation).runLostEndsScenario, "started", "completed", "probed", "probe reset", "given up as silent",
		"machine suspended", "reset lost", "left before placed")
}

// Guards against a submission that is taken for new although it has waited in the socket of a suspended
// entry, and its caller has left unseen.
func TestSubmissionsReadLateRunNothingForCallersWhoHaveLeft(t *testing.T) {
	checkScenario(t, (*simulation).runLateReadsScenario, "started", "completed", "read late", "read late of unknown age", "left before read",
		"left unseen", "probed", "machine suspended")
}

// Guards against tasks that start or run on for a caller that has acknowledged a probe and left unseen
// before the entry, which was suspended, has handled that.
func TestAcknowledgementsHandledLateRunNothingForCallersWhoHaveLeft(t *testing.T) {
	checkScenario(t, (*simulation).runLateAcksScenario, "started", "completed", "suspended", "left after acknowledgement")
}

// Guards against callers that wait for long tasks and are given up as silent although their paths are whole.
func TestCallersWhosePathsAreWholeAreNotGivenUp(t *testing.T) {
	checkScenario(t, (*simulation).runWholePathsScenario, "started", "completed", "probed", "acknowledged late", "left before placed")
}

// Guards against a submission that is taken for new although its caller has closed the connection: it was
// lost on its way, and the caller's system sends it again, before the FIN.
func TestSubmissionsSentAgainAfterTheirCallersHaveLeftStartNothing(t *testing.T) {
	checkScenario(t, (*simulation).runDelayedSubmissionsScenario, "started", "completed", "submission after close")
}

// checkScenario runs a scenario with drawn seeds, whose cases have to cover what is listed.
func checkScenario(t *testing.T, run func(sim *simulation, faults int), covered ...string) {
	t.Helper()
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		run(sim, rapid.IntRange(0, 4).Draw(t, "faults"))
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range covered {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

func (sim *simulation) drawEntry() *entryProc { return sim.entries[sim.rng.Intn(len(sim.entries))] }

// drawLongJob draws a job whose tasks may run longer than callers wait before they submit again.
func (sim *simulation) drawLongJob(i int) dispatch.Job {
	job := sim.drawJob(i)
	ms := 900 + sim.rng.Intn(2900)
	job.CPU = 2000 + sim.rng.Intn(2000)
	job.Spec, job.Estimate, job.Timeout = fmt.Sprintf("%d,%d,ok", ms, job.CPU), time.Duration(ms)*time.Millisecond, 8*time.Second
	return job
}

// submitDrawn submits jobs, a third of them long, within six seconds.
func (sim *simulation) submitDrawn(jobs int) {
	for i := range jobs {
		sim.after(sim.draw(0, 6*time.Second), func() {
			if i%3 == 0 {
				sim.submit(sim.drawLongJob(i))
			} else {
				sim.submit(sim.drawJob(i))
			}
		})
	}
}

// faultAgents lets agents and servers fail besides.
func (sim *simulation) faultAgents(n int) {
	for range n {
		sim.after(sim.draw(0, 7*time.Second), func() {
			a := sim.agents[sim.rng.Intn(len(sim.agents))]
			switch sim.rng.Intn(5) {
			case 0:
				a.crash()
			case 1:
				a.machine.restart()
			case 2:
				a.suspend(sim.draw(100*time.Millisecond, time.Second))
			case 3:
				for _, c := range sorted(a.conns) {
					c.stalledUntil = sim.now + sim.draw(100*time.Millisecond, 2*time.Second)
				}
			case 4:
				a.machine.decliningUntil = sim.now + sim.draw(100*time.Millisecond, 2*time.Second)
				if sim.rng.Intn(2) == 0 {
					a.machine.stopsDecliningUntil = a.machine.decliningUntil
				}
			}
		})
	}
}

// runCutScenario cuts entries off from callers while agents fail.
func (sim *simulation) runCutScenario(faults int) {
	sim.drawCallerLoss()
	sim.run(2 * time.Second)
	sim.submitDrawn(60)
	for range 8 {
		sim.after(sim.draw(0, 7*time.Second), func() { sim.drawEntry().cutCallers(sim.draw(100*time.Millisecond, 3*time.Second)) })
	}
	sim.faultAgents(2 + faults)
	sim.declineStops()
	for range faults / 2 {
		sim.after(sim.draw(0, 6*time.Second), sim.injectFault)
	}
	sim.run(20 * time.Second)
}

// declineStops lets servers decline orders to stop, so that stopped tasks run until their leases end.
func (sim *simulation) declineStops() {
	for _, a := range sim.agents {
		sim.after(sim.draw(0, 6*time.Second), func() {
			a.machine.stopsDecliningUntil = sim.now + sim.draw(500*time.Millisecond, 3*time.Second)
		})
	}
}

// drawCallerLoss lets callers' paths lose segments in some cases.
func (sim *simulation) drawCallerLoss() {
	if sim.rng.Intn(3) == 0 {
		sim.callerLoss, sim.callersDisturbed = 0.03, true
	}
}

// runLostEndsScenario suspends entries and machines, for a short or a long time, as callers leave. Some
// are cut off besides.
func (sim *simulation) runLostEndsScenario(faults int) {
	sim.drawCallerLoss()
	sim.run(2 * time.Second)
	sim.submitDrawn(60)
	for range 4 {
		sim.after(sim.draw(0, 6*time.Second), func() {
			e := sim.drawEntry()
			d := sim.draw(50*time.Millisecond, 2500*time.Millisecond)
			if sim.rng.Intn(2) == 0 {
				e.cutCallers(d)
			}
			if sim.rng.Intn(3) == 0 {
				e.pause(d)
			} else {
				e.pauseMachine(d)
			}
			e.callersLeave(d)
		})
	}
	sim.faultAgents(faults)
	sim.declineStops()
	sim.run(20 * time.Second)
}

// runLateReadsScenario submits jobs to entries that are suspended, or are soon, and whose callers leave.
func (sim *simulation) runLateReadsScenario(faults int) {
	sim.lastReceivedUnknown = sim.rng.Intn(2) == 0
	if !sim.lastReceivedUnknown {
		sim.maxReadDelay = 2 * time.Second
	}
	sim.run(2 * time.Second)
	sim.submitDrawn(30)
	for k := range 4 {
		sim.after(sim.draw(0, 6*time.Second), func() {
			e := sim.drawEntry()
			d := sim.draw(50*time.Millisecond, 2500*time.Millisecond)
			if sim.rng.Intn(2) == 0 {
				e.pause(d)
			} else {
				// What arrives now is read after the resumption.
				sim.after(time.Millisecond, func() { e.pauseMachine(d) })
			}
			for i := range 6 {
				job := sim.drawLongJob(100 + 10*k + i)
				wait := sim.draw(0, d)
				if sim.rng.Intn(2) == 0 {
					wait = 0
				}
				sim.after(wait, func() {
					cl := sim.submitTo(e, job)
					at := cl.attempt
					leavesIn := sim.draw(5*time.Millisecond, max(d, 100*time.Millisecond))
					if sim.rng.Intn(3) > 0 {
						sim.after(leavesIn, func() { at.leaveUnseen(sim.draw(time.Second, 4*time.Second)) })
					} else {
						sim.after(leavesIn, at.giveUp)
					}
				})
			}
		})
	}
	sim.faultAgents(faults)
	sim.run(20 * time.Second)
}

// runLateAcksScenario suspends entries between a probe and its acknowledgement.
func (sim *simulation) runLateAcksScenario(faults int) {
	sim.pauseAfterProbeShare = 0.03
	sim.run(2 * time.Second)
	sim.submitDrawn(50)
	sim.faultAgents(faults)
	sim.run(20 * time.Second)
}

// runWholePathsScenario lets agents and servers fail, entries crash and callers leave.
func (sim *simulation) runWholePathsScenario(faults int) {
	sim.run(2 * time.Second)
	sim.submitDrawn(50)
	sim.faultAgents(2 * faults)
	for range faults / 2 {
		sim.after(sim.draw(0, 6*time.Second), func() { sim.drawEntry().crash() })
	}
	sim.run(20 * time.Second)
}

// runDelayedSubmissionsScenario lets submissions arrive late over paths that were cut, with callers that
// leave meanwhile.
func (sim *simulation) runDelayedSubmissionsScenario(faults int) {
	sim.delayedSubmissionShare, sim.callersDisturbed = 0.3, true
	sim.run(2 * time.Second)
	sim.submitDrawn(50)
	sim.faultAgents(faults)
	sim.run(20 * time.Second)
}
