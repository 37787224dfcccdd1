package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

func newSharesHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{
		Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention,
		Scheduling: dispatch.Scheduling{Shares: true},
	})
	return h
}

// offer submits a job of a kind and returns how it was refused; nil if it was admitted.
func (h *harness) offer(name string, kind int) *dispatch.Refused {
	k := kinds[kind]
	h.call++
	h.step(dispatch.SubmitCalled{Call: h.call, Job: dispatch.Job{
		Name: name, Queue: loadQueue(kind), Tasks: k.tasks, CPU: taskCPU, MemMB: 1, Estimate: time.Duration(k.ms) * time.Millisecond, Timeout: 4 * time.Second,
	}})
	if refused := effects[dispatch.Refused](h); len(refused) > 0 {
		return &refused[0]
	}
	return nil
}

// full is a server all of whose capacity is in use, with a queue.
func full(freeInMs int, queue ...session.QueuedTask) serverState {
	return serverState{capacity: 20_000, slowness: 1000, running: []session.RunningTask{{CPU: 20_000, Ms: freeInMs}}, queue: queue}
}

func queued(n, ms, within int, rank shares.Rank) []session.QueuedTask {
	list := make([]session.QueuedTask, n)
	for i := range list {
		list[i] = session.QueuedTask{CPU: taskCPU, Ms: ms, StartWithin: within, Priority: int(rank)}
	}
	return list
}

// A surge of long work, then of short: what is queued for the long kind, over the limit of
// the backlog, does not refuse the short one.
func TestQueuedLongWorkRefusesNoShortJob(t *testing.T) {
	h := newSharesHarness(t)
	for id := range dispatch.SessionID(8) {
		h.agent(id+1, full(10, queued(3, 900, 600, shares.RankOf(2, false, false))...))
	}
	h.Expect(h.offer("short", 0)).To(BeNil())
	part := effects[dispatch.Order](h)[0].Start[0]
	h.Expect(part.Priority).To(Equal(int(shares.RankOf(0, false, false))))
}

// Refused while servers are free: a queue of tasks that can still wait is no reason to
// refuse a job that ends in time and makes none of them late.
func TestJobThatDelaysNobodyIsAdmitted(t *testing.T) {
	h := newSharesHarness(t)
	for id := range dispatch.SessionID(8) {
		h.agent(id+1, full(20, queued(8, 200, 2000, shares.RankOf(1, false, false))...))
	}
	h.Expect(h.offer("middle", 1)).To(BeNil())

	h = newSharesHarness(t)
	for id := range dispatch.SessionID(8) {
		h.agent(id+1, full(20, queued(8, 200, 400, shares.RankOf(1, false, false))...))
	}
	refused := h.offer("middle", 1)
	h.Expect(refused).NotTo(BeNil(), "would make queued tasks late")
	h.Expect(refused.Error.Message).To(HavePrefix("limit displaces of queue middle"))
}

// While no capacity is free, a job that would end late is refused at once with the limit
// that stood in the way. Callers refused together come back one after the other.
func TestLateJobIsRefusedWhileSaturated(t *testing.T) {
	h := newSharesHarness(t)
	h.agent(1, full(200))
	var hints []time.Duration
	for i := range 12 {
		h.now = h.now.Add(time.Millisecond)
		refused := h.offer(fmt.Sprintf("short-%d", i), 0)
		h.Expect(refused).NotTo(BeNil())
		h.Expect(refused.Error.Message).To(HavePrefix("limit late of queue short"))
		hints = append(hints, refused.Error.RetryAfter)
	}
	h.Expect(hints[0]).To(BeNumerically(">=", time.Second))
	h.Expect(hints[11]).To(BeNumerically(">=", hints[0]+time.Second), "twelve jobs of 2.4 core-seconds at 20 cores")

	dump := h.d.Dump(h.now).Shares
	h.Expect(dump).To(HaveLen(1))
	h.Expect(dump[0].Saturated).To(BeTrue())
	h.Expect(dump[0].Queues[0].Asked).To(BeNumerically(">", 0))
	h.Expect(dump[0].Queues[0].Served).To(BeZero())

	h.now = h.now.Add(hints[0])
	h.agent(2, serverState{capacity: 80_000, free: 80_000, slowness: 1000})
	h.Expect(h.offer("short-0", 0)).To(BeNil())
	h.Expect(effects[dispatch.Order](h)[0].Start[0].Priority).To(Equal(int(shares.RankOf(0, true, false))), "comes first among equals")
}

// Switched off, agents see no ranks.
func TestNoRanksWithoutShares(t *testing.T) {
	h := newHarness(t)
	h.agent(1, serverState{capacity: 80_000, free: 80_000, slowness: 1000})
	h.Expect(h.offer("long", 2)).To(BeNil())
	h.Expect(effects[dispatch.Order](h)[0].Start[0].Priority).To(BeZero())
}
