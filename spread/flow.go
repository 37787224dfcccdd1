package spread

import (
	"math"
	"time"
)

// decayTime is the time constant with which learned rates decay. It covers several
// states of each agent, and is short compared with swings of the demand.
const decayTime = time.Second

// Flow learns the rate at which other entries place work on one server, in thousandths
// of a core per second. The zero value has learned nothing, and expects none.
type Flow struct {
	observedAt time.Time
	total      uint64
	// Sums over the intervals between states, decayed: their lengths in seconds, and the
	// capacity that others' tasks have taken in them.
	seconds, taken float64
}

// Observe records the sum of the sizes of all tasks that the agent has admitted from
// others, by a state that has arrived now. States have to be given in the order in which
// the agent sent them. A total that falls is that of another incarnation of the agent.
func (f *Flow) Observe(now time.Time, total uint64) {
	elapsed := now.Sub(f.observedAt)
	if !f.observedAt.IsZero() && total >= f.total && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		f.seconds = f.seconds*decay + elapsed.Seconds()
		f.taken = f.taken*decay + float64(total-f.total)
	}
	if elapsed > 0 || total < f.total {
		f.observedAt, f.total = now, total
	}
}

// PerSecond returns the learned rate.
func (f *Flow) PerSecond() float64 {
	if f.seconds == 0 {
		return 0
	}
	return f.taken / f.seconds
}

// Expected returns the capacity that others' tasks are expected to take within the given
// time.
func (f *Flow) Expected(within time.Duration) float64 {
	return f.PerSecond() * max(within, 0).Seconds()
}
