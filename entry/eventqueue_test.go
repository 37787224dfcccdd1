package entry

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newBusyEntry returns an entry whose loop does not get to its queue of events.
func newBusyEntry() *Entry {
	return &Entry{events: newEventQueue(), calls: newCallTable(), stopped: make(chan struct{})}
}

// Requests whose callers disconnect at once made the queue of an entry that is late grow
// without bound.
func TestQueueOfLateEntryIsBounded(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	spec := &structs.JobSpec{Service: "faq"}
	for name, request := range map[string]func(e *Entry){
		"submit":  func(e *Entry) { e.serveJob(gone, &jobRequest{op: structs.OpSubmit, spec: spec}) },
		"get":     func(e *Entry) { e.serveJob(gone, &jobRequest{op: structs.OpGet, id: structs.JobID{Home: 1, Seq: 1}}) },
		"reserve": func(e *Entry) { e.reserve(gone, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newBusyEntry()
			for range 3 * maxQueuedEvents {
				request(e)
			}
			// Each request that was taken may add an event at its end.
			g.Expect(len(e.events.takeAll())).To(And(BeNumerically(">=", maxQueuedEvents), BeNumerically("<=", maxQueuedEvents+1)))
			g.Expect(e.calls.pending).To(BeEmpty())
		})
	}
}

// An id that is named in a request stays open, so that the request may have been carried
// out, or a copy of it still may be; the verdict not run would be untrue.
func TestVerdictOfRequestBeyondTheQueue(t *testing.T) {
	g := NewWithT(t)
	e := newBusyEntry()
	for e.events.offer(coordinator.Ticked{}) {
	}
	id := structs.JobID{Home: 1, Seq: 1}
	for verdict, requests := range map[structs.Verdict][]*jobRequest{
		structs.NotRun: {{op: structs.OpSubmit, spec: &structs.JobSpec{}}},
		structs.MayHaveRun: {
			{op: structs.OpSubmit, id: id, spec: &structs.JobSpec{}},
			{op: structs.OpSubmit, id: id, spec: &structs.JobSpec{}, recovery: true},
			{op: structs.OpGet, id: id},
			{op: structs.OpCancel, id: id},
		},
	} {
		for _, r := range requests {
			_, err := e.serveJob(t.Context(), r)
			g.Expect(err.Verdict).To(Equal(verdict), "%+v", r)
			g.Expect(err.RetryAfter).To(Equal(retryAfterQueueFull))
		}
	}
	_, err := e.reserve(t.Context(), 1)
	g.Expect(err.Verdict).To(Equal(structs.NotRun))
	announcement := &structs.AnnounceRequest{State: structs.AgentState{Incarnation: 1}}
	g.Expect((&receiver{entry: e}).Announce(announcement, nil)).NotTo(Succeed(), "the agent announces itself again")
	g.Expect(e.events.takeAll()).To(HaveLen(maxQueuedEvents))
}

// No event of an admitted request or task is lost, however many wait.
func TestFullQueueTakesEventsOfAdmittedWork(t *testing.T) {
	g := NewWithT(t)
	q := newEventQueue()
	for q.offer(coordinator.Ticked{}) {
	}
	q.post(coordinator.RunReplied{})
	g.Expect(q.takeAll()).To(HaveLen(maxQueuedEvents + 1))
	g.Expect(q.offer(coordinator.Ticked{})).To(BeTrue())
}
