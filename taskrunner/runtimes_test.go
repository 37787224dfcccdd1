package taskrunner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// learner is a harness whose runner has run tasks to their end.
type learner struct {
	*harness
	ended int64
}

// newLearner returns a learner whose runner learns run times and is ready.
func newLearner(t *testing.T) *learner {
	h := newHarness(t)
	h.runner = taskrunner.New(taskrunner.Options{
		Agent: "agent-1", Incarnation: 1, Service: "booking", Token: 100,
		Lease: taskrunner.DefaultLease, SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: taskrunner.DefaultRenewalWait,
		PollWait: taskrunner.DefaultPollWait, StopTimeout: 50 * time.Millisecond, RunTimes: true,
	})
	h.makeReady()
	return &learner{harness: h}
}

// startTask starts a task with an estimate of 100 ms.
func (h *harness) startTask(queue string, id uint64, cpu int) taskrunner.RunKey {
	key := runKey(fmt.Sprint("job-", id), 0)
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Start: []session.JobPart{{
		Job: key.Job, Queue: queue, Service: "booking", CPU: cpu, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: time.Second,
		Tasks: []session.Placement{{ID: id, Attempt: 1}},
	}}}})
	h.acceptStart(key)
	return key
}

// pass lets time pass while the server lists a run with its progress.
func (h *harness) pass(d time.Duration, rows ...taskrunner.RunningRow) {
	for ; d > 0; d -= 50 * time.Millisecond {
		h.advance(min(d, 50*time.Millisecond))
		h.pollReports(1)
		h.answerRenewal(0, rows)
	}
}

// run runs a task to its end.
func (h *learner) run(queue string, ran time.Duration) {
	h.ended++
	key := h.startTask(queue, 1000+uint64(h.ended), 1000)
	h.pass(ran, taskrunner.RunningRow{Key: key, Percent: 50})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: h.ended, Key: key, Outcome: taskrunner.EndDone})
}

// learn runs n tasks of 100 ms, of which each long-th takes seven times as long.
func (h *learner) learn(queue string, n, long int) {
	for i := range n {
		ran := 100 * time.Millisecond
		if i%long == long-1 {
			ran *= 7
		}
		h.run(queue, ran)
	}
}

// orderState returns the state in the reply to an order that starts nothing.
func (h *harness) orderState() session.State {
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading()}})
	return effects[taskrunner.ReplyOrder](h)[0].Reply.State
}

// Guards against the forecast that a task which has outrun its estimate ends at once.
func TestOverstayingTaskGivesItsPlaceBackLater(t *testing.T) {
	h := newLearner(t)
	h.learn("check", 120, 20)
	key := h.startTask("check", 1, 20_000)
	h.Expect(h.orderState().Running[0].Ms).To(BeNumerically("~", 100, 20))
	h.pass(300 * time.Millisecond) // its progress is not reported
	h.Expect(h.orderState().Running[0].Ms).To(BeNumerically(">", 200))
	h.pass(50*time.Millisecond, taskrunner.RunningRow{Key: key, Percent: 70})
	h.Expect(h.orderState().Running[0].Ms).To(BeNumerically("~", 150, 10), "the progress says more than the distribution")
}

// The first report of a task in its tail shows that it has hardly begun.
func TestLittleProgressGivesThePlaceBackLater(t *testing.T) {
	h := newLearner(t)
	h.learn("check", 120, 20)
	key := h.startTask("check", 1, 20_000)
	h.pass(25*time.Millisecond, taskrunner.RunningRow{Key: key, Percent: 3})
	h.Expect(h.orderState().Running[0].Ms).To(BeNumerically(">", 550))
}

// Load: three tasks in a hundred take seven times as long. The server is not slow.
func TestTasksInTheirTailDoNotMakeTheServerSlow(t *testing.T) {
	h := newLearner(t)
	h.learn("check", 100, 25)
	before := h.orderState().Slowness
	h.run("check", 700*time.Millisecond)
	h.Expect(h.orderState().Slowness).To(BeNumerically("~", before, 30))
	h.Expect(h.runner.TailTasks()).To(BeNumerically(">", 0))
}

// A server that turns slow puts all its tasks in their tail, and must not be taken for a
// sound one with long tasks.
func TestServerThatTurnsSlowIsNoticed(t *testing.T) {
	h := newLearner(t)
	h.learn("check", 100, 25)
	h.Expect(h.orderState().Slowness).To(BeNumerically("~", 1000, 60))
	var rows []taskrunner.RunningRow
	for id := range uint64(10) {
		rows = append(rows, taskrunner.RunningRow{Key: h.startTask("check", id+1, 1000), Percent: 10})
	}
	h.pass(50*time.Millisecond, rows...)
	h.Expect(h.orderState().Slowness).To(BeNumerically(">", 1800))
}

func TestQueuesWithAConstantErrorAreForecastByIt(t *testing.T) {
	h := newLearner(t)
	for range 120 {
		h.run("short", 50*time.Millisecond)
		h.run("long", 150*time.Millisecond)
	}
	h.startTask("short", 1, 20_000)
	h.Expect(h.orderState().Running[0].Ms).To(BeNumerically("~", 50, 12))
}

func TestSessionsGetTheRunTimesOnceAndNewOnesAtOnce(t *testing.T) {
	h := newLearner(t)
	h.learn("check", 80, 1000)
	h.Expect(h.orderState().RunTimes).To(BeEmpty(), "sent with the polls")
	h.open(2, 12)
	first := effects[taskrunner.ReplyHello](h.harness)[0].Reply.State
	h.Expect(first.RunTimes).To(HaveLen(1))
	h.Expect(first.RunTimes[0].Queue).To(Equal("check"))
	h.Expect(first.RunTimes[0].Samples).To(BeNumerically(">=", 50))
}

// Without the setting, an agent sends nothing and forecasts as before.
func TestRunTimesAreNotLearnedUnlessSet(t *testing.T) {
	h := &learner{harness: newHarness(t)}
	h.makeReady()
	h.learn("check", 80, 20)
	h.open(2, 12)
	h.Expect(effects[taskrunner.ReplyHello](h.harness)[0].Reply.State.RunTimes).To(BeEmpty())
	h.Expect(h.runner.Dump(h.now).RunTimes).To(BeEmpty())
	h.Expect(h.runner.TailTasks()).To(BeZero())
}
