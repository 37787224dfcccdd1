package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// callersGone is longer than a caller waits before it submits its job again elsewhere.
const callersGone = 1600 * time.Millisecond

// longEstimate is the estimate of tasks that are still useful after that time.
const longEstimate = 500 * time.Millisecond

// suspended lets time pass in which the entry handles nothing and the callers leave.
func (h *harness) suspended(callers ...dispatch.CallID) {
	h.Left = make(map[dispatch.CallID]bool)
	for _, call := range callers {
		h.Left[call] = true
	}
	h.now = h.now.Add(callersGone)
}

// expectNoStart checks that the last step has started nothing.
func (h *harness) expectNoStart() {
	_, ids := h.placed()
	h.Expect(ids).To(BeEmpty(), "placements after the caller has left")
}

// Guards against tasks that start although their callers were refused elsewhere: an entry that was
// suspended finds its agents again, and only then handles the ends of its callers' connections.
func TestLostTasksAreNotPlacedAgainForCallersThatHaveLeft(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("job-1", 2, 1000, longEstimate)
	second := h.submit("job-2", 2, 1000, longEstimate)
	heard := h.now
	h.suspended(first)
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: heard, Reason: "no reply"})
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 2}), "tasks of the caller that is connected")
	h.step(dispatch.CallClosed{Call: first})
	h.expectNoStart()
	h.step(dispatch.CallClosed{Call: second})
	h.Expect(h.stopped()).To(HaveLen(2))
}

// Guards against a caller that counts as connected although it has left while the machine, and its
// clock, was suspended.
func TestCheckOfCallerDoesNotOutliveSuspensionOfTheClock(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("job", 1, 1000, longEstimate)
	h.Left = map[dispatch.CallID]bool{call: true}
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: h.now, Reason: "no reply"})
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	h.expectNoStart()
}

// Guards against the start of a held job whose caller has left while the entry had no agents.
func TestHeldJobIsNotPlacedForCallerThatHasLeft(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	call := h.submit("job", 1, 1000, longEstimate)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty(), "the job is held")
	h.suspended(call)
	h.agent(1, idle)
	h.expectNoStart()
	h.Expect(h.d.OpenJobs()).To(BeZero())
}

// Guards against the same for a submission that waits until the entry has heard of cancels.
func TestDelayedJobIsNotPlacedForCallerThatHasLeft(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, AwaitCancels: true, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	h.agent(1, idle)
	call := h.submit("job", 1, 1000, longEstimate)
	h.suspended(call)
	h.step(dispatch.CancelsLearned{From: "entry-2", All: true})
	h.expectNoStart()
	h.Expect(h.d.OpenJobs()).To(BeZero())
}

// Guards against the same for a copy that waits until the tasks of an earlier submission have ended.
func TestCopyThatWaitsIsNotPlacedForCallerThatHasLeft(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("job", 1, 1000, longEstimate)
	_, ids := h.placed()
	h.step(dispatch.CallClosed{Call: first})
	call := h.submit("job", 1, 1000, longEstimate)
	h.suspended(call)
	h.report(1, idle, ids[0], session.Stopped)
	h.expectNoStart()
	h.Expect(h.d.OpenJobs()).To(BeZero())
}

// Guards against the same for a task that its agent has not started.
func TestReturnedTaskIsNotPlacedForCallerThatHasLeft(t *testing.T) {
	for _, outcome := range []session.Outcome{session.NotStarted, session.Failed, session.Stopped} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newHarness(t)
			h.agent(1, idle)
			h.agent(2, idle)
			call := h.submit("job", 1, 1000, longEstimate)
			counts, ids := h.placed()
			h.suspended(call)
			for agent := range counts {
				h.report(agent, idle, ids[0], outcome)
			}
			h.expectNoStart()
			h.Expect(h.d.OpenJobs()).To(BeZero())
		})
	}
}

// Guards against a copy that is refused as not run while a later one is admitted: both have waited for
// the tasks of an earlier submission, and the older one has less time left.
func TestCopiesThatHaveWaitedShareTheirAnswer(t *testing.T) {
	const estimate = 100 * time.Millisecond
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("job", 1, 1000, estimate)
	_, ids := h.placed()
	h.step(dispatch.CallClosed{Call: first})
	h.submit("job", 1, 1000, estimate)
	h.now = h.now.Add(callersGone)
	h.submit("job", 1, 1000, estimate)
	h.report(1, idle, ids[0], session.Stopped)
	h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
	_, ids = h.placed()
	h.Expect(ids).To(HaveLen(1))
	h.report(1, idle, ids[0], session.Done)
	h.Expect(effects[dispatch.Answered](h)).To(HaveLen(2))
}

// Guards against a job that is given up although a copy of it has a caller.
func TestTaskIsPlacedAgainForCallerOfCopy(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	first := h.submit("job", 1, 1000, longEstimate)
	counts, ids := h.placed()
	second := h.submit("job", 1, 1000, longEstimate)
	h.Left = map[dispatch.CallID]bool{first: true}
	for _, checked := range [][]dispatch.CallID{{first, second}, {second}} {
		for agent := range counts {
			h.report(agent, idle, ids[0], session.NotStarted)
		}
		h.Expect(effects[dispatch.CheckCallers](h)).To(ConsistOf(dispatch.CheckCallers{Calls: checked}))
		counts, ids = h.placed()
		h.Expect(ids).To(HaveLen(1))
	}
}

// Guards against an entry that checks the callers of all held jobs whenever an agent has changed, and
// against held jobs that are forgotten because their callers are checked by turns.
func TestCallersOfManyHeldJobsAreCheckedByTurns(t *testing.T) {
	const jobs = 100
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	for i := range jobs {
		h.submit(fmt.Sprint("job-", i), 1, 1000, longEstimate)
	}
	most := 0
	h.agent(1, serverState{capacity: 1000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 1000, Ms: 5000}}})
	for _, check := range effects[dispatch.CheckCallers](h) {
		most = max(most, len(check.Calls))
	}
	h.Expect(most).To(And(BeNumerically(">", 0), BeNumerically("<", jobs/2)), "callers checked at once")
	h.agent(2, serverState{capacity: 200_000, free: 200_000, slowness: 1000})
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(jobs))
}
