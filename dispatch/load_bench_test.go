package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// BenchmarkSubmit measures placing and answering a job of eight tasks on busy
// servers.
func BenchmarkSubmit(b *testing.B) {
	for _, s := range []struct {
		agents           int
		spread, runTimes bool
	}{{11, false, false}, {72, false, false}, {72, true, false}, {72, false, true}} {
		agents := s.agents
		b.Run(fmt.Sprintf("agents=%d,spread=%t,run_times=%t", agents, s.spread, s.runTimes), func(b *testing.B) {
			d := dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention,
				Scheduling: dispatch.Scheduling{Spread: s.spread, RunTimes: s.runTimes}})
			now := start
			var seq uint64
			state := func() session.State {
				seq++
				return session.State{
					Seq: seq, Ready: true, Identity: &session.Identity{Service: "booking", Capacity: 64_000}, FreeCPU: 20_000, FreeMem: 1 << 20,
					Slowness: 1000, Samples: 100,
					Running: []session.RunningTask{{CPU: 6800, Ms: 20}, {CPU: 6800, Ms: 40}, {CPU: 6800, Ms: 60}, {CPU: 6800, Ms: 90}, {CPU: 6800, Ms: 200}, {CPU: 12_000, Ms: 700}},
				}
			}
			for i := range agents {
				st := state()
				st.RunTimes = []session.RunTimes{{Queue: queue().Name, Samples: 400, Ratios: []int{500, 600, 650, 750, 1000, 1200, 1350, 1400, 2000, 5000, 6500, 7000}}}
				d.Step(now, dispatch.SessionOpened{ID: dispatch.SessionID(i + 1), Agent: fmt.Sprintf("agent-%d", i), Zone: "zone-a", State: st})
			}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				effects := d.Step(now, dispatch.SubmitCalled{Call: dispatch.CallID(i + 1), Job: dispatch.Job{
					Name: fmt.Sprintf("job-%d", i), Queue: queue(), Tasks: 8, CPU: 6800, MemMB: 64, Estimate: 60 * time.Millisecond, Timeout: 3 * time.Second,
				}})
				for _, ef := range effects {
					o, ok := ef.(dispatch.Order)
					if !ok {
						continue
					}
					d.Step(now, dispatch.OrderReplied{ID: o.ID, Number: o.Number, State: state()})
					var reports []session.Report
					for _, part := range o.Start {
						for _, t := range part.Tasks {
							reports = append(reports, session.Report{ID: t.ID, Outcome: session.Done})
						}
					}
					d.Step(now, dispatch.PollReplied{ID: o.ID, Reply: session.PollReply{Reports: reports, State: state()}})
				}
			}
		})
	}
}

// BenchmarkPollBesideOpenJobs measures a poll's reply without reports beside jobs that
// run.
func BenchmarkPollBesideOpenJobs(b *testing.B) {
	for _, jobs := range []int{10, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			d := dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
			state := session.State{Seq: 1, Ready: true, FreeCPU: 64_000, Identity: &session.Identity{Service: "booking", Capacity: 64_000}, Slowness: 1000, Samples: 100}
			d.Step(start, dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: state})
			for i := range jobs {
				d.Step(start, dispatch.SubmitCalled{Call: dispatch.CallID(i + 1), Job: dispatch.Job{
					Name: fmt.Sprintf("job-%d", i), Queue: queue(), Tasks: 2, CPU: 1, Estimate: 60 * time.Millisecond, Timeout: 3 * time.Second,
				}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				state.Seq++
				d.Step(start, dispatch.PollReplied{ID: 1, Reply: session.PollReply{State: state}})
				d.NextWake()
			}
		})
	}
}
