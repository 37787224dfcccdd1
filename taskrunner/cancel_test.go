package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// cancel delivers an order of the session with a canceled job.
func (h *harness) cancel(sessionID uint64, job string) {
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: sessionID, Request: session.OrderRequest{
		Echo: h.reading(), Cancels: []session.Cancel{{Job: job}},
	}})
	h.Expect(effects[taskrunner.ReplyOrder](h)[0].Reply.Cancels).To(Equal(1))
}

func (h *harness) pollSession(sessionID uint64) {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: sessionID, Request: session.PollRequest{Echo: h.reading()}})
}

// Guards against tasks that run on because another entry, which could not be told of the
// cancel, has ordered them.
func TestCancelStopsTheTasksOfAllSessions(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.open(2, 22)
	h.order(1, h.reading(), "a", 15_000, 1)
	h.order(1, h.reading(), "b", 1000, 2)
	h.pollSession(1)
	h.cancel(2, "a")
	stops := effects[taskrunner.StopTask](h)
	h.Expect(stops).To(HaveLen(1))
	h.Expect(stops[0].Key.Job).To(Equal("a"))
	h.Expect(effects[taskrunner.ReplyPoll](h)[0].Reply.Cancels).To(HaveLen(1), "its entry is told at once")
	h.pollSession(1)
	h.advance(taskrunner.DefaultPollWait)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.ReplyPoll](h)[0].Reply.Cancels).To(BeEmpty(), "once")
}

// Guards against a copy that an entry orders that has not heard of the cancel.
func TestTaskOfCanceledJobIsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.open(2, 22)
	h.cancel(2, "a")
	h.order(1, h.reading(), "a", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.order(1, h.reading(), "b", 1000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}

// Guards against a restarted entry that places a copy before it hears of the cancel.
func TestNewSessionIsToldOfCancels(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.cancel(1, "a")
	h.advance(100 * time.Millisecond)
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: 2, Request: session.HelloRequest{Entry: "entry-2", Incarnation: 22}})
	h.Expect(effects[taskrunner.ReplyHello](h)[0].Reply.Cancels).To(Equal([]session.Cancel{{Job: "a", AgoMs: 100}}))
}
