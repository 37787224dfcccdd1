package guard_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const serverRun = 7000

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench steps a guard whose server has 20 cores.
type bench struct {
	*GomegaWithT
	guard *guard.Guard
	now   time.Time
	clock time.Duration // of the server
	last  []guard.Effect
	call  guard.CallID
}

func newBench(t *testing.T) *bench {
	b := &bench{GomegaWithT: NewWithT(t), now: start, clock: time.Hour}
	b.guard = guard.New(guard.Options{
		Agent: "agent-1", Incarnation: 1, Service: "booking", Token: 100,
		Lease: guard.DefaultLease, SessionTTL: guard.DefaultSessionTTL, LookWait: guard.DefaultLookWait,
		PollWait: guard.DefaultPollWait, StopTimeout: 50 * time.Millisecond,
	})
	return b
}

func (b *bench) step(ev guard.Event) []guard.Effect {
	b.last = b.guard.Step(b.now, ev)
	return b.last
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.clock += d
}

// effects returns the effects of a type among those of the last step.
func effects[T guard.Effect](b *bench) []T {
	var list []T
	for _, ef := range b.last {
		if v, ok := ef.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

func (b *bench) heartbeat(seq int64, draining bool) {
	b.step(guard.ServerReported{Info: guard.ServerInfo{
		ID: "server-1", Run: serverRun, Seq: seq, Service: "booking", Draining: draining, CPU: 20_000, MemMB: 1000,
	}})
}

// looked answers the newest look.
func (b *bench) looked(id uint64, running []guard.RunningRow, ended ...guard.EndRow) {
	b.step(guard.LookReplied{ID: id, OK: true, Server: serverRun, Clock: b.clock, Running: running, Ended: ended})
}

func (b *bench) lookID() uint64 {
	looks := effects[guard.Look](b)
	b.Expect(looks).NotTo(BeEmpty(), "no look was sent")
	return looks[len(looks)-1].ID
}

// ready brings the guard to where tasks may start, with one open session.
func (b *bench) ready() {
	b.step(guard.Ticked{})
	id := b.lookID()
	b.heartbeat(1, false)
	b.looked(id, nil)
	b.open(1, 11)
}

func (b *bench) open(id uint64, entry structs.Incarnation) {
	b.call++
	b.step(guard.HelloCalled{Call: b.call, Session: id, Request: session.HelloRequest{Entry: "entry", Incarnation: entry}})
	b.Expect(effects[guard.ReplyHello](b)).To(HaveLen(1))
}

func (b *bench) echo() session.ClockReading {
	return session.ClockReading{Run: serverRun, Clock: b.clock}
}

func (b *bench) order(sess uint64, echo session.ClockReading, job string, cpu int, ids ...uint64) {
	part := session.JobPart{Job: job, Service: "booking", CPU: cpu, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: 300 * time.Millisecond}
	for i, id := range ids {
		part.Tasks = append(part.Tasks, session.Placement{ID: id, Index: i, Attempt: 1})
	}
	b.call++
	b.step(guard.OrderCalled{Call: b.call, Session: sess, Request: session.OrderRequest{Echo: echo, Start: []session.JobPart{part}}})
}

func key(job string, index int) guard.RunKey {
	return guard.RunKey{TaskKey: guard.TaskKey{Job: job, Index: index}, Number: 1}
}

func (b *bench) accepted(k guard.RunKey) {
	b.step(guard.StartReplied{Key: k, Result: guard.StartAccepted, Clock: b.clock, Server: serverRun})
}

// reports polls and returns the reports.
func (b *bench) reports(sess uint64) []session.Report {
	b.call++
	b.step(guard.PollCalled{Call: b.call, Session: sess, Request: session.PollRequest{Echo: b.echo()}})
	var list []session.Report
	for _, r := range effects[guard.ReplyPoll](b) {
		list = append(list, r.Reply.Reports...)
	}
	return list
}

// The end of a lease counts from the newest reading of the server's clock, so
// that a call which is delayed, or made by an agent that was suspended, has
// passed when it arrives.
func TestStartEndsItsLeaseByTheServersClock(t *testing.T) {
	b := newBench(t)
	b.ready()
	read := b.clock
	b.pass(40 * time.Millisecond)
	b.order(1, session.ClockReading{Run: serverRun, Clock: read}, "job", 1000, 1)
	starts := effects[guard.StartRun](b)
	b.Expect(starts).To(HaveLen(1))
	b.Expect(starts[0].Until).To(Equal(read + guard.DefaultLease))
}

func TestOldOrderStartsNothing(t *testing.T) {
	b := newBench(t)
	b.ready()
	old := b.echo()
	b.pass(100 * time.Millisecond)
	for range 6 {
		b.step(guard.Ticked{})
		b.looked(b.lookID(), nil)
		b.reports(1) // keeps the session alive
		b.pass(100 * time.Millisecond)
	}
	b.order(1, old, "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(HaveLen(1), "an order is as fresh as the newest echo of its session")

	b.open(2, 12)
	b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun, Clock: b.clock + 600*time.Millisecond})
	b.order(2, old, "late", 1000, 2)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
}

func TestCapacityCountsWhatIsBeingStopped(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "first", 15_000, 1)
	b.accepted(key("first", 0))
	b.call++
	b.step(guard.OrderCalled{Call: b.call, Session: 1, Request: session.OrderRequest{Echo: b.echo(), Stop: []uint64{1}}})
	b.Expect(effects[guard.StopRun](b)).To(HaveLen(1))
	b.order(1, b.echo(), "second", 15_000, 2)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty(), "the first is still there")
	b.step(guard.StopReplied{Key: key("first", 0), OK: true, Clock: b.clock})
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty(), "its end is not listed yet")
	b.looked(b.lookID(), nil, guard.EndRow{N: 1, Key: key("first", 0), How: guard.EndStopped})
	b.Expect(effects[guard.StartRun](b)).To(HaveLen(1))
}

