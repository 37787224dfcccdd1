package coordinator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// BenchmarkTask is the cost of one task in an entry's reducer, from its part of
// the submission to its part of the answer, with agents and jobs in the state.
func BenchmarkTask(b *testing.B) {
	for _, agents := range []int{11, 100, 650} {
		for _, size := range []int{1, 50} {
			for _, jobs := range []int{10, 1000} {
				b.Run(fmt.Sprintf("agents=%d/tasks=%d/jobs=%d", agents, size, jobs), func(b *testing.B) {
					benchmarkTask(b, agents, size, jobs)
				})
			}
		}
	}
}

// taskBench keeps a number of jobs open and answers the oldest attempt.
type taskBench struct {
	b      *testing.B
	c      *Coordinator
	now    time.Time
	placed []placedRun
	open   int
	seq    uint64
	calls  CallID
}

type placedRun struct {
	agent structs.Incarnation
	ref   structs.TaskRef
}

func benchmarkTask(b *testing.B, agents, size, jobs int) {
	const slots = 8
	s := &taskBench{b: b, c: New(Config{Self: structs.EntryInfo{Incarnation: home}, Seed: 1, MaxQueueWait: time.Hour, MaxOpenTasks: 1 << 20}), now: start}
	s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: &document.Document{}})
	for i := range agents {
		s.step(AgentAnnounced{Info: structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Service: "booking", Slots: slots}})
	}
	sp := spec(size)
	sp.Timeout = 10 * time.Minute
	for s.open < jobs {
		s.submit(sp)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for s.open < jobs {
			s.submit(sp)
		}
		s.answer()
		if i%1000 == 0 {
			s.step(Ticked{})
		}
	}
}

func (s *taskBench) submit(sp structs.JobSpec) {
	s.calls++
	s.open++
	s.step(SubmitCalled{Call: s.calls, Spec: sp, Wait: true})
}

func (s *taskBench) answer() {
	s.now = s.now.Add(100 * time.Microsecond)
	run := s.placed[0]
	s.placed = s.placed[1:]
	s.seq++
	reply := structs.RunReply{
		Result:      structs.TaskResult{Verdict: structs.Ran},
		State:       structs.AgentState{Incarnation: run.agent, Slots: 8, Running: 8, Seq: s.seq, Revision: 1},
		ServiceTime: 100 * time.Millisecond,
	}
	s.step(RunReplied{Agent: run.agent, Ref: run.ref, Reply: reply})
}

func (s *taskBench) step(ev Event) {
	for _, eff := range s.c.Step(s.now, ev) {
		switch e := eff.(type) {
		case Run:
			ref := structs.TaskRef{Task: e.Request.Task, Attempt: e.Request.Attempt}
			s.placed = append(s.placed, placedRun{e.Agent, ref})
		case Reply:
			if e.Error != nil {
				s.b.Fatal(e.Error)
			}
			s.open--
		}
	}
}

// BenchmarkMemory is the memory that an entry's reducer keeps per agent and per
// open task.
func BenchmarkMemory(b *testing.B) {
	for _, agents := range []int{11, 100, 650} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { measureState(b, agents, 0) })
	}
	for _, tasks := range []int{1000, 10_000, 40_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { measureState(b, 11, tasks) })
	}
}

func measureState(b *testing.B, agents, tasks int) {
	for b.Loop() {
		before := heapBytes()
		s := &taskBench{b: b, c: New(Config{Self: structs.EntryInfo{Incarnation: home}, Seed: 1}), now: start}
		s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: &document.Document{}})
		for i := range agents {
			s.step(AgentAnnounced{Info: structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Service: "booking", Slots: 8}})
		}
		for n := 0; n < tasks; n += 50 {
			s.submit(spec(50))
		}
		b.ReportMetric(float64(heapBytes()-before), "B/state")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
