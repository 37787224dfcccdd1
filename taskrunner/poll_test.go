package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// pollingEntry is an entry that handles each message late by a fixed time and polls again.
type pollingEntry struct {
	lateness time.Duration
	polls    int
	closed   bool
	pollAt   time.Time // zero while a poll has no reply
	reading  session.ClockReading
}

// run steps the runner every 2 ms for a time. The server answers lease renewals after
// DefaultRenewalWait.
func (p *pollingEntry) run(h *harness, d time.Duration) {
	const step = 2 * time.Millisecond
	p.pollAt, p.reading = h.now.Add(p.lateness), h.reading()
	renewal, renewalAt := uint64(0), h.now
	observe := func() {
		for _, r := range effects[taskrunner.RenewLease](h) {
			renewal, renewalAt = r.ID, h.now.Add(taskrunner.DefaultRenewalWait)
		}
		for _, r := range effects[taskrunner.ReplyPoll](h) {
			p.pollAt, p.reading = h.now.Add(p.lateness), r.Reply.State.Stamp
		}
		p.closed = p.closed || len(effects[taskrunner.CloseSession](h)) > 0
	}
	for end := h.now.Add(d); h.now.Before(end); h.advance(step) {
		h.step(taskrunner.Ticked{})
		observe()
		if renewal != 0 && !h.now.Before(renewalAt) {
			h.answerRenewal(renewal, nil)
			observe()
		}
		if !p.pollAt.IsZero() && !h.now.Before(p.pollAt) {
			p.pollAt = time.Time{}
			p.polls++
			h.lastCall++
			h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: p.reading}})
			observe()
		}
	}
}

// Guards against sessions that end by the lateness of their entry: the wait of a poll came on
// top of the time for which the entry had not read the last reply.
func TestLateEntryKeepsItsSession(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	entry := pollingEntry{lateness: 170 * time.Millisecond}
	entry.run(h, 10*time.Second)
	h.Expect(entry.closed).To(BeFalse())
	h.Expect(h.runner.OpenSessions()).To(Equal(1))
}

// Guards against a higher rate of polls, which cost entries most of their processor time.
func TestPollsKeepTheirPeriod(t *testing.T) {
	for _, lateness := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(lateness.String(), func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			entry := pollingEntry{lateness: lateness}
			entry.run(h, 20*time.Second)
			h.Expect(entry.polls).To(BeNumerically("~", 20*time.Second/taskrunner.DefaultPollWait, 3))
		})
	}
}

// Guards against entries that take an old state for a new one: they subtract the time for
// which the agent has held their poll from the time that the reply took.
func TestRepliesStateHowLongTheyWereHeld(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.Expect(effects[taskrunner.ReplyHello](h)[0].Reply.Held).To(Equal(time.Nanosecond), "zero stands for an earlier build")
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: h.reading()}})
	h.Expect(effects[taskrunner.ReplyPoll](h)).To(BeEmpty())
	h.advance(taskrunner.DefaultPollWait)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.ReplyPoll](h)).To(ConsistOf(HaveField("Reply.Held", taskrunner.DefaultPollWait)))
}

// Guards against an agent short of processor time that ends its sessions by its own lateness: the
// entries' messages wait for it, with clock readings that are recent, while it counts the time
// since it handled the last ones.
func TestLateAgentKeepsSessionsWhoseMessagesWait(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: h.reading()}})
	h.advance(taskrunner.DefaultPollWait)
	h.step(taskrunner.Ticked{})
	reading := effects[taskrunner.ReplyPoll](h)[0].Reply.State.Stamp
	h.advance(taskrunner.DefaultPollWait + 60*time.Millisecond) // the poll came at once and has waited since
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: reading}})
	h.Expect(effects[taskrunner.CloseSession](h)).To(BeEmpty())
	h.Expect(h.runner.OpenSessions()).To(Equal(1))
}

// Guards against the same for an order that is handled before the poll.
func TestLateAgentKeepsSessionsWhoseOrdersWait(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: h.reading()}})
	h.advance(taskrunner.DefaultPollWait)
	h.answerRenewal(0, nil)
	reading := effects[taskrunner.ReplyPoll](h)[0].Reply.State.Stamp
	h.Expect(reading).To(Equal(h.reading()))
	h.advance(taskrunner.DefaultPollWait + 60*time.Millisecond)
	h.order(1, reading, "job", 1000, 1)
	h.Expect(effects[taskrunner.CloseSession](h)).To(BeEmpty())
	h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Until", reading.Clock+taskrunner.DefaultLease)))
}

// Guards against sessions that messages keep although they have waited for longer than a session
// lasts, or echo a reading that is too old by the server's clock.
func TestMessagesThatWaitedLongKeepNoSession(t *testing.T) {
	const late = taskrunner.DefaultSessionTTL + 10*time.Millisecond
	for name, message := range map[string]func(*harness, session.ClockReading){
		"poll": func(h *harness, echo session.ClockReading) {
			h.lastCall++
			h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: echo}})
		},
		"order": func(h *harness, echo session.ClockReading) { h.order(1, echo, "job", 1000, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			echo := h.reading()
			h.advance(late)
			message(h, echo)
			h.Expect(effects[taskrunner.CloseSession](h)).To(HaveLen(1), "by the agent's clock")
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())

			h = newHarness(t)
			h.makeReady()
			h.advance(late - 20*time.Millisecond)
			message(h, echo)
			h.Expect(effects[taskrunner.CloseSession](h)).To(BeEmpty())
			h.advance(20 * time.Millisecond)
			h.answerRenewal(0, nil)
			h.Expect(effects[taskrunner.CloseSession](h)).To(HaveLen(1), "by the server's clock")
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
		})
	}
}
