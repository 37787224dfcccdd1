package sessions_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against tasks that start, by any interleaving of faults, on a server without the
// label that they need or beside too many of their job: servers come back with another
// label and size, under the same ID or another one.
func TestInterleavingsWithReplacedServers(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		sim.addAgents(3, 2)
		sim.runReplacements(rapid.IntRange(1, 8).Draw(t, "replacements"), rapid.IntRange(0, 4).Draw(t, "faults"))
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"completed", "late", "replaced", "label needed", "bounded"} {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

// addAgents adds agents with numbers from first, to which the entries open sessions.
func (sim *simulation) addAgents(first, n int) {
	for i := range n {
		a := sim.newAgent(first+i, 20_000)
		for _, e := range sim.entries {
			e.dial(a)
		}
	}
}

// runReplacements submits jobs that fill the servers, many of which need a label or bound
// their tasks on one server, and replaces servers besides the other faults.
func (sim *simulation) runReplacements(replacements, faults int) {
	sim.run(2 * time.Second)
	for i := range 80 {
		sim.after(sim.draw(0, 6*time.Second), func() {
			job := sim.drawJob(i)
			job.RequiredLabel = []string{"", "a", "a", "b"}[sim.rng.Intn(4)]
			job.MaxPerServer = sim.rng.Intn(3)
			sim.submit(job)
		})
	}
	for range replacements {
		sim.after(sim.draw(0, 6*time.Second), func() {
			m := sim.agents[sim.rng.Intn(len(sim.agents))].machine
			m.replace(sim.draw(leastDownTime, time.Second), sim.rng.Intn(2) == 0, 6000+sim.rng.Intn(14_000))
		})
	}
	for range faults {
		sim.after(sim.draw(0, 6*time.Second), sim.injectFault)
	}
	sim.run(18 * time.Second)
}