// One order in fifteen gets no answer while orders are carried out late.
func TestUnansweredStartIsSentAgainThenStopped(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	for range 2 {
		b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartUnknown})
		again := effects[guard.StartRun](b)
		b.Expect(again).To(HaveLen(1))
		b.Expect(again[0].Key).To(Equal(key("job", 0)), "the same run starts once")
	}
	b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartUnknown})
	b.Expect(effects[guard.StopRun](b)).To(HaveLen(1))
	b.Expect(b.reports(1)).To(BeEmpty(), "it may still start")
	b.step(guard.StopReplied{Key: key("job", 0), OK: true, Clock: b.clock})
	b.looked(b.lookID(), nil)
	b.Expect(b.reports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

// A short task may have run and ended before its start is sent again: the
// server then calls the run old. It must not get another number.
func TestOldAfterAnUnansweredStartIsTheSameRun(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartUnknown})
	b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartOld, Clock: b.clock})
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
	b.looked(b.lookID(), nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndDone})
	b.Expect(b.reports(1)).To(ConsistOf(HaveField("Outcome", session.Done)))
}

func TestOldAtTheFirstStartTakesAnotherNumber(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartOld, Clock: b.clock})
	b.Expect(effects[guard.StartRun](b)).To(ConsistOf(HaveField("Key.Number", 2)))
}

// A server that refuses connections answers at once, and would be asked without
// end.
func TestRefusedStopIsRetriedAfterAPause(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	b.step(guard.SessionGone{Session: 1})
	b.Expect(effects[guard.StopRun](b)).To(HaveLen(1))
	b.step(guard.StopReplied{Key: key("job", 0), Reason: "connection refused"})
	b.Expect(effects[guard.StopRun](b)).To(BeEmpty())
	b.Expect(b.guard.NextWake().Sub(b.now)).To(BeNumerically("<=", 20*time.Millisecond))
	b.pass(20 * time.Millisecond)
	b.step(guard.Ticked{})
	b.Expect(effects[guard.StopRun](b)).To(HaveLen(1))
}

func TestStoppedStartThatRanIsNotCalledNotStarted(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	for range 3 {
		b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartUnknown})
	}
	b.step(guard.StopReplied{Key: key("job", 0), OK: true, Clock: b.clock})
	b.looked(b.lookID(), nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndStopped})
	b.Expect(b.reports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
}

