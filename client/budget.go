package client

import "sync"

// budget bounds retries to a share of the calls, so that clients do not
// multiply the load of a system in trouble.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, tokens: burst}
}

// earn counts one call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// spend takes one retry out of the budget and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
