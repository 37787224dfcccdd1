package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