func TestOverdueLookGetsAnotherBesideIt(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.step(guard.Ticked{})
	b.pass(guard.DefaultLookWait + 10*time.Millisecond)
	b.step(guard.Ticked{})
	b.Expect(effects[guard.Look](b)).To(BeEmpty())
	b.pass(15 * time.Millisecond)
	b.step(guard.Ticked{})
	b.Expect(effects[guard.Look](b)).To(HaveLen(1))
}

func TestRunsOfAnEarlierAgentAreStoppedFirst(t *testing.T) {
	b := newBench(t)
	b.step(guard.Ticked{})
	id := b.lookID()
	b.heartbeat(1, false)
	foreign := guard.RunningRow{Key: key("old", 3)}
	b.call++
	b.step(guard.HelloCalled{Call: b.call, Session: 1, Request: session.HelloRequest{Incarnation: 11}})
	b.looked(id, []guard.RunningRow{foreign})
	b.Expect(effects[guard.StopRun](b)).To(ConsistOf(HaveField("Key", foreign.Key)))
	b.Expect(effects[guard.ReplyHello](b)).To(BeEmpty())
	b.pass(60 * time.Millisecond)
	b.step(guard.Ticked{})
	looks := effects[guard.Look](b)
	b.Expect(looks).To(HaveLen(1))
	b.Expect(looks[0].Until).To(BeZero(), "the lease of foreign runs is not renewed")
	b.looked(looks[0].ID, nil)
	b.Expect(effects[guard.ReplyHello](b)).To(HaveLen(1))
}

func TestRefusedTokenIsRaised(t *testing.T) {
	b := newBench(t)
	b.step(guard.Ticked{})
	b.step(guard.LookReplied{ID: b.lookID(), Fenced: true})
	looks := effects[guard.Look](b)
	b.Expect(looks).To(HaveLen(1))
	b.Expect(looks[0].Token).To(BeNumerically(">", 100))
}

func TestEndOfASessionStopsItsTasks(t *testing.T) {
	for name, end := range map[string]func(*bench){
		"connection closed": func(b *bench) { b.step(guard.SessionGone{Session: 1}) },
		"nothing heard": func(b *bench) {
			for left := guard.DefaultSessionTTL + time.Millisecond; left > 0; left -= 100 * time.Millisecond {
				b.Expect(effects[guard.StopRun](b)).To(BeEmpty())
				b.pass(min(left, 100*time.Millisecond))
				b.looked(0, []guard.RunningRow{{Key: key("job", 0), Percent: int(left / time.Millisecond)}})
			}
		},
		"agent was suspended, its clock stood still": func(b *bench) {
			b.clock += 2 * time.Second
			b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun, Clock: b.clock, Running: []guard.RunningRow{{Key: key("job", 0)}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.ready()
			b.order(1, b.echo(), "job", 1000, 1)
			b.accepted(key("job", 0))
			end(b)
			b.Expect(effects[guard.StopRun](b)).To(ConsistOf(HaveField("Key", key("job", 0))))
		})
	}
}

// A new session of an entry means that nothing of the one before runs.
func TestHelloWaitsForTheTasksOfTheSessionBefore(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	b.call++
	b.step(guard.HelloCalled{Call: b.call, Session: 2, Request: session.HelloRequest{Incarnation: 11}})
	b.Expect(effects[guard.StopRun](b)).To(HaveLen(1))
	b.Expect(effects[guard.ReplyHello](b)).To(BeEmpty())
	b.step(guard.StopReplied{Key: key("job", 0), OK: true, Clock: b.clock})
	b.looked(b.lookID(), nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndStopped})
	b.Expect(effects[guard.ReplyHello](b)).To(HaveLen(1))
}

func TestNewRunOfTheServerEndsAllTasks(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun + 1, Clock: time.Second})
	b.Expect(b.reports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
	b.order(1, b.echo(), "next", 1000, 2)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty(), "the new run has not registered")
}

// A server that was born again accepts orders before the agent knows.
func TestStartAcceptedByANewRunIsNotLost(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.step(guard.StartReplied{Key: key("job", 0), Result: guard.StartAccepted, Clock: time.Second, Server: serverRun + 1})
	b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun + 1, Clock: time.Second, Running: []guard.RunningRow{{Key: key("job", 0)}}})
	b.Expect(effects[guard.StopRun](b)).To(BeEmpty())
	b.Expect(b.reports(1)).To(BeEmpty())
}

