package executor_test

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// memoryBudget is the memory target of an agent. Payloads and results in flight
// outside the executor need a part of it.
const memoryBudget = 64 << 20

// maxDumpBytes bounds a dump to what an operator can read in a terminal.
const maxDumpBytes = 256 << 10

// flood sends n hostile requests. They come from more than MaxHomes homes, which
// never settle a job, and their results together exceed MaxResultBytes.
func flood(exec *executor.Executor, n int) {
	rng := rand.New(rand.NewPCG(1, 2))
	now := epoch
	call := executor.CallID(0)
	for range n {
		call++
		now = now.Add(time.Millisecond)
		id := structs.TaskID{
			Job:   structs.JobID{Home: structs.Incarnation(1 + rng.IntN(1<<15)), Seq: 1 + rng.Uint64N(2)},
			Index: rng.IntN(structs.MaxTasksPerJob),
		}
		switch rng.IntN(16) {
		case 0, 1, 2, 3:
			refs := []structs.TaskRef{ref(id, 1)}
			req := structs.SettleRequest{Agent: agentIncarnation, Home: id.Job.Home, Tasks: refs}
			exec.Step(now, executor.SettleCalled{Call: call, Request: req})
		case 4:
			exec.Step(now, executor.FenceCalled{Call: call, Request: structs.FenceRequest{Agent: agentIncarnation, Job: id.Job, Close: true}})
		default:
			runAndFinish(exec, now, call, id)
		}
	}
}

func runAndFinish(exec *executor.Executor, now time.Time, call executor.CallID, id structs.TaskID) {
	req := request(id, 1)
	req.Spec.Payload = make([]byte, 1024)
	for _, ef := range exec.Step(now, executor.RunCalled{Call: call, Request: req}) {
		if st, ok := ef.(executor.StartTask); ok {
			res := structs.TaskResult{Verdict: structs.Ran, Body: make([]byte, 4096)}
			exec.Step(now, executor.TaskFinished{Task: st.Task, Result: res})
		}
	}
}

func TestFloodStaysWithinMemoryBudget(t *testing.T) {
	g := NewWithT(t)
	opts := testOptions()
	before := heapBytes()
	exec := executor.New(opts)
	flood(exec, 300_000)
	d := exec.Dump()
	g.Expect(d.Homes).To(Equal(opts.MaxHomes), "the requests reach the limit")
	g.Expect(d.Records).To(Equal(opts.MaxRecords), "the requests reach the limit")
	g.Expect(d.Jobs).To(BeNumerically("<=", opts.MaxJobs))
	g.Expect(d.Fences).To(BeNumerically("<=", opts.MaxFences))
	g.Expect(d.ResultBytes).To(BeNumerically("<=", opts.MaxResultBytes))
	dump, err := json.Marshal(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(dump)).To(BeNumerically("<", maxDumpBytes))
	g.Expect(heapBytes() - before).To(BeNumerically("<", memoryBudget))
	runtime.KeepAlive(exec)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkFlood reports the heap of an executor at its limits.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		exec := executor.New(testOptions())
		flood(exec, 300_000)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "heap-MB")
		runtime.KeepAlive(exec)
	}
}
