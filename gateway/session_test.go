package gateway

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guards against states that count as fresh because the entry has read them late, and against
// states of agents of earlier builds that count as old.
func TestStateIsAsOldAsItsMessage(t *testing.T) {
	g := NewWithT(t)
	sentAt := time.Now()
	g.Expect(stateTime(sentAt, 200*time.Millisecond)).To(Equal(sentAt.Add(200 * time.Millisecond)))
	g.Expect(stateTime(sentAt, 0)).To(BeZero())
}

// Guards against a distant agent that makes its entry look late.
func TestMessageDelayIsBeyondRoundTrip(t *testing.T) {
	g := NewWithT(t)
	s := &agentSession{}
	g.Expect(s.messageDelay(30 * time.Millisecond)).To(BeZero())
	g.Expect(s.messageDelay(10 * time.Millisecond)).To(BeZero())
	g.Expect(s.messageDelay(10 * time.Millisecond)).To(BeZero())
	g.Expect(s.messageDelay(310 * time.Millisecond)).To(Equal(300 * time.Millisecond))
	g.Expect(s.messageDelay(-time.Millisecond)).To(BeZero())
	g.Expect(s.messageDelay(time.Millisecond)).To(BeNumerically("~", time.Millisecond, time.Nanosecond))
}

// Guards against an entry whose processor time is spent on opening the sessions that it loses
// by its own lateness, and against a delay after the loss of all sessions of a subset.
func TestLostSessionsAreReopenedAtBoundedRate(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(&strings.Builder{})
	gw.reopenings = rate.NewLimiter(reopenPerSecond, reopenBurst)
	now := time.Now()
	for range reopenBurst {
		g.Expect(gw.reserveReopening(now)).To(BeZero())
	}
	for i := range 3 * reopenPerSecond {
		g.Expect(gw.reserveReopening(now)).To(BeNumerically("~", time.Duration(i+1)*time.Second/reopenPerSecond, time.Millisecond))
	}
	now = now.Add(time.Minute)
	g.Expect(gw.reserveReopening(now)).To(BeZero())
}

// Guards against an entry that rejects most requests while it is idle: the round trips to its
// agents have become longer, by another route or by agents short of processor time, which counts
// as its own lateness for as long as the sessions last.
func TestLongerRoundTripIsNoOverload(t *testing.T) {
	g := NewWithT(t)
	q := newTurnQueue()
	sessions := make([]agentSession, 40)
	now := time.Now()
	observe := func(length, roundTrip time.Duration) {
		const period = 200 * time.Millisecond
		for end := now.Add(length); now.Before(end); {
			for i := range sessions {
				now = now.Add(period / time.Duration(len(sessions)))
				q.observeMessage(now, sessions[i].messageDelay(roundTrip))
			}
		}
	}
	observe(10*time.Second, 2*time.Millisecond)
	g.Expect(q.state().share).To(Equal(1.0))
	observe(time.Minute, 32*time.Millisecond)
	g.Expect(q.state().share).To(Equal(1.0), "a minute later")
}

// Guards against a stopped run that lasts too long because the order to stop it was written late
// and echoed a newer clock reading.
func TestOrderEchoesReadingOfItsTime(t *testing.T) {
	g := NewWithT(t)
	s := &agentSession{orders: make(chan *queuedOrder, 1)}
	s.clockReading.Store(&session.ClockReading{Run: 1, Clock: time.Second})
	s.enqueue(dispatch.Order{Stop: []uint64{1}})
	s.clockReading.Store(&session.ClockReading{Run: 1, Clock: 2 * time.Second})
	g.Expect((<-s.orders).echo).To(Equal(session.ClockReading{Run: 1, Clock: time.Second}))
}