func TestStartWithoutAnswerMayBeAtTheNewRun(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	token := effects[guard.StartRun](b)[0].Token
	b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun + 1, Clock: time.Second})
	stops := effects[guard.StopRun](b)
	b.Expect(stops).To(HaveLen(1))
	b.Expect(stops[0].Token).To(BeNumerically(">", token), "a late order must not pass any more")
	b.Expect(b.reports(1)).To(BeEmpty(), "it may run at the new run")
}

func TestHeartbeatOfAnEarlierRunIsIgnored(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.step(guard.ServerReported{Info: guard.ServerInfo{ID: "server-0", Run: serverRun - 1, Seq: 90, Service: "booking", Draining: true, CPU: 1}})
	b.order(1, b.echo(), "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(HaveLen(1))
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.heartbeat(2, true)
	b.order(1, b.echo(), "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
	b.Expect(b.reports(1)).To(ConsistOf(HaveField("Outcome", session.NotStarted)))
}

func TestTaskWithoutProgressIsStopped(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	for range 7 {
		b.pass(70 * time.Millisecond)
		b.reports(1)
		b.looked(0, []guard.RunningRow{{Key: key("job", 0), Percent: 3}})
		if len(effects[guard.StopRun](b)) > 0 {
			return
		}
	}
	b.Expect(false).To(BeTrue(), "it was not stopped")
}

// A server that seemed slow for its first few tasks got no more, and so never
// showed that it was not: a quarter of the capacity stood idle on a heavy day.
func TestLearnedSlownessFades(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	for range 5 {
		b.pass(100 * time.Millisecond)
		b.reports(1)
		b.looked(0, []guard.RunningRow{{Key: key("job", 0), Percent: int(b.now.Sub(start) / (10 * time.Millisecond))}})
	}
	b.looked(0, nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndDone})
	slow := b.state().Slowness
	b.Expect(slow).To(BeNumerically(">", 1200))
	b.pass(10 * time.Second)
	b.open(2, 12)
	b.Expect(b.state().Slowness).To(BeNumerically("<", 1100))
}

// An agent that restarts knows its server's speed from the one before it; a
// server of another kind starts as an ordinary one.
func TestUsualSpeedIsRemembered(t *testing.T) {
	for name, c := range map[string]struct {
		labels   []string
		slowness int
	}{
		"same kind":  {nil, 1600},
		"other kind": {[]string{"b"}, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.ready()
			b.step(guard.Recalled{Usual: guard.Usual{Slowness: 1600, Labels: c.labels}})
			b.Expect(b.state().Slowness).To(Equal(c.slowness))
		})
	}
}

// A server that turns slow shows it before its first task has ended.
func TestProgressTellsOfASlowServer(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1, 2, 3, 4)
	var rows []guard.RunningRow
	for i := range 4 {
		b.accepted(key("job", i))
		rows = append(rows, guard.RunningRow{Key: key("job", i), Percent: 8})
	}
	b.pass(50 * time.Millisecond)
	b.looked(0, rows)
	b.call++
	b.step(guard.OrderCalled{Call: b.call, Session: 1, Request: session.OrderRequest{Echo: b.echo()}})
	st := effects[guard.ReplyOrder](b)[0].Reply.State
	b.Expect(st.Slowness).To(BeNumerically(">", 2000))
	b.Expect(st.Laggards).To(HaveLen(4))
	b.Expect(st.Laggards[0].Ms).To(BeNumerically("~", 575, 5))
}

// Looks overlap: an answer that was overtaken shows tasks that have ended since.
func TestOvertakenAnswerStopsNothing(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	before := b.clock
	b.pass(50 * time.Millisecond)
	b.looked(0, nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndDone})
	b.step(guard.LookReplied{ID: 0, OK: true, Server: serverRun, Clock: before, Running: []guard.RunningRow{{Key: key("job", 0)}}})
	b.Expect(effects[guard.StopRun](b)).To(BeEmpty())
}

// state returns the state that a hello carries.
func (b *bench) state() session.State {
	b.call++
	b.step(guard.HelloCalled{Call: b.call, Session: uint64(100 + b.call), Request: session.HelloRequest{Incarnation: structs.Incarnation(1000 + b.call)}})
	replies := effects[guard.ReplyHello](b)
	b.Expect(replies).To(HaveLen(1))
	return replies[0].Reply.State
}

