package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Mornings on which one order in twelve got no answer: of a job of eight tasks
// every other one waited 60 ms for it, more than its objective leaves.
func TestLostAnswerIsNoticedSoonAtAQuickServer(t *testing.T) {
	g := NewWithT(t)
	var p patience
	g.Expect(p.wait()).To(Equal(maxPatience), "nothing is known yet")
	for range 50 {
		p.answered(2 * time.Millisecond)
	}
	g.Expect(p.wait()).To(Equal(minPatience))
}

func TestSlowServerIsGivenTime(t *testing.T) {
	g := NewWithT(t)
	var p patience
	for range 50 {
		p.answered(2 * time.Millisecond)
	}
	for range 3 {
		p.unanswered()
	}
	g.Expect(p.wait()).To(Equal(maxPatience))
	p.answered(2 * time.Millisecond)
	g.Expect(p.wait()).To(Equal(minPatience))
	for range 50 {
		p.answered(30 * time.Millisecond)
	}
	g.Expect(p.wait()).To(BeNumerically(">=", 30*time.Millisecond))
	for range 20 {
		p.unanswered()
	}
	g.Expect(p.wait()).To(Equal(maxPatience))
}
