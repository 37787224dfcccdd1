package sidecar

import (
	"sync"
	"time"
)

// rtoEstimator estimates the retransmission timeout of starts (taskrunner.StartTask)
// from the recent response times of the backend server, like TCP (RFC 6298). A start
// whose reply was lost is then sent again soon, and a slow server gets more time to
// reply.
type rtoEstimator struct {
	mu            sync.Mutex
	mean, dev     time.Duration
	timeoutFactor time.Duration // factor of the timeout, doubled after a start without a reply
}

const (
	// minRTO and maxRTO bound the timeout. The server is on the same machine and
	// replies within a few ms, but on a quarter of a core either process may first
	// have to wait for processor time.
	minRTO = 30 * time.Millisecond
	maxRTO = 60 * time.Millisecond
	// Constants of RFC 6298: the inverse weights of a new sample in the mean and in
	// the deviation, and the number of deviations added to the mean.
	meanWeight = 8
	devWeight  = 4
	deviations = 4
)

// timeout returns the current retransmission timeout.
func (e *rtoEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mean == 0 {
		return maxRTO
	}
	return min(max(e.mean+deviations*e.dev, minRTO)*max(e.timeoutFactor, 1), maxRTO)
}

// recordReply adds the response time of a start that got a reply.
func (e *rtoEstimator) recordReply(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeoutFactor = 1
	if e.mean == 0 {
		e.mean, e.dev = took, took/2
		return
	}
	e.dev += ((e.mean - took).Abs() - e.dev) / devWeight
	e.mean += (took - e.mean) / meanWeight
}

// recordNoReply increases the timeout after a start without a reply.
func (e *rtoEstimator) recordNoReply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeoutFactor = min(2*max(e.timeoutFactor, 1), maxRTO/minRTO)
}
