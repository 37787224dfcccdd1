// Package retry limits the retries of a service's tasks in proportion to its
// successful tasks, so that a failure of many backend servers does not multiply
// the load. It does no I/O and reads no clock.
package retry

import "time"

const (
	// DefaultShare is the default number of retries permitted for each
	// successful task.
	DefaultShare = 0.2
	// MaxBalance is the largest number of retries that a budget of NewBudget holds, and
	// its initial balance.
	MaxBalance = 64
	// minRefillPerSecond is the number of retries that a budget gains per second
	// even without successes.
	minRefillPerSecond = 10
)

// Budget is a retry budget. Each successful task adds a fraction of a retry to
// its balance, up to a maximum, and each retry subtracts one. It is not safe
// for concurrent use.
type Budget struct {
	share   float64
	max     float64 // largest balance
	balance float64
	counts  Counts
}

// Counts holds the totals of a budget since its creation.
type Counts struct {
	Successes uint64 `json:"successes"`
	Retries   uint64 `json:"retries"`
	// Denied is the number of calls of Take that returned false.
	Denied uint64 `json:"denied"`
}

// NewBudget returns a budget with a full balance. If share is not positive,
// DefaultShare is used.
func NewBudget(share float64) *Budget {
	return NewBudgetOf(share, MaxBalance)
}

// NewBudgetOf is NewBudget with another largest balance.
func NewBudgetOf(share float64, maxBalance int) *Budget {
	b := &Budget{balance: float64(maxBalance), max: float64(maxBalance)}
	b.SetShare(share)
	return b
}

// SetShare changes the number of retries permitted for each successful task. It
// is capped at 1; if it is not positive, DefaultShare is used.
func (b *Budget) SetShare(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.share = min(share, 1)
}

// Succeeded refills the budget for one task that succeeded.
func (b *Budget) Succeeded() {
	b.counts.Successes++
	b.balance = min(b.balance+b.share, b.max)
}

// RefillElapsed refills the budget for elapsed time, so that retries can detect
// the recovery of a service that has had no successes.
func (b *Budget) RefillElapsed(elapsed time.Duration) {
	b.balance = min(b.balance+minRefillPerSecond*elapsed.Seconds(), b.max)
}

// Available reports whether Take would spend a retry.
func (b *Budget) Available() bool { return b.balance >= 1 }

// Take spends one retry. It returns false if the budget is used up.
func (b *Budget) Take() bool {
	if !b.Available() {
		b.counts.Denied++
		return false
	}
	b.balance--
	b.counts.Retries++
	return true
}

// Counts returns the totals so far.
func (b *Budget) Counts() Counts { return b.counts }
