package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// BenchmarkDelayedSubmissions measures the step of an entry that has just started and hears of cancels
// while submissions wait for that.
func BenchmarkDelayedSubmissions(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				d := dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, AwaitCancels: true, AnswerRetention: dispatch.DefaultAnswerRetention})
				for i := range n {
					d.Step(start, dispatch.SubmitCalled{Call: dispatch.CallID(i + 1), Job: dispatch.Job{Name: fmt.Sprint("job-", i), Queue: queue(), Tasks: 1, CPU: 1000, Estimate: 100 * time.Millisecond}})
				}
				b.StartTimer()
				d.StepChecked(start.Add(time.Millisecond), dispatch.CancelsLearned{From: "entry-2", All: true}, dispatch.Callers{})
			}
		})
	}
}
