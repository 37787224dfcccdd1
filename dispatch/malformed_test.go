package dispatch_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// figure draws a number as a faulty peer may send it: small, extreme or any.
func figure() *rapid.Generator[int] {
	return rapid.OneOf(rapid.IntRange(-10, 100_000), rapid.SampledFrom([]int{0, -1, math.MinInt, math.MaxInt}), rapid.Int())
}

func malformedState() *rapid.Generator[session.State] {
	return rapid.Custom(func(t *rapid.T) session.State {
		s := session.State{
			Seq: rapid.Uint64Range(0, 20).Draw(t, "seq"), Ready: rapid.Bool().Draw(t, "ready"),
			FreeCPU: figure().Draw(t, "free"), Slowness: figure().Draw(t, "slowness"), Samples: figure().Draw(t, "samples"), Failing: figure().Draw(t, "failing"),
		}
		if rapid.Bool().Draw(t, "has identity") {
			s.Identity = &session.Identity{Service: rapid.SampledFrom([]string{"booking", ""}).Draw(t, "service"), Server: "s", Capacity: figure().Draw(t, "capacity")}
		}
		for range rapid.IntRange(0, 3).Draw(t, "running") {
			s.Running = append(s.Running, session.RunningTask{CPU: figure().Draw(t, "cpu"), Ms: figure().Draw(t, "ms")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "queue") {
			s.Queue = append(s.Queue, session.QueuedTask{CPU: figure().Draw(t, "cpu"), Ms: figure().Draw(t, "ms"), StartWithin: figure().Draw(t, "start")})
		}
		for range rapid.IntRange(0, 2).Draw(t, "laggards") {
			s.Laggards = append(s.Laggards, session.Straggler{ID: rapid.Uint64Range(0, 20).Draw(t, "id"), Ms: figure().Draw(t, "ms")})
		}
		for range rapid.IntRange(0, 2).Draw(t, "crashes") {
			s.Crashes = append(s.Crashes, malformedCrash().Draw(t, "crash"))
		}
		return s
	})
}

func malformedCrash() *rapid.Generator[session.Crash] {
	return rapid.Custom(func(t *rapid.T) session.Crash {
		c := session.Crash{Run: rapid.Int64().Draw(t, "run"), Ago: figure().Draw(t, "ago")}
		for range rapid.IntRange(0, 3).Draw(t, "tasks") {
			c.Tasks = append(c.Tasks, session.LostTask{
				Job: rapid.SampledFrom([]string{"", "j", "k"}).Draw(t, "lost job"), Index: figure().Draw(t, "index"),
				Queue: rapid.SampledFrom([]string{"", "holds"}).Draw(t, "queue name"), Ran: figure().Draw(t, "ran"), Started: rapid.Bool().Draw(t, "started"),
			})
		}
		rate := rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}).Draw(t, "rate")
		c.Starts = append(c.Starts, session.StartRate{Queue: "holds", PerSecond: rate})
		return c
	})
}

func malformedEvent(call dispatch.CallID) *rapid.Generator[dispatch.Event] {
	return rapid.Custom(func(t *rapid.T) dispatch.Event {
		id := dispatch.SessionID(rapid.Uint64Range(0, 3).Draw(t, "session"))
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			return dispatch.SessionOpened{ID: id, Agent: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "agent"), State: malformedState().Draw(t, "state")}
		case 1:
			return dispatch.SessionEnded{ID: id}
		case 2:
			return dispatch.OrderReplied{ID: id, Number: rapid.Uint64().Draw(t, "number"), State: malformedState().Draw(t, "state")}
		case 3:
			report := session.Report{Seq: rapid.Uint64().Draw(t, "seq"), ID: rapid.Uint64Range(0, 20).Draw(t, "id"), Outcome: session.Outcome(rapid.Uint8().Draw(t, "outcome"))}
			return dispatch.PollReplied{ID: id, Reply: session.PollReply{Reports: []session.Report{report, report}, State: malformedState().Draw(t, "state")}}
		case 4:
			return dispatch.SessionRetired{ID: id}
		case 5:
			return dispatch.Ticked{}
		}
		q := queue()
		q.Stretch = rapid.Float64().Draw(t, "stretch")
		q.Attempts = figure().Draw(t, "attempts")
		return dispatch.SubmitCalled{Call: call, Job: dispatch.Job{
			Name: rapid.SampledFrom([]string{"", "j", "k"}).Draw(t, "job"), Queue: q, Tasks: rapid.IntRange(1, 890).Draw(t, "tasks"),
			CPU: figure().Draw(t, "cpu"), Estimate: time.Duration(figure().Draw(t, "estimate")), MaxPerServer: figure().Draw(t, "max per server"),
			Timeout: time.Duration(rapid.IntRange(0, math.MaxInt32).Draw(t, "timeout")) * time.Millisecond,
		}}
	})
}

// One malformed message must not take the process down: whatever agents and callers
// send, a step returns.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := dispatch.New(dispatch.Options{Entry: "e", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
		now := start
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Millisecond)
			d.StepChecked(now, malformedEvent(dispatch.CallID(i)).Draw(t, "event"), dispatch.Callers{})
			d.NextWake()
			d.Dump(now)
			d.FreeShare()
		}
	})
}
