package coordinator

import (
	"math"
	"time"
)

// drainWindow is the time over which the rate of a service's ended tasks is
// averaged.
const drainWindow = 2 * time.Second

// serviceTimeWeight is the weight of one more service time in the mean.
const serviceTimeWeight = 0.02

// drain measures how fast a service's tasks end at this entry.
type drain struct {
	rate   float64 // moving average, tasks per second
	at     time.Time
	placed int     // tasks at agents
	mean   float64 // service time in seconds; zero until one is known
}

// ended takes in the end of a placed task.
func (d *drain) ended(now time.Time, service time.Duration) {
	d.placed--
	if service <= 0 {
		return
	}
	d.decay(now)
	d.rate += 1 / drainWindow.Seconds()
	if d.mean == 0 {
		d.mean = service.Seconds()
	}
	d.mean += serviceTimeWeight * (service.Seconds() - d.mean)
}

func (d *drain) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / drainWindow.Seconds())
	d.at = now
}

// perSecond returns how many tasks are expected to end in a second: as many as
// lately, or as those at the agents now would. Zero if nothing is known.
func (d *drain) perSecond(now time.Time) float64 {
	if d.mean == 0 {
		return 0
	}
	d.decay(now)
	return max(d.rate, float64(d.placed)/d.mean)
}

// meanService returns the mean service time; zero if none is known.
func (d *drain) meanService() time.Duration {
	return time.Duration(d.mean * float64(time.Second))
}
