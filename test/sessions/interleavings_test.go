package sessions_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// TestInterleavings injects randomly drawn faults into a small simulated system. It
// checks that no task runs twice at the same time, that no server exceeds its
// capacity, and that no task of a job refused as not run starts.
func TestInterleavings(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		sim.runScenario(40, 0, rapid.IntRange(0, 6).Draw(t, "faults"))
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"started", "completed", "late", "refused not_run", "refused may_have_run", "broken"} {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

// Guards against a task that starts although its job was refused as not run: the entry that had it
// first is suspended, its callers go to another entry, which is overloaded, and it finds its agents
// again before it handles the ends of their connections.
func TestResumedEntriesStartNothingForRefusedCallers(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		sim.runResumedScenario()
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"started", "refused not_run", "left before placed"} {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

// runResumedScenario suspends entries longer than callers wait before they submit again, while more
// jobs are submitted than the servers can run.
func (sim *simulation) runResumedScenario() {
	const jobs, suspensions = 150, 4
	for range suspensions {
		e := sim.entries[sim.rng.Intn(len(sim.entries))]
		sim.after(sim.draw(2*time.Second, 6*time.Second), func() { e.suspendAsCallersLeave(sim.draw(resendAfter, 2*time.Second)) })
	}
	sim.runScenario(jobs, 0, 0)
}

func newSimulation(t *rapid.T, seed int64) *simulation {
	sim := newSimulationOf(rand.New(rand.NewSource(seed)), 0, 0)
	sim.fail = func(format string, args ...any) {
		t.Fatalf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
	}
	if sim.rng.Intn(2) == 0 {
		sim.delayedCallShare = 0.08
	}
	sim.peersReply = sim.rng.Intn(3) == 0
	sim.addProcesses(3, 2)
	return sim
}

// newSimulationOf returns a simulation of agents, each with a server, and entries.
func newSimulationOf(rng *rand.Rand, agents, entries int) *simulation {
	sim := &simulation{
		rng:     rng,
		running: make(map[string][]string),
		started: make(map[string]bool),
		refused: make(map[string]bool),
		jobs:    make(map[string]dispatch.Job),
		crashes: make(map[string]int), startsAfter: make(map[string]int),
		counts:   make(map[string]int),
		attempts: make(map[attemptKey]*attemptState), maxReadDelay: defaultReadDelay,
		owners: make(map[string]string),
	}
	sim.addProcesses(agents, entries)
	return sim
}

func (sim *simulation) addProcesses(agents, entries int) {
	for i := range agents {
		sim.newAgent(i, 20_000)
	}
	for i := range entries {
		sim.newEntry(i)
	}
}

// runScenario submits harmless jobs, and some whose first task crashes its servers,
// within six seconds, and injects faults meanwhile.
func (sim *simulation) runScenario(jobs, deadlyJobs, faults int) {
	sim.run(2 * time.Second)
	for i := range jobs {
		sim.after(sim.draw(0, 6*time.Second), func() { sim.submit(sim.drawJob(i)) })
	}
	for i := range deadlyJobs {
		sim.after(sim.draw(0, 6*time.Second), func() { sim.submit(sim.drawDeadlyJob(i)) })
	}
	for range faults {
		sim.after(sim.draw(0, 6*time.Second), sim.injectFault)
	}
	sim.run(18 * time.Second)
}

func (sim *simulation) drawJob(i int) dispatch.Job {
	ms := 20 + sim.rng.Intn(900)
	cpu := 2000 + sim.rng.Intn(6000)
	outcome := []string{"ok", "ok", "ok", "ok", "ok", "ok", "fail", "hang"}[sim.rng.Intn(8)]
	return dispatch.Job{
		Name: fmt.Sprintf("job%d", i), Queue: testQueue(), Spec: fmt.Sprintf("%d,%d,%s", ms, cpu, outcome),
		Tasks: 1 + sim.rng.Intn(5), CPU: cpu, MemMB: 1, Estimate: time.Duration(ms) * time.Millisecond * time.Duration(60+sim.rng.Intn(80)) / 100,
		Timeout: 3 * time.Second,
		Rack:    []string{"", "rack-0", "rack-1"}[i%3], OneRack: i%4 == 3,
	}
}

// injectFault injects one drawn fault.
func (sim *simulation) injectFault() {
	e := sim.entries[sim.rng.Intn(len(sim.entries))]
	a := sim.agents[sim.rng.Intn(len(sim.agents))]
	duration := sim.draw(100*time.Millisecond, 3*time.Second)
	kind := sim.rng.Intn(12)
	sim.traceEvent("simulation", "FAULT", "", fmt.Sprintf("kind=%d %s %s for %v", kind, e.name, a.name, duration))
	switch kind {
	case 0:
		e.crash()
	case 1:
		a.crash()
	case 2:
		e.suspendAsCallersLeave(duration)
	case 3:
		a.suspend(duration)
	case 4:
		a.machine.restart()
	case 5:
		for _, c := range sorted(e.conns) {
			c.stalledUntil = sim.now + duration
		}
	case 6:
		for _, c := range sorted(a.conns) {
			c.stalledUntil = sim.now + duration
		}
	case 7:
		e.crash()
		a.crash()
	case 8:
		a.machine.resize(4000 + sim.rng.Intn(12_000))
		sim.after(2*duration, func() { a.machine.resize(20_000) })
		if sim.rng.Intn(2) == 0 {
			sim.after(shrinkGrace, a.crash)
		}
	case 9:
		a.machine.decliningUntil = sim.now + duration
	case 10, 11:
		e.cutCallers(duration)
	}
}
