package taskrunner_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// figure draws a number as a faulty peer may send it: small, extreme or any.
func figure() *rapid.Generator[int] {
	return rapid.OneOf(rapid.IntRange(-10, 100_000), rapid.SampledFrom([]int{0, -1, math.MinInt, math.MaxInt}), rapid.Int())
}

// size draws the size of a task, mostly one that fits.
func size() *rapid.Generator[int] {
	return rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 1000), figure())
}

func malformedReading() *rapid.Generator[session.ClockReading] {
	return rapid.Custom(func(t *rapid.T) session.ClockReading {
		return session.ClockReading{Run: rapid.SampledFrom([]int64{1, 1, 0, 2}).Draw(t, "run"), Clock: time.Duration(rapid.OneOf(rapid.Just(int(time.Hour)), figure()).Draw(t, "clock"))}
	})
}

func malformedKey() *rapid.Generator[taskrunner.RunKey] {
	return rapid.Custom(func(t *rapid.T) taskrunner.RunKey {
		return taskrunner.RunKey{
			TaskKey: taskrunner.TaskKey{Job: rapid.SampledFrom([]string{"j", "j", ""}).Draw(t, "job"), Index: rapid.IntRange(-1, 1).Draw(t, "index")},
			Number:  rapid.SampledFrom([]int{1, 1, 1, 0, -1, 2}).Draw(t, "number"),
		}
	})
}

func malformedOrder() *rapid.Generator[session.OrderRequest] {
	return rapid.Custom(func(t *rapid.T) session.OrderRequest {
		o := session.OrderRequest{Echo: malformedReading().Draw(t, "echo"), Stop: rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 3).Draw(t, "stop"), Recall: rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 3).Draw(t, "recall")}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			key := malformedKey().Draw(t, "task")
			o.Start = append(o.Start, session.JobPart{
				Job: key.Job, Service: rapid.SampledFrom([]string{"booking", "booking", ""}).Draw(t, "service"),
				CPU: size().Draw(t, "cpu"), MemMB: size().Draw(t, "mem"), GPU: rapid.OneOf(rapid.Just(0), figure()).Draw(t, "gpu"),
				Estimate: time.Duration(rapid.OneOf(rapid.Just(int(time.Millisecond)), figure()).Draw(t, "estimate")), StartWithin: time.Duration(rapid.OneOf(rapid.Just(int(time.Second)), figure()).Draw(t, "start")),
				Tasks: []session.Placement{{ID: rapid.Uint64Range(0, 5).Draw(t, "id"), Index: key.Index, Attempt: key.Number}},
			})
		}
		return o
	})
}

