package taskrunner_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Guards against a task that is started twice: its agent reported it as lost because the
// row of its run could not be decoded, while it was running.
func TestRunBehindUnreadableRowIsStoppedBeforeItIsLost(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.acceptStart(runKey("job", 0))
	renew := func(unreadable int) {
		h.step(taskrunner.RenewReplied{
			ID: h.nextRenewalID(), OK: true, ServerIncarnation: incarnation, Clock: h.clock, UnreadableRunning: unreadable, Reason: "running[0]: task: missing",
		})
	}
	for range 2 {
		renew(1)
		h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty())
		h.Expect(h.pollReports(1)).To(BeEmpty(), "the task may be running")
	}
	stopped := false
	for range 5 {
		renew(1)
		stopped = stopped || len(effects[taskrunner.StopTask](h)) > 0
	}
	h.Expect(stopped).To(BeTrue(), "it may also have ended")
	h.step(taskrunner.StopReplied{Key: runKey("job", 0), OK: true, Clock: h.clock, Known: incarnation})
	h.step(taskrunner.RenewReplied{ID: h.newestRenewalID(), OK: true, ServerIncarnation: incarnation, Clock: h.clock, UnreadableRunning: 1})
	h.Expect(h.pollReports(1)).To(BeEmpty(), "the stop takes its time")
	renew(1)
	h.Expect(h.pollReports(1)).To(ConsistOf(HaveField("Outcome", session.Lost)))
}

// Guards against a task that runs twice, and a server over its capacity: a restarted agent opened
// sessions and started tasks although its server listed a row that it could not decode, behind
// which a run of the agent before it may go on until its lease has expired.
func TestRestartedAgentWaitsForRunBehindUnreadableRow(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	h.heartbeat(1, false)
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: 1, Request: session.HelloRequest{Entry: "entry", Incarnation: 11}})
	// list delivers a list of one row that cannot be decoded, and reports whether the session opens.
	list := func() bool {
		h.advance(50 * time.Millisecond)
		h.step(taskrunner.Ticked{})
		renewals := effects[taskrunner.RenewLease](h)
		h.Expect(renewals).To(ConsistOf(HaveField("Until", BeZero())), "the lease of the unknown run is not renewed")
		h.step(taskrunner.RenewReplied{
			ID: renewals[0].ID, OK: true, ServerIncarnation: incarnation, Clock: h.clock, UnreadableRunning: 1, Reason: "running[0]: task: missing",
		})
		return len(effects[taskrunner.ReplyHello](h)) > 0
	}
	const longestLease = time.Second
	for begin := h.now; h.now.Sub(begin) < longestLease; {
		h.Expect(list()).To(BeFalse(), "the run may go on")
	}
	opened := false
	for range 4 {
		opened = opened || list()
	}
	h.Expect(opened).To(BeTrue(), "every lease has expired")
}

// Guards against an agent that ends by itself, because a server lists a progress below
// zero, and against runs that are stopped as hung because their progress is unknown.
func TestOddProgressIsIgnored(t *testing.T) {
	for _, percent := range []int{taskrunner.UnknownPercent, math.MinInt, math.MaxInt, 101} {
		h := newLearner(t)
		h.learn("short", 160, 20)
		key := h.startTask("short", 1, 1000)
		for range 10 {
			h.pass(50*time.Millisecond, taskrunner.RunningRow{Key: key, Percent: percent})
			if percent < 0 {
				h.Expect(effects[taskrunner.StopTask](h.harness)).To(BeEmpty())
			}
		}
	}
}
