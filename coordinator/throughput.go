package coordinator

import (
	"math"
	"time"
)

// rateWindow is the time constant of the moving average of a service's task
// completion rate.
const rateWindow = 2 * time.Second

// serviceTimeSampleWeight is the weight of a new sample in the mean service
// time.
const serviceTimeSampleWeight = 0.02

// throughput measures how fast a service's tasks finish at this entry.
type throughput struct {
	rate        float64 // moving average, in tasks per second
	at          time.Time
	inFlight    int     // number of tasks at agents
	meanSeconds float64 // mean service time in seconds; zero until one is known
}

// taskEnded records the end of a placed task. service is its service time, zero
// if unknown.
func (d *throughput) taskEnded(now time.Time, service time.Duration) {
	d.inFlight--
	if service <= 0 {
		return
	}
	d.decay(now)
	d.rate += 1 / rateWindow.Seconds()
	if d.meanSeconds == 0 {
		d.meanSeconds = service.Seconds()
	}
	d.meanSeconds += serviceTimeSampleWeight * (service.Seconds() - d.meanSeconds)
}

func (d *throughput) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / rateWindow.Seconds())
	d.at = now
}

// perSecond returns the number of tasks expected to end per second: the recent
// rate or, if higher, the rate at which the tasks now in flight would end. It
// is zero if no service time is known.
func (d *throughput) perSecond(now time.Time) float64 {
	if d.meanSeconds == 0 {
		return 0
	}
	d.decay(now)
	return max(d.rate, float64(d.inFlight)/d.meanSeconds)
}

// meanService returns the mean service time, or zero if none is known.
func (d *throughput) meanService() time.Duration {
	return time.Duration(d.meanSeconds * float64(time.Second))
}
