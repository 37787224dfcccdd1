package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// returnTasks submits jobs of one task each. The agents return every task that they are sent
// within the given time. It returns how many tasks were placed again.
func returnTasks(h *harness, jobs int, within time.Duration) int {
	again := 0
	for i := range jobs {
		h.now = h.now.Add(within / time.Duration(jobs))
		for id := range dispatch.SessionID(3) {
			h.poll(id+1, idle)
		}
		h.submit(fmt.Sprintf("job-%d-%d", h.call, i), 1, 1000, 60*time.Millisecond)
		for counts, ids := h.placed(); len(ids) > 0; counts, ids = h.placed() {
			for id := range counts {
				h.report(id, idle, ids[0], session.NotStarted)
			}
			for _, l := range effects[dispatch.LogEvent](h) {
				if l.Event == "task_placed_again" {
					again++
				}
			}
		}
	}
	return again
}

// Guards against an entry that answers no job because it has no processor time but for tasks
// that it places again: it placed each of them up to twelve times.
func TestTasksPlacedAgainAreLimitedByCompletedOnes(t *testing.T) {
	h := newHarness(t)
	for id := range dispatch.SessionID(3) {
		h.agent(id+1, idle)
	}
	h.Expect(returnTasks(h, 400, 10*time.Second)).To(And(BeNumerically(">=", 512), BeNumerically("<=", 512+10*10+1)), "the balance, and ten a second")

	h.submit("last", 1, 1000, 60*time.Millisecond)
	counts, ids := h.placed()
	for id := range counts {
		h.report(id, idle, ids[0], session.NotStarted)
	}
	h.Expect(effects[dispatch.RetryMetrics](h)).To(ConsistOf(dispatch.RetryMetrics{Denied: 1}))
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(And(
		HaveField("Error.Code", structs.CodeOverloaded), HaveField("Error.Verdict", structs.NotRun))))

	for i := range 100 {
		h.submit(fmt.Sprintf("done-%d", i), 1, 1000, 60*time.Millisecond)
		counts, ids := h.placed()
		for id := range counts {
			h.report(id, idle, ids[0], session.Done)
		}
	}
	h.Expect(returnTasks(h, 60, time.Millisecond)).To(BeNumerically("~", 50, 2))
}

// Guards against jobs that fail because a dozen servers are lost at once.
func TestTasksOfDozenLostServersArePlacedAgain(t *testing.T) {
	h := newHarness(t)
	const servers, tasks = 12, 20
	for id := range dispatch.SessionID(2 * servers) {
		h.agent(id+1, idle)
	}
	for i := range servers {
		h.submit(fmt.Sprintf("job-%d", i), tasks, 1000, 60*time.Millisecond)
	}
	for id := range dispatch.SessionID(servers) {
		h.step(dispatch.SessionOpened{ID: 100 + id, Agent: fmt.Sprintf("agent-%d", id+1), Zone: "zone-a", State: h.state(idle)})
		h.Expect(effects[dispatch.Refused](h)).To(BeEmpty())
		h.Expect(effects[dispatch.RetryMetrics](h)).To(BeEmpty())
	}
}

// Guards against jobs that are given up because callers that have left have used up the tasks that may
// be placed again.
func TestCallersThatHaveLeftUseNoRetries(t *testing.T) {
	const agents, jobs = 30, 590 // more jobs than tasks that may be placed again
	h := newHarness(t)
	for id := range dispatch.SessionID(agents) {
		h.agent(id+1, idle)
	}
	gone := make([]dispatch.CallID, jobs)
	for i := range gone {
		gone[i] = h.submit(fmt.Sprintf("job-%d", i), 1, 1000, longEstimate)
	}
	h.submit("last", 1, 1000, longEstimate)
	counts, _ := h.placed()
	h.Expect(counts).To(HaveLen(1))
	h.suspended(gone...)
	for id := range dispatch.SessionID(agents) {
		h.step(dispatch.SessionEnded{ID: id + 1, LastHeard: start, Reason: "no reply"})
		h.Expect(effects[dispatch.RetryMetrics](h)).To(BeEmpty())
		h.step(dispatch.SessionOpened{ID: 100 + id, Agent: fmt.Sprintf("agent-%d", id+1), Zone: "zone-a", State: h.state(idle)})
		h.Expect(effects[dispatch.RetryMetrics](h)).To(BeEmpty())
	}
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}
