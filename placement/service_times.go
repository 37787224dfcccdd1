package placement

import (
	"math/bits"
	"time"
)

// Estimation of service times.
const (
	// slownessWeight is the weight of the latest service time in an agent's
	// slowness, and classWeight its weight in the mean of a class. Both apply
	// after enough samples; see weight.
	slownessWeight = 0.05
	classWeight    = 0.01
	// maxClasses bounds the number of task classes. Tasks of any further class
	// share one.
	maxClasses = 256
	// Bounds of one sample of slowness.
	minSlownessSample = 1.0 / 64
	maxSlownessSample = 64
)

// taskClass groups tasks that are expected to have similar service times: by
// kind and by order of magnitude of the declared run time. Declared times
// separate long tasks from short ones even where they are inaccurate.
type taskClass struct {
	kind      string
	magnitude int
}

type classMean struct {
	mean    float64 // seconds on an agent of slowness 1
	samples int
}

// serviceTimes estimates the mean service time of each task class, and the
// agents' slowness relative to these means.
type serviceTimes struct {
	classes map[taskClass]*classMean
	overall classMean
}

func newServiceTimes() *serviceTimes { return &serviceTimes{classes: make(map[taskClass]*classMean)} }

// record adds the service time of one task on an agent.
func (s *serviceTimes) record(a *agent, o Outcome) {
	seconds := o.ServiceTime.Seconds()
	if seconds <= 0 {
		return
	}
	c := s.class(taskClass{kind: o.Kind, magnitude: bits.Len64(uint64(o.Declared))})
	if c.samples > 0 {
		sample := min(max(seconds/c.mean, minSlownessSample), maxSlownessSample)
		a.samples++
		a.slowness += weight(a.samples, slownessWeight) * (sample - a.slowness)
	}
	c.add(seconds / a.slowness)
	s.overall.add(seconds / a.slowness)
}

// mean returns the mean service time of all tasks on an agent of slowness 1;
// zero if there are no samples.
func (s *serviceTimes) mean() time.Duration {
	return time.Duration(s.overall.mean * float64(time.Second))
}

func (s *serviceTimes) class(key taskClass) *classMean {
	if c := s.classes[key]; c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		key = taskClass{}
	}
	c := s.classes[key]
	if c == nil {
		c = &classMean{}
		s.classes[key] = c
	}
	return c
}

func (c *classMean) add(seconds float64) {
	c.samples++
	c.mean += weight(c.samples, classWeight) * (seconds - c.mean)
}

// weight returns the weight of the nth sample in a moving average. It starts as
// 1/(n+1), which gives the initial value and all samples so far equal weight,
// and does not fall below minWeight.
func weight(n int, minWeight float64) float64 { return max(1/float64(n+1), minWeight) }
