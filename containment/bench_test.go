package containment_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/containment"
)

// reportOf returns the report of a crash with 32 tasks of jobs that no other report has.
func reportOf(i int) containment.ServerCrashed {
	ev := containment.ServerCrashed{Agent: agentName(i % 650), Service: "s", Servers: 650, Incarnation: int64(i + 1), At: start}
	for k := range 32 {
		ev.Losses = append(ev.Losses, containment.Loss{Task: task(fmt.Sprintf("%016x", i*32+k)), Queue: "q", Ran: 100 * time.Millisecond, Started: true})
	}
	return ev
}

func BenchmarkCrashReport(b *testing.B) {
	tracker := containment.New()
	for i := range b.N {
		tracker.Step(start.Add(time.Duration(i)*time.Millisecond), reportOf(i))
	}
}

func BenchmarkJobWithoutEvidence(b *testing.B) {
	tracker := containment.New()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		tracker.Step(now, containment.JobAdmitted{Queue: "q", Service: "s", Work: 1})
		tracker.Step(now, containment.JobCompleted{Queue: "q"})
	}
}

// BenchmarkMemory reports the memory of a tracker that remembers as many tasks as it may.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tracker := containment.New()
	for i := range 1000 {
		tracker.Step(start.Add(time.Duration(i)*time.Millisecond), reportOf(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
	runtime.KeepAlive(tracker)
}
