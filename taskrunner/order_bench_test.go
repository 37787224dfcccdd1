package taskrunner_test

import (
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// A task from its order to its end, while half of the server is in use and others wait.
func BenchmarkOrderedTask(b *testing.B) {
	now, clock := startTime, time.Hour
	m := taskrunner.New(taskrunner.Options{SessionTTL: time.Hour, PollWait: time.Hour, Lease: time.Hour, RenewalWait: time.Hour})
	m.Step(now, taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: "server", Incarnation: 1, Seq: 1, Service: "booking", CPU: 20_000, MemMB: 1000, Labels: []string{"a"}}})
	m.Step(now, taskrunner.RenewReplied{OK: true, ServerIncarnation: 1, Clock: clock})
	m.Step(now, taskrunner.HelloCalled{Session: 1, Request: session.HelloRequest{Incarnation: 1}})
	var id uint64
	order := func(job string, cpu int) {
		id++
		part := session.JobPart{Job: job, Service: "booking", CPU: cpu, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: time.Hour, Tasks: []session.Placement{{ID: id}}}
		m.Step(now, taskrunner.OrderCalled{Session: 1, Request: session.OrderRequest{Echo: session.ClockReading{Run: 1, Clock: clock}, Start: []session.JobPart{part}}})
	}
	for _, job := range []string{"r1", "r2", "w1", "w2", "w3", "w4"} {
		order(job, 6_000)
		m.Step(now, taskrunner.StartReplied{Key: runKey(job, 0), Result: taskrunner.StartAccepted, Clock: clock, ServerIncarnation: 1})
	}
	var ends int64
	b.ReportAllocs()
	for b.Loop() {
		ends++
		order("job", 1000)
		m.Step(now, taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartAccepted, Clock: clock, ServerIncarnation: 1})
		m.Step(now, taskrunner.RenewReplied{OK: true, ServerIncarnation: 1, Clock: clock, Ended: []taskrunner.EndRow{{Index: ends, Key: runKey("job", 0), Outcome: taskrunner.EndDone}}})
		m.Step(now, taskrunner.PollCalled{Session: 1, Request: session.PollRequest{Seen: uint64(ends)}})
	}
}
