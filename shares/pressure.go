package shares

import (
	"math"
	"time"
)

// Pressure tells whether the servers have no capacity to lend. It follows from the states
// of the agents, which all entries see alike. The zero value is ready to use.
type Pressure struct {
	free float64 // average free share of the capacity
	at   time.Time
}

// Observe records the free share of the capacity, less what queued tasks need.
func (p *Pressure) Observe(now time.Time, free float64) {
	weight := 1.0
	if !p.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.at).Seconds()/pressureTime.Seconds())
	}
	p.free += weight * (free - p.free)
	p.at = now
}

// Saturated reports whether all capacity is in use.
func (p *Pressure) Saturated() bool { return !p.at.IsZero() && p.free < minFreeShare }

// Free returns the average free share of the capacity.
func (p *Pressure) Free() float64 { return p.free }
