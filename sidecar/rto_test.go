package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a timeout that is too long for a fast server. When one start in
// twelve got no reply, every other job of eight tasks waited 60 ms before a
// retransmission, more than its latency objective allows.
func TestTimeoutIsShortForFastServer(t *testing.T) {
	g := NewWithT(t)
	var e rtoEstimator
	g.Expect(e.timeout()).To(Equal(maxRTO), "no response time has been recorded yet")
	for range 50 {
		e.recordReply(2 * time.Millisecond)
	}
	g.Expect(e.timeout()).To(Equal(minRTO))
}

func TestTimeoutGrowsForSlowServer(t *testing.T) {
	g := NewWithT(t)
	var e rtoEstimator
	for range 50 {
		e.recordReply(2 * time.Millisecond)
	}
	for range 3 {
		e.recordNoReply()
	}
	g.Expect(e.timeout()).To(Equal(maxRTO))
	e.recordReply(2 * time.Millisecond)
	g.Expect(e.timeout()).To(Equal(minRTO))
	for range 50 {
		e.recordReply(30 * time.Millisecond)
	}
	g.Expect(e.timeout()).To(BeNumerically(">=", 30*time.Millisecond))
	for range 20 {
		e.recordNoReply()
	}
	g.Expect(e.timeout()).To(Equal(maxRTO))
}
