package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const servedStopTimeout = 50 * time.Millisecond

// servedHarness answers the calls of the runner by a backend server whose clock is 2 % slow.
// Entries are heard while they poll.
type servedHarness struct {
	*harness
	server   *leaseserver.Server
	origin   time.Time // when the server's clock showed base
	base     time.Duration
	keys     map[string]taskrunner.RunKey
	renewals []servedRenewal
	polling  []uint64 // sessions whose entries poll
	polls    map[taskrunner.CallID]uint64
	seen     map[uint64]uint64 // newest report, by session
	reports  map[uint64][]session.Report
	// stop decides whether a stop is carried out. One that is not is declined, or gets no reply
	// if hangs is set.
	stop  func() bool
	hangs bool
	stops int // calls
	calls int // lease renewals
}

type servedRenewal struct {
	taskrunner.RenewLease
	due time.Time
}

func newServedHarness(t *testing.T) *servedHarness {
	h := &servedHarness{
		harness: newHarness(t), keys: make(map[string]taskrunner.RunKey), polling: []uint64{1, 2},
		polls: make(map[taskrunner.CallID]uint64), seen: make(map[uint64]uint64),
		reports: make(map[uint64][]session.Report), stop: func() bool { return true },
	}
	h.makeReady()
	h.open(2, 22)
	h.origin, h.base = h.now, h.clock
	h.server = leaseserver.New(incarnation, h.clock)
	h.serve(h.lastEffects)
	return h
}

// runFor lets time pass.
func (h *servedHarness) runFor(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Millisecond)
		h.clock = h.base + time.Duration(float64(h.now.Sub(h.origin))/1.02)
		h.server.Advance(h.clock)
		for _, id := range h.polling {
			h.lastCall++
			h.polls[h.lastCall] = id
			h.serve(h.step(taskrunner.PollCalled{Call: h.lastCall, Session: id, Request: session.PollRequest{Echo: h.reading(), Seen: h.seen[id]}}))
		}
		h.serve(h.step(taskrunner.Ticked{}))
		h.answerRenewals()
	}
}

// start starts a task of 10 s in the session.
func (h *servedHarness) start(session uint64, job string) {
	h.order(session, h.reading(), job, 1000, session)
	h.serve(h.lastEffects)
}

func (h *servedHarness) serve(effects []taskrunner.Effect) {
	for _, ef := range effects {
		switch e := ef.(type) {
		case taskrunner.StartTask:
			name := e.Key.Job
			h.keys[name] = e.Key
			h.Expect(h.server.Start(leaseserver.TaskRun{Name: name, Number: e.Key.Number}, leaseserver.Behavior{Duration: 10 * time.Second}, e.Until, e.Token)).To(BeEmpty())
			h.serve(h.step(taskrunner.StartReplied{Key: e.Key, Result: taskrunner.StartAccepted, Clock: h.clock, ServerIncarnation: incarnation}))
		case taskrunner.StopTask:
			h.stops++
			ok := h.stop()
			if ok {
				h.server.Stop(leaseserver.TaskRun{Name: e.Key.Job, Number: e.Key.Number}, e.Token)
			}
			if ok || !h.hangs {
				h.serve(h.step(taskrunner.StopReplied{Key: e.Key, OK: ok, Clock: h.clock, Known: e.Known}))
			}
		case taskrunner.RenewLease:
			h.calls++
			h.renewals = append(h.renewals, servedRenewal{RenewLease: e, due: h.now.Add(e.Wait)})
		case taskrunner.ReplyPoll:
			id := h.polls[e.Call]
			for _, r := range e.Reply.Reports {
				h.seen[id] = r.Seq
				h.reports[id] = append(h.reports[id], r)
			}
		}
	}
}

func (h *servedHarness) answerRenewals() {
	pending := h.renewals
	h.renewals = nil
	for _, r := range pending {
		ended, ok := h.server.RenewLease(r.Until, r.Token, r.AckIndex)
		h.Expect(ok).To(BeTrue())
		r.Until = 0 // the lease is renewed when the call arrives
		if len(ended) == 0 && h.now.Before(r.due) {
			h.renewals = append(h.renewals, r)
			continue
		}
		reply := taskrunner.RenewReplied{ID: r.ID, OK: true, ServerIncarnation: incarnation, Clock: h.clock}
		for _, run := range h.server.Running() {
			reply.Running = append(reply.Running, taskrunner.RunningRow{Key: h.keys[run.Name], Percent: run.Percent(h.clock)})
		}
		for _, e := range ended {
			outcome := taskrunner.EndLost
			if e.Outcome == "stopped" {
				outcome = taskrunner.EndStopped
			}
			reply.Ended = append(reply.Ended, taskrunner.EndRow{Index: e.Index, Key: h.keys[e.Name], Outcome: outcome})
		}
		h.serve(h.step(reply))
	}
}

func (h *servedHarness) runs(job string) bool {
	for _, r := range h.server.Running() {
		if r.Name == job {
			return true
		}
	}
	return false
}

