package sessions_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// deadlyPrefix begins the names of the jobs whose first task crashes each server that
// starts it.
const deadlyPrefix = "deadly"

// Guards against a task that crashes one server after the other, also when its job is
// submitted again at another entry.
func TestDeadlyTaskIsGivenUpAfterThreeCrashes(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Int64().Draw(t, "seed"))
		for i := range 5 {
			sim.newAgent(3+i, 20_000)
		}
		sim.runDeadlyScenario(rapid.IntRange(0, 2).Draw(t, "faults"))
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"crashed", "completed", "broken"} {
		if total[k] == 0 {
			t.Errorf("the drawn cases did not cover %q", k)
		}
	}
}

// runDeadlyScenario submits harmless jobs for six seconds, and a few deadly ones among
// them.
func (sim *simulation) runDeadlyScenario(faults int) {
	sim.run(2 * time.Second)
	for i := range 60 {
		sim.after(sim.draw(0, 6*time.Second), func() { sim.submit(sim.drawJob(i)) })
	}
	for i := range 3 {
		sim.after(sim.draw(0, 6*time.Second), func() { sim.submit(sim.drawDeadlyJob(i)) })
	}
	for range faults {
		sim.after(sim.draw(0, 6*time.Second), sim.injectFault)
	}
	sim.run(20 * time.Second)
}

func (sim *simulation) drawDeadlyJob(i int) dispatch.Job {
	return dispatch.Job{
		Name: fmt.Sprintf("%s%d", deadlyPrefix, i), Queue: testQueue(), Spec: fmt.Sprintf("%d,1000,crash", 3+sim.rng.Intn(20)),
		Tasks: 1, CPU: 1000, MemMB: 1, Estimate: 200 * time.Millisecond, Timeout: 4 * time.Second,
	}
}
