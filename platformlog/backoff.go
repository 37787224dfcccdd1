package platformlog

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays with jitter between attempts.
// The zero value is ready to use. It is not safe for concurrent use.
type Backoff struct {
	// Base bounds the first delay; zero selects DefaultBackoffBase.
	Base time.Duration
	// Max bounds all later delays; zero selects DefaultBackoffMax.
	Max time.Duration

	next time.Duration // bound of the next delay; zero: Base
}

// Defaults of a Backoff.
const (
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
)

// Next returns the delay before the next attempt: a random time between half
// the bound and the bound, which starts at Base and doubles with every call up
// to Max.
func (b *Backoff) Next() time.Duration {
	if b.next == 0 {
		b.next = orDefault(b.Base, DefaultBackoffBase)
	}
	d := b.next
	b.next = min(2*d, orDefault(b.Max, DefaultBackoffMax))
	half := d / 2
	return half + rand.N(half+1)
}

// Reset restarts the delays from Base.
func (b *Backoff) Reset() { b.next = 0 }

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}
