package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guards against a plan that differs from that of the whole timeline, which is not built
// while no task has to wait.
func TestCandidateWithoutTimelinePlansAsWithOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cpu := rapid.OneOf(rapid.IntRange(-2000, 12_000), rapid.Int())
		ms := rapid.IntRange(-100, 1000)
		d := New(Options{})
		d.now = time.Unix(1000, 0)
		a := &agent{stateAsOf: d.now.Add(-time.Duration(ms.Draw(t, "age")) * time.Millisecond), unacknowledged: make(map[uint64]*placement)}
		a.state.FreeCPU = rapid.IntRange(-5000, 64_000).Draw(t, "free")
		for range rapid.IntRange(0, 4).Draw(t, "running") {
			a.state.Running = append(a.state.Running, session.RunningTask{CPU: cpu.Draw(t, "cpu"), Ms: ms.Draw(t, "ms")})
		}
		for range rapid.IntRange(0, 4).Draw(t, "queued") {
			a.state.Queue = append(a.state.Queue, session.QueuedTask{CPU: cpu.Draw(t, "cpu"), Ms: ms.Draw(t, "ms"), StartWithin: ms.Draw(t, "start")})
		}
		for i := range uint64(rapid.IntRange(0, 4).Draw(t, "unacknowledged")) {
			a.unacknowledged[i] = &placement{id: i, agent: a, job: &job{Job: Job{CPU: cpu.Draw(t, "cpu"), Estimate: time.Second}}}
		}
		j := &job{Job: Job{CPU: cpu.Draw(t, "job")}}
		within := time.Duration(ms.Draw(t, "within")) * time.Millisecond
		c := &candidate{agent: a, spare: a.spareCPU(), dispatcher: d, within: within, runTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "run")) * time.Millisecond}
		whole := d.capacityTimeline(a, d.queuedAhead(a, within))
		for range 12 {
			start, ok := c.earliestStart(j.CPU)
			if wantStart, want := whole.EarliestStart(j.CPU); start != wantStart || ok != want {
				t.Fatalf("a task starts after %v (%t), by the whole timeline after %v (%t)", start, ok, wantStart, want)
			}
			c.reserve(j)
			whole.Reserve(j.CPU, c.runTime)
		}
	})
}
