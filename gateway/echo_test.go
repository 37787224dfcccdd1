package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guards against a stop that counts from a clock reading that the entry received after the time from which the stop has to
// count: it was suspended in between.
func TestOrderEchoesReadingReceivedBeforeGivenTime(t *testing.T) {
	g := NewWithT(t)
	started := time.Unix(1000, 0)
	at := func(ms int) time.Time { return started.Add(time.Duration(ms) * time.Millisecond) }
	s := new(agentSession)
	for ms := 0; ms <= 500; ms += 10 { // many replies a second
		s.storeReading(at(ms), session.ClockReading{Run: 1, Clock: time.Duration(ms) * time.Millisecond})
	}
	s.storeReading(at(900), session.ClockReading{Run: 1, Clock: 700 * time.Millisecond})
	clock := func(before time.Time) int { return int(s.echo(before).Clock.Milliseconds()) }
	g.Expect(clock(time.Time{})).To(Equal(700))
	g.Expect(clock(at(480))).To(And(BeNumerically("<=", 480), BeNumerically(">", 370)))
	g.Expect(clock(at(600))).To(Equal(500))
	g.Expect(clock(at(-100))).To(Equal(0), "the oldest that is kept")
	for ms := 1000; ms < 60_000; ms += 10 {
		s.storeReading(at(ms), session.ClockReading{Run: 1, Clock: time.Duration(ms) * time.Millisecond})
	}
	g.Expect(len(s.readings)).To(BeNumerically("<=", maxReadings))
	g.Expect(clock(at(59_300))).To(And(BeNumerically("<=", 59_300), BeNumerically(">", 59_150)))
}
