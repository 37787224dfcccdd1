package dispatch

import (
	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

// CancelsTimeout is the longest delay of submissions after the start of an entry.
const CancelsTimeout = cancelsTimeout

// SetPolicy replaces how the capacity of a service is divided between queues.
func (d *Dispatcher) SetPolicy(service string, p shares.Policy) {
	d.shares[service] = &serviceShares{ledger: shares.Ledger{Policy: p}, returns: make(map[int]*quota.RetrySchedule)}
}
