package executor_test

import (
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// BenchmarkTask is one task through the reducer: Run, TaskFinished, and a share
// of the watermark that drops it. Run it with
//
//	go test -run '^$' -bench Task -benchmem ./executor
func BenchmarkTask(b *testing.B) {
	const tasksPerJob = 50
	exec := executor.New(testOptions())
	now := epoch
	b.ReportAllocs()
	for i := range b.N {
		id := task(uint64(i/tasksPerJob)+1, i%tasksPerJob)
		req := request(id, 1)
		req.Watermark = id.Job.Seq
		now = now.Add(time.Millisecond)
		exec.Step(now, executor.RunCalled{Call: executor.CallID(i + 1), Request: req})
		exec.Step(now, executor.TaskFinished{Task: id, Result: structs.TaskResult{Verdict: structs.Ran}})
	}
}

// BenchmarkRefusal is one Run refused for lack of capacity.
func BenchmarkRefusal(b *testing.B) {
	exec := executor.New(testOptions())
	for i := range 2 {
		exec.Step(epoch, executor.RunCalled{Call: executor.CallID(i + 1), Request: request(task(1, i), 1)})
	}
	b.ReportAllocs()
	for i := range b.N {
		req := request(task(uint64(i)+2, 0), 1)
		exec.Step(epoch, executor.RunCalled{Call: executor.CallID(i + 3), Request: req})
	}
}

// BenchmarkSettle asks for 100 running or unknown tasks at once.
func BenchmarkSettle(b *testing.B) {
	exec := executor.New(testOptions())
	refs := make([]structs.TaskRef, 100)
	for i := range refs {
		refs[i] = ref(task(1, i), 1)
	}
	b.ReportAllocs()
	for i := range b.N {
		req := structs.SettleRequest{Agent: me, Home: home, Tasks: refs}
		exec.Step(epoch, executor.SettleCalled{Call: executor.CallID(i + 1), Request: req})
	}
}
