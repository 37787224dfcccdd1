package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// submitTo submits a job of one task to a queue.
func (h *harness) submitTo(queueName, name string, cpu int) {
	h.call++
	q := queue()
	q.Name = queueName
	h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
		Name: name, Queue: q, Tasks: 1, CPU: cpu, MemMB: 1, Estimate: 60 * time.Millisecond, Timeout: 3 * time.Second,
	}})
}

// confine makes the queue "holds" confined by two crashes, at agents 1 and 2, whose
// servers come back.
func (h *harness) confine() {
	for id := range dispatch.SessionID(2) {
		h.now = h.now.Add(200 * time.Millisecond)
		h.crashed(id+1, 1, fmt.Sprintf("deadly-%d", id), 8)
	}
	h.Expect(effects[dispatch.LogEvent](h)).To(ContainElement(HaveField("Event", "queue_confined")))
	h.now = h.now.Add(3 * time.Second)
	for id := range dispatch.SessionID(12) {
		h.poll(id+1, idle)
	}
}

// usedBy submits jobs to a queue and returns the agents that got their tasks, in order.
func (h *harness) usedBy(queueName string, jobs int) []dispatch.SessionID {
	var used []dispatch.SessionID
	for i := range jobs {
		h.submitTo(queueName, fmt.Sprintf("%s-%d", queueName, i), 1000)
		counts, _ := h.placed()
		for id := range counts {
			if !slices.Contains(used, id) {
				used = append(used, id)
			}
		}
	}
	slices.Sort(used)
	return used
}

// Guards against one queue whose tasks crash servers and takes all servers from the
// others: one class of requests with some deadly ones among them.
func TestQueueWhoseTasksCrashServersLeavesOtherServersToOthers(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.confine()
	confined := h.usedBy("holds", 24)
	h.Expect(confined).To(HaveLen(2))
	others := h.usedBy("other", 48)
	h.Expect(others).To(HaveLen(10))
	for _, id := range confined {
		h.Expect(others).NotTo(ContainElement(id))
	}
}

// Guards against refusals of harmless queues while servers are free: the servers of a
// confined queue are only avoided.
func TestServersOfConfinedQueueServeOthersWhenNoneElseIsFree(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.confine()
	confined := h.usedBy("holds", 24)
	full := serverState{capacity: 20_000, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2500}}}
	for id := range dispatch.SessionID(12) {
		if !slices.Contains(confined, id+1) {
			h.poll(id+1, full)
		}
	}
	h.Expect(h.usedBy("other", 12)).To(Equal(confined))
}

// Guards against jobs that wait for servers that are being started again: they are
// refused at once, and told when these are expected back.
func TestJobOfConfinedQueueIsRefusedAtOnceWhileItsServersAreDown(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.confine()
	for _, id := range h.usedBy("holds", 24) {
		h.now = h.now.Add(50 * time.Millisecond)
		h.crashed(id, 2, "deadly", 9)
	}
	h.now = h.now.Add(500 * time.Millisecond)
	h.submitTo("holds", "refused", 1000)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.Expect(refused[0].Error.Message).To(ContainSubstring("queue holds is confined to 2 servers"))
	h.Expect(refused[0].Error.RetryAfter).To(And(BeNumerically(">", 2*time.Second), BeNumerically("<", 3*time.Second)), "3 s after the first crash")
}

// Guards against bystanders that are placed again beside the task that crashed their
// server, and lose the next one too.
func TestTasksOfCrashedServerArePlacedAgainApart(t *testing.T) {
	h := newHarnessWithAgents(t, 6)
	jobs := []string{"culprit", "bystander"}
	ids := make(map[string]uint64)
	agents := make(map[string]dispatch.SessionID)
	for _, name := range jobs {
		h.submitTo(name, name, 1000)
		counts, placed := h.placed()
		for id := range counts {
			agents[name], ids[name] = id, placed[0]
		}
	}
	st := h.state(idle)
	st.Ready = false
	st.Crashes = []session.Crash{{Run: 1, Tasks: []session.LostTask{
		{Job: "culprit", Queue: "culprit", Ran: 8, Started: true}, {Job: "bystander", Queue: "bystander", Ran: 12, Started: true},
	}}}
	h.step(dispatch.PollReplied{ID: agents["culprit"], Reply: session.PollReply{State: st}})
	used := make(map[dispatch.SessionID]int)
	for _, name := range jobs {
		h.step(dispatch.PollReplied{ID: agents[name], Reply: session.PollReply{Reports: []session.Report{{ID: ids[name], Outcome: session.Lost}}, State: h.state(idle)}})
		counts, _ := h.placed()
		for id, n := range counts {
			used[id] += n
		}
	}
	h.Expect(used).To(HaveLen(2), "each on a server of its own")
}

// An entry learns how long servers take to come back.
func TestRetryAfterOfConfinedQueueFollowsRecoveryOfServers(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.confine()
	for run := int64(2); run < 12; run++ {
		h.crashed(5, run, fmt.Sprintf("job-%d", run), 8)
		h.now = h.now.Add(8 * time.Second)
		h.poll(5, idle)
	}
	for id := range dispatch.SessionID(12) {
		h.crashed(id+1, 100, fmt.Sprintf("last-%d", id), 8)
	}
	h.submitTo("holds", "refused", 1000)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">", 7*time.Second))
}

// Guards against suspects that are abandoned while other servers are free: after a rack
// was lost there may be more of them than the servers of their queue can take.
func TestSuspectsUseOtherServersIfTheirsAreFull(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.submit("suspect", 1, 10_000, 60*time.Millisecond)
	counts, ids := h.placed()
	full := serverState{capacity: 20_000, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: 2900}}}
	for id := range counts {
		h.crashed(id, 1, "suspect", 8)
		for other := range dispatch.SessionID(12) {
			if other+1 != 7 {
				h.poll(other+1, full)
			}
		}
		h.report(id, full, ids[0], session.Lost)
	}
	counts, _ = h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{7: 1}))
}
