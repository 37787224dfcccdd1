package coordinator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// BenchmarkTask measures the cost of one task in an entry's reducer, from its
// share of the submission to its share of the answer, for several numbers of
// agents and open jobs.
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

// benchmarkDriver keeps a number of jobs open and answers the oldest
// outstanding attempt.
type benchmarkDriver struct {
	b           *testing.B
	c           *Coordinator
	now         time.Time
	outstanding []attempt
	openJobs    int
	seq         uint64
	calls       CallID
}

type attempt struct {
	agent structs.Incarnation
	ref   structs.TaskRef
}

func benchmarkTask(b *testing.B, agents, size, jobs int) {
	const slots = 8
	s := &benchmarkDriver{b: b, c: New(Options{Self: structs.EntryInfo{Incarnation: selfHome}, Seed: 1, MaxQueueWait: time.Hour, MaxOpenTasks: 1 << 20}), now: startTime}
	s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: &document.Document{}})
	for i := range agents {
		s.step(AgentAnnounced{Info: structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Service: "booking", Slots: slots}})
	}
	sp := jobSpec(size)
	sp.Timeout = 10 * time.Minute
	for s.openJobs < jobs {
		s.submit(sp)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for s.openJobs < jobs {
			s.submit(sp)
		}
		s.answer()
		if i%1000 == 0 {
			s.step(Ticked{})
		}
	}
}

func (s *benchmarkDriver) submit(sp structs.JobSpec) {
	s.calls++
	s.openJobs++
	s.step(SubmitCalled{Call: s.calls, Spec: sp, Wait: true})
}

func (s *benchmarkDriver) answer() {
	s.now = s.now.Add(100 * time.Microsecond)
	run := s.outstanding[0]
	s.outstanding = s.outstanding[1:]
	s.seq++
	reply := structs.RunReply{
		Result:      structs.TaskResult{Verdict: structs.Ran},
		State:       structs.AgentState{Incarnation: run.agent, Slots: 8, Running: 8, Seq: s.seq, Revision: 1},
		ServiceTime: 100 * time.Millisecond,
	}
	s.step(RunReplied{Agent: run.agent, Ref: run.ref, Reply: reply})
}

func (s *benchmarkDriver) step(ev Event) {
	for _, eff := range s.c.Step(s.now, ev) {
		switch e := eff.(type) {
		case Run:
			ref := structs.TaskRef{Task: e.Request.Task, Attempt: e.Request.Attempt}
			s.outstanding = append(s.outstanding, attempt{e.Agent, ref})
		case Reply:
			if e.Error != nil {
				s.b.Fatal(e.Error)
			}
			s.openJobs--
		}
	}
}

// BenchmarkMemory measures the memory that an entry's reducer uses per agent
// and per open task.
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
		s := &benchmarkDriver{b: b, c: New(Options{Self: structs.EntryInfo{Incarnation: selfHome}, Seed: 1}), now: startTime}
		s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: &document.Document{}})
		for i := range agents {
			s.step(AgentAnnounced{Info: structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Service: "booking", Slots: 8}})
		}
		for n := 0; n < tasks; n += 50 {
			s.submit(jobSpec(50))
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