func malformedEvent(call taskrunner.CallID) *rapid.Generator[taskrunner.Event] {
	return rapid.Custom(func(t *rapid.T) taskrunner.Event {
		id := rapid.SampledFrom([]uint64{1, 1, 1, 0, 2}).Draw(t, "session")
		incarnation := rapid.OneOf(rapid.Just[int64](1), rapid.Just[int64](1), rapid.Int64Range(-1, 1), rapid.SampledFrom([]int64{1, 1, 1, 1, 2})).Draw(t, "incarnation")
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			return taskrunner.HelloCalled{Call: call, Session: id, Request: session.HelloRequest{Incarnation: structs.Incarnation(rapid.Uint64Range(0, 2).Draw(t, "entry"))}}
		case 1, 2:
			return taskrunner.OrderCalled{Call: call, Session: id, Request: malformedOrder().Draw(t, "order")}
		case 3:
			return taskrunner.PollCalled{Call: call, Session: id, Request: session.PollRequest{Echo: malformedReading().Draw(t, "echo"), Seen: rapid.Uint64().Draw(t, "seen")}}
		case 4:
			return taskrunner.SessionClosed{Session: id}
		case 5:
			return taskrunner.ServerReported{Info: taskrunner.ServerInfo{
				ID: rapid.SampledFrom([]string{"", "s"}).Draw(t, "server"), Incarnation: incarnation, Seq: rapid.Int64().Draw(t, "seq"), Service: "booking",
				CPU:   rapid.OneOf(rapid.Just(20_000), figure()).Draw(t, "cpu"),
				MemMB: rapid.OneOf(rapid.Just(1000), figure()).Draw(t, "mem"), GPU: figure().Draw(t, "gpu"),
			}}
		case 6:
			return taskrunner.StartReplied{
				Key: malformedKey().Draw(t, "task"), Result: taskrunner.StartResult(rapid.SampledFrom([]uint8{1, 1, 0, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "result")),
				Clock: time.Duration(figure().Draw(t, "clock")), ServerIncarnation: incarnation,
			}
		case 7:
			e := taskrunner.RenewReplied{
				ID: rapid.Uint64Range(0, 30).Draw(t, "renewal"), OK: rapid.Bool().Draw(t, "ok"), Fenced: rapid.Bool().Draw(t, "fenced"),
				ServerIncarnation: incarnation, Clock: time.Duration(figure().Draw(t, "clock")),
			}
			for range rapid.IntRange(0, 2).Draw(t, "rows") {
				e.Running = append(e.Running, taskrunner.RunningRow{Key: malformedKey().Draw(t, "task"), Percent: figure().Draw(t, "percent")})
				e.Ended = append(e.Ended, taskrunner.EndRow{Index: rapid.Int64().Draw(t, "row"), Key: malformedKey().Draw(t, "task"), Outcome: taskrunner.EndOutcome(rapid.Uint8().Draw(t, "outcome"))})
			}
			return e
		case 8:
			return taskrunner.RecordLoaded{
				Server:   taskrunner.ServerInfo{ID: "s", Incarnation: incarnation, Service: "booking", CPU: figure().Draw(t, "cpu")},
				Baseline: taskrunner.Baseline{Slowness: figure().Draw(t, "slowness")},
			}
		}
		return taskrunner.Ticked{}
	})
}

// One malformed message must not take the process down: whatever entries and the
// backend server send, a step returns.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarnessForRapid()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 50, 50, 200, 400}).Draw(t, "wait")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "valid") > 0 {
				h.keepAlive()
			}
			h.step(malformedEvent(taskrunner.CallID(i)).Draw(t, "event"))
			h.runner.NextWake()
			h.runner.Dump(h.now)
		}
	})
}

// keepAlive renews the lease and polls in session 1, which it opens if necessary.
func (h *harness) keepAlive() {
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: 1, Clock: h.clock})
	if h.runner.OpenSessions() == 0 {
		h.step(taskrunner.HelloCalled{Call: 1000, Session: 1, Request: session.HelloRequest{Incarnation: 1}})
	}
	h.step(taskrunner.PollCalled{Call: 1001, Session: 1, Request: session.PollRequest{Echo: session.ClockReading{Run: 1, Clock: h.clock}}})
}

// newHarnessForRapid returns a harness whose runner accepts tasks.
func newHarnessForRapid() *harness {
	h := &harness{now: startTime, clock: time.Hour}
	h.runner = taskrunner.New(taskrunner.Options{
		Agent: "agent-1", Service: "booking", Token: 100, Lease: taskrunner.DefaultLease, SessionTTL: taskrunner.DefaultSessionTTL,
		RenewalWait: taskrunner.DefaultRenewalWait, PollWait: taskrunner.DefaultPollWait, StopTimeout: 50 * time.Millisecond,
	})
	h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: "s", Incarnation: 1, Seq: 1, Service: "booking", CPU: 20_000, MemMB: 1000}})
	h.step(taskrunner.RenewReplied{ID: 1, OK: true, ServerIncarnation: 1, Clock: h.clock})
	h.step(taskrunner.HelloCalled{Call: 1000, Session: 1, Request: session.HelloRequest{Incarnation: 1}})
	return h
}
