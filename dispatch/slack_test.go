package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// startWithin submits a job of one task with the given timeout and returns the time
// within which the agent must start it.
func (h *harness) startWithin(name string, estimate, timeout time.Duration) time.Duration {
	h.call++
	h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
		Name: name, Queue: queue(), Tasks: 1, CPU: 6000, MemMB: 1, Estimate: estimate, Timeout: timeout,
	}})
	orders := effects[dispatch.Order](h)
	h.Expect(orders).To(HaveLen(1))
	return orders[0].Start[0].StartWithin
}

func objectiveOf(estimate time.Duration) time.Duration {
	q := queue()
	return q.Objective(estimate)
}

// Overload after a restart: callers whose requests broke off submit their jobs again
// together with the usual load. Their objective has passed, so they are queued behind
// jobs that can still meet theirs, and still end while their answer is useful.
func TestResubmissionsAreQueuedBehindFreshJobs(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	const estimate = 100 * time.Millisecond
	objective := objectiveOf(estimate)
	fresh := h.startWithin("fresh", estimate, 2900*time.Millisecond)
	h.Expect(fresh).To(BeNumerically("<", objective))

	again := h.startWithin("again", estimate, 1300*time.Millisecond)
	h.Expect(again).To(BeNumerically(">", objective))
	h.Expect(again).To(BeNumerically("<", 3*objective))
}

// Timeouts of fresh submissions differ by up to a third, and those of long jobs by
// more.
func TestFreshTimeoutsAreNotTakenForResubmissions(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 1_000_000, free: 1_000_000, slowness: 1000})
	short, long := 100*time.Millisecond, 900*time.Millisecond
	for _, timeout := range []time.Duration{2900, 2000, 2300, 2050} {
		h.Expect(h.startWithin(timeout.String(), short, timeout*time.Millisecond)).To(BeNumerically("<", objectiveOf(short)))
	}
	for _, timeout := range []time.Duration{7800, 4900, 4800, 4100, 3000} {
		h.Expect(h.startWithin("long"+timeout.String(), long, timeout*time.Millisecond)).To(BeNumerically("<", objectiveOf(long)))
	}
}

// A burst of twice the capacity, half of it resubmissions: no fresh job is late
// because of them.
func TestFreshJobsMeetObjectiveDuringResubmissions(t *testing.T) {
	h := newHarness(t)
	busy := serverState{capacity: 20_000, free: 0, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 40}}}
	h.agent(1, busy)
	h.startWithin("first", 60*time.Millisecond, 2900*time.Millisecond)
	// The state of an agent whose queue is filled with resubmissions.
	for range 3 {
		busy.queue = append(busy.queue, session.QueuedTask{CPU: 20_000, Ms: 60, StartWithin: 400})
	}
	h.poll(1, busy)
	h.call++
	h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
		Name: "fresh", Queue: queue(), Tasks: 1, CPU: 6000, MemMB: 1, Estimate: 60 * time.Millisecond, Timeout: 2900 * time.Millisecond,
	}})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 1}))
	h.Expect(effects[dispatch.Order](h)[0].Start[0].StartWithin).To(BeNumerically("<", 100*time.Millisecond), "ahead of the resubmissions")
}

// On a quiet day jobs taken for resubmissions by mistake were placed on slow servers
// on which they missed their objective.
func TestServerOfResubmissionIsChosenByObjective(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.startWithin("fresh", 100*time.Millisecond, 2900*time.Millisecond)
	h.agent(2, serverState{capacity: 60_000, free: 60_000, slowness: 2500})
	h.startWithin("again", 100*time.Millisecond, 1300*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{1: 1}))
}

// Guards against an overloaded entry that counts a job's objective from when it has got
// round to the request, and lets its tasks wait for too long.
func TestObjectiveCountsFromArrivalOfRequest(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	const estimate, waited = 100 * time.Millisecond, 80 * time.Millisecond
	submit := func(name string, waited time.Duration) time.Duration {
		h.call++
		h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
			Name: name, Queue: queue(), Tasks: 1, CPU: 6000, MemMB: 1, Estimate: estimate, Timeout: 3*time.Second - waited, Waited: waited,
		}})
		return effects[dispatch.Order](h)[0].Start[0].StartWithin
	}
	h.Expect(submit("at once", 0) - submit("waited", waited)).To(Equal(waited))
}

// Guards against a job whose caller states no timeout and that is planned as if its caller had
// waited before, to end late: the time that the request had waited was taken for the timeout.
func TestWaitingForTurnIsNoTimeout(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	const waited = time.Millisecond
	submit := func(name string, waited time.Duration) time.Duration {
		h.call++
		h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
			Name: name, Queue: queue(), Tasks: 1, CPU: 6000, MemMB: 1, Estimate: 100 * time.Millisecond, Waited: waited,
		}})
		return effects[dispatch.Order](h)[0].Start[0].StartWithin
	}
	h.Expect(submit("at once", 0) - submit("waited", waited)).To(Equal(waited))
}

// Guards against an entry that has just started and counts a job's objective from when it has heard
// of cancels.
func TestObjectiveCountsFromArrivalOfDelayedRequest(t *testing.T) {
	const delay = 80 * time.Millisecond
	startWithin := func(delay time.Duration) time.Duration {
		h := newHarness(t)
		h.d = dispatch.New(dispatch.Options{Started: h.now, AwaitCancels: true, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
		h.agent(1, idle)
		h.submit("job", 1, 6000, 100*time.Millisecond)
		h.now = h.now.Add(delay)
		h.step(dispatch.CancelsLearned{From: "entry-2", All: true})
		return effects[dispatch.Order](h)[0].Start[0].StartWithin
	}
	h := NewWithT(t)
	h.Expect(startWithin(0) - startWithin(delay)).To(Equal(delay))
}
