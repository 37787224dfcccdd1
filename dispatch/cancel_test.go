package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

func canceled(name string) []session.Cancel {
	return []session.Cancel{{Job: name, Queue: queue().Name}}
}

// cancel cancels a job for a caller, and returns the call.
func (h *harness) cancel(name string) dispatch.CallID {
	h.call++
	h.step(dispatch.CancelCalled{Call: h.call, Queue: queue().Name, Name: name})
	h.Expect(effects[dispatch.NotifyPeers](h)).To(Equal([]dispatch.NotifyPeers{{Call: h.call, Cancel: canceled(name)[0]}}))
	return h.call
}

func (h *harness) cancelResults() []dispatch.CancelResult {
	var list []dispatch.CancelResult
	for _, r := range effects[dispatch.CancelReplied](h) {
		list = append(list, r.Result)
	}
	return list
}

// cancelOrders returns the orders that carry cancels, by agent.
func (h *harness) cancelOrders() map[dispatch.SessionID]dispatch.Order {
	orders := make(map[dispatch.SessionID]dispatch.Order)
	for _, o := range effects[dispatch.Order](h) {
		if len(o.Cancels) > 0 {
			orders[o.ID] = o
		}
	}
	return orders
}

func (h *harness) acknowledge(o dispatch.Order, taken int) {
	h.step(dispatch.OrderReplied{ID: o.ID, Number: o.Number, State: h.state(idle), Cancels: taken})
}

// Guards against a canceled job that runs again when a copy of its submission arrives at
// another entry, seconds later.
func TestCopyOfJobCanceledAtAnotherEntryIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.step(dispatch.CancelsLearned{From: "entry-2", Cancels: canceled("a")})
	h.Expect(effects[dispatch.CancelsRecorded](h)).To(Equal([]dispatch.CancelsRecorded{{Known: []bool{false}}}))
	h.now = h.now.Add(20 * time.Second)
	call := h.submit("a", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: call, Status: dispatch.Canceled}}))
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
	h.now = h.now.Add(10 * time.Second)
	h.agent(1, idle)
	h.submit("a", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1), "the mark is not kept forever")
}

// Guards against a copy that goes on at another entry than the one that got the cancel.
func TestCancelAtAnotherEntryStopsTheJob(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("a", 2, 1000, 50*time.Millisecond)
	_, ids := h.placed()
	h.step(dispatch.CancelsLearned{From: "entry-2", Cancels: canceled("a")})
	h.Expect(effects[dispatch.CancelsRecorded](h)).To(Equal([]dispatch.CancelsRecorded{{Known: []bool{true}}}))
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: call, Status: dispatch.Canceled}}))
	h.Expect(h.stopped()).To(Equal(ids))
}

// Guards against a job of another queue, with the same name, that is canceled with it.
func TestCancelOfAnotherQueueDoesNotTouchTheJob(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("a", 1, 1000, 50*time.Millisecond)
	h.step(dispatch.CancelsLearned{From: "entry-2", Cancels: []session.Cancel{{Job: "a", Queue: "other"}}})
	h.Expect(effects[dispatch.Answered](h)).To(BeEmpty())
	h.Expect(h.stopped()).To(BeEmpty())
}

// Guards against a cancel that is answered with "no such job" while another entry runs it.
func TestCancelIsAnsweredByWhatTheOtherEntriesKnow(t *testing.T) {
	h := newHarness(t)
	call := h.cancel("a")
	h.Expect(h.cancelResults()).To(BeEmpty(), "not before the other entries have replied")
	h.step(dispatch.PeersNotified{Call: call, Known: true})
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelDone}))
	call = h.cancel("b")
	h.step(dispatch.PeersNotified{Call: call})
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelNoSuchJob}))
}

// Guards against a submission that the cancel has overtaken.
func TestSubmissionAfterItsCancelIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.step(dispatch.PeersNotified{Call: h.cancel("a")})
	call := h.submit("a", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: call, Status: dispatch.Canceled}}))
}

