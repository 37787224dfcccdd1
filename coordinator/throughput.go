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
	rate        float64   // moving average, in tasks per second
	at          time.Time // when rate was last updated
	inFlight    int       // number of tasks at agents
	meanSeconds float64   // mean service time in seconds; zero until one is known
}

// taskEnded records the end of a placed task. serviceTime is zero if unknown.
func (t *throughput) taskEnded(now time.Time, serviceTime time.Duration) {
	t.inFlight--
	if serviceTime <= 0 {
		return
	}
	t.decay(now)
	t.rate += 1 / rateWindow.Seconds()
	if t.meanSeconds == 0 {
		t.meanSeconds = serviceTime.Seconds()
	}
	t.meanSeconds += serviceTimeSampleWeight * (serviceTime.Seconds() - t.meanSeconds)
}

func (t *throughput) decay(now time.Time) {
	t.rate = t.rateAt(now)
	t.at = now
}

// rateAt returns the moving average if no further task ends until now.
func (t *throughput) rateAt(now time.Time) float64 {
	return t.rate * math.Exp(-now.Sub(t.at).Seconds()/rateWindow.Seconds())
}

// perSecond returns the number of tasks expected to end per second: the recent
// rate or, if higher, the rate at which the tasks now in flight would end. It
// is zero if no service time is known.
func (t *throughput) perSecond(now time.Time) float64 {
	if t.meanSeconds == 0 {
		return 0
	}
	t.decay(now)
	return max(t.rate, float64(t.inFlight)/t.meanSeconds)
}

// meanServiceTime returns the mean service time, or zero if none is known.
func (t *throughput) meanServiceTime() time.Duration {
	return time.Duration(t.meanSeconds * float64(time.Second))
}
