package sessions_test

import (
	"fmt"
	"math/rand"
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
		sim.runScenario(60, 3, rapid.IntRange(0, 2).Draw(t, "faults"))
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

func (sim *simulation) drawDeadlyJob(i int) dispatch.Job {
	return dispatch.Job{
		Name: fmt.Sprintf("%s%d", deadlyPrefix, i), Queue: testQueue(), Spec: fmt.Sprintf("%d,1000,crash", 3+sim.rng.Intn(20)),
		Tasks: 1, CPU: 1000, MemMB: 1, Estimate: 200 * time.Millisecond, Timeout: 4 * time.Second,
	}
}

// drawJobOf draws a job of a queue of its own.
func (sim *simulation) drawJobOf(queue string, i, tasks, cpu, ms int, outcome string) dispatch.Job {
	q := testQueue()
	q.Name = queue
	return dispatch.Job{
		Name: fmt.Sprintf("%s%s%d", outcome, queue, i), Queue: q, Spec: fmt.Sprintf("%d,%d,%s", ms, cpu, outcome),
		Tasks: tasks, CPU: cpu, MemMB: 1, Estimate: time.Duration(ms) * time.Millisecond, Timeout: 2 * time.Second,
	}
}

// Guards against one class of requests, some of which crash each server that starts
// them, that takes the service from all other classes: 2.4 deadly jobs a second on
// eleven servers that are down for 3.3 s after each crash.
func TestHarmlessQueuesAreServedWhileOneQueueCrashesServers(t *testing.T) {
	for seed := range int64(3) {
		sim := newSimulationOf(rand.New(rand.NewSource(seed)), 11, 4)
		sim.fail = func(format string, args ...any) {
			t.Errorf("seed %d, at %v: %s", seed, sim.now, fmt.Sprintf(format, args...))
		}
		sim.run(2 * time.Second)
		every := func(interval time.Duration, submit func(i int)) {
			for i := range int(12 * time.Second / interval) {
				sim.after(time.Duration(i)*interval, func() { submit(i) })
			}
		}
		every(25*time.Millisecond, func(i int) { sim.submit(sim.drawJobOf("short", i, 2, 4000, 150, "ok")) })
		every(330*time.Millisecond, func(i int) { sim.submit(sim.drawJobOf("long", i, 4, 4000, 600, "ok")) })
		every(125*time.Millisecond, func(i int) {
			outcome, ms := "ok", 60
			if sim.now > 4*time.Second && sim.now < 11*time.Second && sim.rng.Intn(10) < 3 {
				outcome, ms = "crash", 8
			}
			sim.submit(sim.drawJobOf("mixed", i, 1, 3000, ms, outcome))
		})
		sim.run(20 * time.Second)
		t.Logf("seed %d: %v", seed, sim.counts)
		for _, queue := range []string{"short", "long"} {
			completed, refused := sim.counts[queue+" completed"], sim.counts[queue+" refused"]
			if completed < 9*(completed+refused)/10 {
				t.Errorf("seed %d: of queue %s %d jobs were completed and %d refused", seed, queue, completed, refused)
			}
		}
		if sim.counts["crashed"] < 3 {
			t.Errorf("seed %d: only %d servers crashed", seed, sim.counts["crashed"])
		}
	}
}