// Guards against an entry that cannot be told and runs the job on: the agents have to hold
// the mark, and only then nothing of the job runs.
func TestCancelThatAnEntryMissedIsHeldByTheAgents(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	call := h.cancel("a")
	h.Expect(h.cancelOrders()).To(BeEmpty(), "agents are not needed as long as all entries reply")
	h.step(dispatch.PeersNotified{Call: call, Missed: 1})
	h.Expect(h.cancelResults()).To(BeEmpty())
	orders := h.cancelOrders()
	h.Expect(orders).To(HaveLen(2))
	h.acknowledge(orders[1], 1)
	h.Expect(h.cancelResults()).To(BeEmpty())
	h.acknowledge(orders[2], 1)
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelDone}))

	h.now = h.now.Add(5 * time.Second)
	h.agent(3, idle)
	h.Expect(h.cancelOrders()[3].Cancels).To(Equal([]session.Cancel{{Job: "a", Queue: queue().Name, AgoMs: 5000}}), "also an agent that restarts")
}

// Guards against a cancel without an answer because a session breaks and is opened again
// while the agent's acknowledgement is awaited, as seen on a machine under load.
func TestCancelIsAcknowledgedInTheNextSession(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.step(dispatch.PeersNotified{Call: h.cancel("a"), Missed: 1})
	lost := h.cancelOrders()[1]
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: h.now})
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	next := h.cancelOrders()[2]
	h.acknowledge(lost, 1)
	h.Expect(h.cancelResults()).To(BeEmpty(), "the reply of a session that has ended")
	h.acknowledge(next, 1)
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelDone}))
}

// Guards against a cancel said to be done though an agent may start the job's tasks: it is
// of an earlier build, has gone, or there is none.
func TestCancelThatAgentsDoNotHoldIsUnconfirmed(t *testing.T) {
	for _, agents := range []int{0, 1, 2} {
		h := newHarness(t)
		for i := range agents {
			h.agent(dispatch.SessionID(i+1), idle)
		}
		h.step(dispatch.PeersNotified{Call: h.cancel("a"), Missed: 1})
		if agents > 0 {
			orders := h.cancelOrders()
			h.acknowledge(orders[1], 0)
			if agents > 1 {
				h.step(dispatch.SessionEnded{ID: 2, LastHeard: h.now})
			}
			h.Expect(h.cancelResults()).To(BeEmpty())
			h.now = h.d.NextWake()
			h.step(dispatch.Ticked{})
		}
		h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelUnconfirmed}))
	}
}

// Guards against a caller that waits forever if the replies of the entries are lost.
func TestCancelIsAnsweredWithoutTheOtherEntries(t *testing.T) {
	h := newHarness(t)
	h.cancel("a")
	h.now = h.d.NextWake()
	h.step(dispatch.Ticked{})
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelUnconfirmed}))
	h.Expect(h.d.NextWake()).To(BeZero())
}

// Guards against a cancel said to be done although another entry was not told, which runs a copy: the entry was
// suspended before it has heard of that.
func TestCancelOfOpenJobIsUnconfirmedUntilOtherEntriesWereTold(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("a", 1, 1000, longEstimate)
	call := h.cancel("a")
	h.now = h.now.Add(time.Second)
	h.step(dispatch.Ticked{})
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelUnconfirmed}))
	h.step(dispatch.PeersNotified{Call: call, Missed: 1})
	h.Expect(h.cancelResults()).To(BeEmpty())
}