// Guards against a task that runs twice: its session has ended, the server declines the stops or
// leaves them without a reply, and the agent keeps the run alive by renewing the lease after the
// entry has placed the task again.
func TestRunOfEndedSessionIsOverWhenItsEntryCountsWithIt(t *testing.T) {
	for name, hangs := range map[string]bool{"stops are declined": false, "stops get no reply": true} {
		t.Run(name, func(t *testing.T) {
			h := newServedHarness(t)
			h.start(1, "orphan")
			h.start(2, "other")
			h.runFor(200 * time.Millisecond)
			h.stop, h.hangs = func() bool { return false }, hangs
			h.polling = []uint64{2}
			lastHeard := h.now
			for h.now.Sub(lastHeard) < taskrunner.InDoubtTimeout(time.Second, servedStopTimeout) {
				h.runFor(10 * time.Millisecond)
				if h.now.Sub(lastHeard) > taskrunner.DefaultSessionTTL+taskrunner.DefaultLease/2 && h.runs("orphan") {
					h.start(2, "late") // neither does a start extend the lease
				}
			}
			h.Expect(h.runs("orphan")).To(BeFalse(), "the entry places the task again")
			h.stop = func() bool { return true }
			h.runFor(3 * taskrunner.DefaultRenewalWait)
			h.start(2, "next")
			h.runFor(2 * taskrunner.DefaultLease)
			h.Expect(h.runs("next")).To(BeTrue(), "the agent starts tasks and renews their lease again")
		})
	}
}

// Guards against a task that runs twice: its entry has stopped it because the caller has left or
// was answered at its deadline, the server declines the stops, and the caller's next submission
// reaches another entry.
func TestStoppedRunIsOverWhenItsCallerSubmitsAgain(t *testing.T) {
	const resubmission = 1300 * time.Millisecond
	h := newServedHarness(t)
	h.start(1, "job")
	h.runFor(200 * time.Millisecond)
	h.stop = func() bool { return false }
	h.lastCall++
	h.serve(h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}}))
	h.runFor(resubmission)
	h.Expect(h.runs("job")).To(BeFalse(), "another entry may start the task")
	h.Expect(h.reports[1]).To(ConsistOf(HaveField("Outcome", session.Stopped)))
}

// Guards against a task that runs twice: the entry's order to stop it was under way, or waited for
// an agent short of processor time, for almost as long as a session lasts, and the server declines
// the stops. The time in which the run has to be over begins when the entry sends the order.
func TestRunIsOverInTimeAfterItsStopWasSentIfTheOrderArrivesLate(t *testing.T) {
	const delay = taskrunner.DefaultSessionTTL - 50*time.Millisecond
	h := newServedHarness(t)
	h.start(1, "job")
	h.runFor(200 * time.Millisecond)
	h.stop = func() bool { return false }
	sent, echo := h.now, h.reading()
	h.polling = []uint64{2}
	h.runFor(delay)
	h.lastCall++
	h.serve(h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: echo, Stop: []uint64{1}}}))
	h.polling = []uint64{1, 2}
	h.runFor(taskrunner.InDoubtTimeout(time.Second, servedStopTimeout) - h.now.Sub(sent))
	h.Expect(h.runs("job")).To(BeFalse(), "less time than the entry counts with is left until another entry may start the task")
	h.Expect(h.reports[1]).To(ConsistOf(HaveField("Outcome", session.Stopped)))
}

// Guards against other tasks that are lost with a run of an ended session although the server
// carries out its stop within the time that the session would have had.
func TestOtherRunsOutliveSlowStopOfEndedSession(t *testing.T) {
	h := newServedHarness(t)
	h.start(1, "orphan")
	h.start(2, "other")
	h.runFor(200 * time.Millisecond)
	h.stop = func() bool { return false }
	h.polling = []uint64{2}
	h.serve(h.step(taskrunner.SessionClosed{Session: 1}))
	h.runFor(taskrunner.DefaultSessionTTL)
	h.stop = func() bool { return true }
	h.runFor(taskrunner.DefaultSessionTTL)
	h.Expect(h.runs("orphan")).To(BeFalse())
	h.Expect(h.runs("other")).To(BeTrue())
	h.Expect(h.reports[2]).To(BeEmpty())
}

// Guards against a run that goes on because a single stop has got no reply: the next one does not
// wait until that call has failed.
func TestStopIsSentAgainWhileAnEarlierOneHasNoReply(t *testing.T) {
	h := newServedHarness(t)
	h.start(1, "job")
	h.stop, h.hangs = func() bool { return h.stops > 1 }, true
	h.polling = []uint64{2}
	h.serve(h.step(taskrunner.SessionClosed{Session: 1}))
	h.runFor(50 * time.Millisecond)
	h.Expect(h.runs("job")).To(BeFalse())
	stops := h.stops
	h.runFor(200 * time.Millisecond)
	h.Expect(h.stops).To(Equal(stops), "an acknowledged stop is not repeated")
}

// Guards against a server over its capacity: it lists a run that the agent does not know, whose
// capacity is in use.
func TestNothingStartsBesideUnknownRun(t *testing.T) {
	h := newServedHarness(t)
	h.keys["unknown"] = runKey("unknown", 0)
	h.Expect(h.server.Start(leaseserver.TaskRun{Name: "unknown", Number: 1}, leaseserver.Behavior{Duration: 10 * time.Second}, h.clock+time.Second, 100)).To(BeEmpty())
	h.stop = func() bool { return false }
	h.runFor(4 * taskrunner.DefaultRenewalWait)
	h.start(1, "job")
	h.Expect(h.runs("job")).To(BeFalse())
	calls := h.calls
	h.runFor(4 * taskrunner.DefaultRenewalWait)
	h.Expect(h.calls-calls).To(BeNumerically("<=", 5), "the server is not called in a tight loop")
	h.stop = func() bool { return true }
	h.runFor(3 * taskrunner.DefaultRenewalWait)
	h.start(1, "later")
	h.Expect(h.runs("unknown")).To(BeFalse())
	h.Expect(h.runs("later")).To(BeTrue())
}