func TestStopBeforeStartKeepsItFromStarting(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.call++
	b.step(guard.OrderCalled{Call: b.call, Session: 1, Request: session.OrderRequest{Echo: b.echo(), Stop: []uint64{1}}})
	b.order(1, b.echo(), "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
}

func TestGracefulStopFinishesWhatRuns(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.order(1, b.echo(), "job", 1000, 1)
	b.accepted(key("job", 0))
	b.step(guard.LeaveRequested{})
	b.Expect(effects[guard.Drained](b)).To(BeEmpty())
	b.order(1, b.echo(), "next", 1000, 2)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
	b.looked(0, nil, guard.EndRow{N: 1, Key: key("job", 0), How: guard.EndDone})
	b.call++
	b.step(guard.PollCalled{Call: b.call, Session: 1, Request: session.PollRequest{Echo: b.echo(), Seen: 2}})
	b.Expect(effects[guard.Drained](b)).To(HaveLen(1))
}

// Mornings after a loss of power: all agents start at once beside servers that
// run on, and none could be used until its next heartbeat, up to 1.5 s later.
func TestRestartedAgentServesBeforeTheNextHeartbeat(t *testing.T) {
	info := guard.ServerInfo{ID: "server-1", Run: serverRun, Service: "booking", CPU: 20_000, MemMB: 1000}
	for name, recallFirst := range map[string]bool{"recalled before the first look": true, "recalled after it": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.step(guard.Ticked{})
			id := b.lookID()
			if recallFirst {
				b.step(guard.Recalled{Server: info})
			}
			b.looked(id, nil)
			if !recallFirst {
				b.step(guard.Recalled{Server: info})
			}
			b.open(1, 11)
			b.order(1, b.echo(), "job", 1000, 1)
			b.Expect(effects[guard.StartRun](b)).To(HaveLen(1))

			b.heartbeat(1, true) // the next heartbeat counts as always
			b.Expect(effects[guard.ServerKnown](b)).To(HaveLen(1))
			b.order(1, b.echo(), "late", 1000, 2)
			b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
		})
	}
}

func TestRecalledServerOfAnotherRunIsNotUsed(t *testing.T) {
	b := newBench(t)
	b.step(guard.Ticked{})
	id := b.lookID()
	b.step(guard.Recalled{Server: guard.ServerInfo{ID: "server-1", Run: serverRun - 1, Service: "booking", CPU: 20_000, MemMB: 1000}})
	b.looked(id, nil)
	b.open(1, 11)
	b.order(1, b.echo(), "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
}

func TestRecalledDrainingServerTakesNothing(t *testing.T) {
	b := newBench(t)
	b.step(guard.Ticked{})
	id := b.lookID()
	b.step(guard.Recalled{Server: guard.ServerInfo{ID: "server-1", Run: serverRun, Service: "booking", Draining: true, CPU: 20_000, MemMB: 1000}})
	b.looked(id, nil)
	b.open(1, 11)
	b.order(1, b.echo(), "job", 1000, 1)
	b.Expect(effects[guard.StartRun](b)).To(BeEmpty())
}

// A server that hung for some seconds was known by its failures, got no task any
// more, and so never showed that it was well again.
func TestServerThatFailedIsProbedAgainAfterAWhile(t *testing.T) {
	b := newBench(t)
	b.ready()
	for i := range uint64(6) {
		job := fmt.Sprintf("job-%d", i)
		b.order(1, b.echo(), job, 1000, 10+i)
		b.accepted(key(job, 0))
		b.pass(10 * time.Millisecond)
		b.looked(0, nil, guard.EndRow{N: int64(i + 1), Key: key(job, 0), How: guard.EndFailed})
	}
	failing := func() int { return b.guard.Dump(b.now).Failing }
	b.Expect(failing()).To(BeNumerically(">", 500))
	b.pass(2 * time.Second)
	b.step(guard.Ticked{})
	b.Expect(failing()).To(BeNumerically("<", 400), "entries send tasks again")
	b.Expect(failing()).To(BeNumerically(">", 200), "one at a time")
}
