package platformlog

import (
	"math/rand/v2"
	"time"
)

// Backoff yields growing delays between attempts. The zero value is ready to
// use.
type Backoff struct {
	// Base is the first delay; zero takes DefaultBackoffBase.
	Base time.Duration
	// Max bounds the delays; zero takes DefaultBackoffMax.
	Max time.Duration

	next time.Duration
}

// Defaults of a Backoff.
const (
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
)

// Next returns the delay before the next attempt: between half and the whole
// of a bound that doubles with every call.
func (b *Backoff) Next() time.Duration {
	if b.next == 0 {
		b.next = orDefault(b.Base, DefaultBackoffBase)
	}
	d := b.next
	b.next = min(2*d, orDefault(b.Max, DefaultBackoffMax))
	half := d / 2
	return half + rand.N(half+1)
}

// Reset makes the next delay the first one again.
func (b *Backoff) Reset() { b.next = 0 }

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}
