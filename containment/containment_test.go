package containment_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/containment"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func task(job string) containment.Task { return containment.Task{Job: job} }

func crash(agent string, incarnation int64, losses ...containment.Loss) containment.ServerCrashed {
	return containment.ServerCrashed{Agent: agent, Incarnation: incarnation, Losses: losses}
}

// The users' bound: a task is started fewer than three times more after three servers
// have crashed under it.
func TestNoTaskSurvivesFiveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := containment.New()
		now := start
		for i := range 5 {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			ran := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ran")) * time.Millisecond
			tracker.Step(now, crash("agent", int64(i+1), containment.Loss{Task: task("job"), Queue: "q", Ran: ran, Started: rapid.Bool().Draw(t, "started")}))
		}
		if !tracker.Suspicion(task("job")).GiveUp() {
			t.Fatalf("a task with five crashes is not given up: %+v", tracker.Suspicion(task("job")))
		}
	})
}

func TestTaskIsNotGivenUpForCrashesOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := containment.New()
		for i := range rapid.IntRange(1, 50).Draw(t, "crashes") {
			tracker.Step(start, crash("agent", int64(i+1), containment.Loss{Task: task("other")}))
		}
		if s := tracker.Suspicion(task("job")); s != (containment.Suspicion{}) {
			t.Fatalf("evidence against a task that no server had started: %+v", s)
		}
	})
}

func TestLossesOfTasksAreForgotten(t *testing.T) {
	g := NewWithT(t)
	tracker := containment.New()
	tracker.Step(start, crash("agent", 1, containment.Loss{Task: task("job"), Started: true}))
	tracker.Step(start.Add(59*time.Second), crash("agent", 2, containment.Loss{Task: task("job"), Started: true}))
	tracker.Step(start.Add(61*time.Second), containment.Ticked{})
	g.Expect(tracker.Suspicion(task("job")).Crashes).To(Equal(2), "the last crash is recent")
	tracker.Step(start.Add(120*time.Second), containment.Ticked{})
	g.Expect(tracker.Suspicion(task("job")).Crashes).To(BeZero())
}
