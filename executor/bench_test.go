package executor_test

import (
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// BenchmarkTask measures one task in the reducer: Run, TaskFinished, and its
// share of the watermark update that drops its job. Run it with
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

// BenchmarkRefusal measures one Run that is refused for lack of capacity.
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

// BenchmarkSettle measures a SettleRequest for 100 tasks that have no record.
func BenchmarkSettle(b *testing.B) {
	exec := executor.New(testOptions())
	refs := make([]structs.TaskRef, 100)
	for i := range refs {
		refs[i] = ref(task(1, i), 1)
	}
	b.ReportAllocs()
	for i := range b.N {
		req := structs.SettleRequest{Agent: agentIncarnation, Home: home, Tasks: refs}
		exec.Step(epoch, executor.SettleCalled{Call: executor.CallID(i + 1), Request: req})
	}
}