// Guards against tasks that an agent has stopped because of a cancel, and that the entry,
// which was cut off from the others, places on the next agent.
func TestCancelFromAnAgentComesBeforeItsReports(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	call := h.submit("a", 1, 1000, 50*time.Millisecond)
	placed, ids := h.placed()
	var agent dispatch.SessionID
	for id := range placed {
		agent = id
	}
	h.step(dispatch.PollReplied{ID: agent, Reply: session.PollReply{
		Cancels: canceled("a"), Reports: []session.Report{{ID: ids[0], Outcome: session.Stopped}}, State: h.state(idle),
	}})
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: call, Status: dispatch.Canceled}}))
	again, _ := h.placed()
	h.Expect(again).To(BeEmpty())
}

// Guards against an entry that restarts between the cancel and the copy: an agent that holds
// the mark tells it as the session opens.
func TestCancelComesWithTheSession(t *testing.T) {
	h := newHarness(t)
	h.step(dispatch.SessionOpened{ID: 1, Agent: "agent-1", State: h.state(idle), Cancels: canceled("a")})
	call := h.submit("a", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: call, Status: dispatch.Canceled}}))
}

// Guards against an entry that restarts just before the copy arrives, and admits it before it
// has heard of the cancel (test/sessions, SCENARIO=cancels SEED=-244116 FAULTS=3). No
// submission waits longer than cancelsTimeout after the start, nor one that the caller has left.
func TestRestartedEntryDelaysSubmissionsUntilItKnowsCancels(t *testing.T) {
	newEntry := func() *harness {
		h := newHarness(t)
		h.d = dispatch.New(dispatch.Options{Started: h.now, AwaitCancels: true, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
		h.agent(1, idle)
		return h
	}
	h := newEntry()
	first := h.submit("a", 1, 1000, 50*time.Millisecond)
	h.submit("b", 1, 1000, 50*time.Millisecond)
	left := h.submit("c", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
	h.Expect(h.d.OpenJobs()).To(Equal(3))
	h.step(dispatch.CallClosed{Call: left})
	h.step(dispatch.CancelsLearned{From: "entry-2", Cancels: canceled("a"), All: true})
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: first, Status: dispatch.Canceled}}))
	placed, _ := h.placed()
	h.Expect(placed).To(Equal(map[dispatch.SessionID]int{1: 1}))
	h.submit("d", 1, 1000, 50*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1))

	h = newEntry()
	h.submit("b", 1, 1000, 50*time.Millisecond)
	h.Expect(h.d.NextWake()).To(Equal(h.now.Add(dispatch.CancelsTimeout)))
	h.now = h.d.NextWake()
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1))
}

// Guards against a copy that waits for the end of the abandoned job's tasks and is then run,
// though the job was canceled meanwhile.
func TestCancelAlsoEndsTheCopyThatWaits(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("a", 1, 1000, 50*time.Millisecond)
	_, ids := h.placed()
	h.step(dispatch.CallClosed{Call: first})
	second := h.submit("a", 1, 1000, 50*time.Millisecond)
	call := h.call + 1
	h.step(dispatch.CancelCalled{Call: call, Queue: queue().Name, Name: "a"})
	h.Expect(effects[dispatch.Answered](h)).To(Equal([]dispatch.Answered{{Call: second, Status: dispatch.Canceled}}))
	h.step(dispatch.PeersNotified{Call: call})
	h.Expect(h.cancelResults()).To(Equal([]dispatch.CancelResult{dispatch.CancelDone}))
	h.report(1, idle, ids[0], session.Stopped)
	again, _ := h.placed()
	h.Expect(again).To(BeEmpty())
}

// Guards against an overloaded entry that answers "not run" for a job that has been canceled, and
// may have run before, instead of saying so.
func TestEntryKnowsCanceledJobs(t *testing.T) {
	h := newHarness(t)
	h.step(dispatch.CancelsLearned{From: "entry-2", Cancels: canceled("a")})
	h.Expect(h.d.Knows(queue().Name, "a")).To(BeTrue())
	h.Expect(h.d.Knows("another", "a")).To(BeFalse())
	h.Expect(h.d.Knows(queue().Name, "b")).To(BeFalse())
}
