package dispatch_test

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// messagesOfAgent holds one reply of each kind, as decoded from a connection.
type messagesOfAgent struct {
	Hello session.HelloReply
	Order session.OrderReply
	Poll  session.PollReply
}

// FuzzMessages: whatever an agent sends, an entry goes on and answers its callers.
func FuzzMessages(f *testing.F) {
	state := session.State{
		Seq: 1, Identity: &session.Identity{Service: "booking", Server: "s", Labels: []string{"a"}, Rack: "r", Capacity: math.MaxInt, MemMB: -1, GPU: math.MinInt},
		Ready: true, FreeCPU: 20_000, FreeMem: 1000, Slowness: math.MaxInt, Samples: 9, Failing: -1, Broken: math.MaxInt, ColdMs: math.MaxInt, OthersCPU: math.MaxUint64,
		Running:  []session.RunningTask{{CPU: math.MaxInt, Ms: math.MinInt}, {CPU: -1, Ms: 5}},
		Queue:    []session.QueuedTask{{ID: 1, CPU: -1, Ms: math.MaxInt, StartWithin: -1, Priority: math.MinInt}},
		RunTimes: []session.RunTimes{{Queue: "holds", Samples: -1, Ratios: []int{math.MaxInt, 0, -1}}},
		Crashes:  []session.Crash{{Run: 1, Ago: -1, Tasks: []session.LostTask{{Job: "j", Index: -1, Queue: "holds", Ran: -1}}, Starts: []session.StartRate{{Queue: "holds", PerSecond: math.Inf(1)}}}},
		Laggards: []session.Straggler{{ID: 1, Ms: math.MaxInt}},
	}
	var seed bytes.Buffer
	err := gob.NewEncoder(&seed).Encode(messagesOfAgent{
		Hello: session.HelloReply{Agent: "a", Zone: "z", State: state}, Order: session.OrderReply{State: state},
		Poll: session.PollReply{Reports: []session.Report{{Seq: 1, ID: 1, Outcome: 99, Ran: -1}, {Seq: 1, ID: 1, Outcome: session.Done, Ran: math.MinInt64}}, State: state},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var m messagesOfAgent
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&m) != nil {
			return
		}
		for _, scheduling := range []dispatch.Scheduling{{}, {RunTimes: true}} {
			answered := false
			d := dispatch.New(dispatch.Options{Entry: "e", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention, Scheduling: scheduling})
			now := start
			step := func(ev dispatch.Event) {
				for _, ef := range d.StepChecked(now, ev, dispatch.Callers{}) {
					switch ef.(type) {
					case dispatch.Answered, dispatch.Refused:
						answered = true
					}
				}
				d.NextWake()
				d.Dump(now)
				now = now.Add(20 * time.Millisecond)
			}
			step(dispatch.SessionOpened{ID: 1, Agent: m.Hello.Agent, Zone: m.Hello.Zone, State: m.Hello.State})
			step(dispatch.SubmitCalled{Call: 1, Job: dispatch.Job{Name: "j", Queue: queue(), Tasks: 2, CPU: 1000, Estimate: 50 * time.Millisecond, Timeout: time.Second}})
			step(dispatch.OrderReplied{ID: 1, Number: 1, State: m.Order.State})
			step(dispatch.PollReplied{ID: 1, Reply: m.Poll})
			step(dispatch.SessionEnded{ID: 1, LastHeard: now})
			for range 200 {
				step(dispatch.Ticked{})
			}
			if !answered {
				t.Error("the job has no answer after 4 s")
			}
		}
	})
}
