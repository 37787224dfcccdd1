// Package retry bounds how many dispatches of a service may be retries, so that
// a fault of many backend servers does not multiply the load. It does no I/O
// and reads no clock.
package retry

import "time"

// Defaults of a Budget.
const (
	// DefaultShare is the share of dispatches that may be retries.
	DefaultShare = 0.2
	// MaxBalance is how many retries a budget holds at most and at the start.
	MaxBalance = 64
	// tricklePerSecond is what a second adds without a success.
	tricklePerSecond = 10
)

// Budget gives out retries: each success earns a share of one, up to a reserve.
// It is not safe for concurrent use.
type Budget struct {
	share   float64
	balance float64
	counts  Counts
}

// Counts says what a budget has seen.
type Counts struct {
	Successes uint64 `json:"successes"`
	Retries   uint64 `json:"retries"`
	Denied    uint64 `json:"denied"`
}

// NewBudget returns a budget with its full reserve. A share that is not
// positive takes DefaultShare.
func NewBudget(share float64) *Budget {
	b := &Budget{balance: MaxBalance}
	b.SetShare(share)
	return b
}

// SetShare changes the share of dispatches that may be retries, at most 1.
func (b *Budget) SetShare(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.share = min(share, 1)
}

// Succeeded refills the budget for one task that ran.
func (b *Budget) Succeeded() {
	b.counts.Successes++
	b.balance = min(b.balance+b.share, MaxBalance)
}

// RefillElapsed refills the budget a little for time that passed, so that a service
// that comes back is found out without a success.
func (b *Budget) RefillElapsed(passed time.Duration) {
	b.balance = min(b.balance+tricklePerSecond*passed.Seconds(), MaxBalance)
}

// Take spends one retry. It returns false if the budget is used up.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		b.counts.Denied++
		return false
	}
	b.balance--
	b.counts.Retries++
	return true
}

// Counts returns what the budget has seen so far.
func (b *Budget) Counts() Counts { return b.counts }
