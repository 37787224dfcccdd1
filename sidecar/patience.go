package sidecar

import (
	"sync"
	"time"
)

// patience is how long to wait for the answer to an order: by the times that
// answers took lately, as TCP sets its retransmission timeout. An order whose
// answer was lost is then sent again soon, and a slow server is given time.
type patience struct {
	mu        sync.Mutex
	mean, dev time.Duration
	backoff   time.Duration // factor after an order without an answer
}

const (
	// minPatience and maxPatience bound the wait: the server is on the same
	// machine and answers within a few ms, but on a quarter of a core either of
	// them may have to wait for its turn.
	minPatience = 30 * time.Millisecond
	maxPatience = 60 * time.Millisecond
	// Weights of a new time in the mean and the deviation, and how many
	// deviations above the mean are waited for, from RFC 6298.
	meanWeight = 8
	devWeight  = 4
	deviations = 4
)

// wait returns how long to wait for an answer.
func (p *patience) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		return maxPatience
	}
	return min(max(p.mean+deviations*p.dev, minPatience)*max(p.backoff, 1), maxPatience)
}

// answered takes in the time that an answer took.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff = 1
	if p.mean == 0 {
		p.mean, p.dev = took, took/2
		return
	}
	p.dev += ((p.mean - took).Abs() - p.dev) / devWeight
	p.mean += (took - p.mean) / meanWeight
}

// unanswered takes in that no answer came in time.
func (p *patience) unanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff = min(2*max(p.backoff, 1), maxPatience/minPatience)
}
