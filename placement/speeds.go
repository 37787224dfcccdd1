package placement

import (
	"math/bits"
	"time"
)

// Learning of service times.
const (
	// speedWeight is the weight of one more service time in an agent's
	// slowness, and classWeight in the mean of a class, once both have seen
	// enough.
	speedWeight = 0.05
	classWeight = 0.01
	// maxClasses bounds the classes that are told apart; tasks of further ones
	// share one.
	maxClasses = 256
	// Bounds of one observation of slowness.
	leastSlowness = 1.0 / 64
	mostSlowness  = 64
)

// class groups tasks that are expected to take alike: by kind, and by the
// magnitude of the declared time, which orders tasks even where it is wrong.
type class struct {
	kind      string
	magnitude int
}

type classMean struct {
	mean    float64 // seconds on an agent of slowness 1
	samples int
}

// speeds learns the mean service time of each class, and the agents' slowness
// relative to them.
type speeds struct {
	classes map[class]*classMean
	overall classMean
}

func newSpeeds() *speeds { return &speeds{classes: make(map[class]*classMean)} }

// learn takes in one service time at an agent.
func (s *speeds) learn(a *agent, o Outcome) {
	seconds := o.ServiceTime.Seconds()
	if seconds <= 0 {
		return
	}
	c := s.class(class{kind: o.Kind, magnitude: bits.Len64(uint64(o.Declared))})
	if c.samples > 0 {
		x := min(max(seconds/c.mean, leastSlowness), mostSlowness)
		a.samples++
		a.slowness += weight(a.samples, speedWeight) * (x - a.slowness)
	}
	c.add(seconds / a.slowness)
	s.overall.add(seconds / a.slowness)
}

// mean returns the mean service time on an agent of slowness 1; zero if none
// has been seen.
func (s *speeds) mean() time.Duration {
	return time.Duration(s.overall.mean * float64(time.Second))
}

func (s *speeds) class(key class) *classMean {
	if c := s.classes[key]; c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		key = class{}
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

// weight is that of the nth observation: an equal part of all at first, then
// at least steady.
func weight(n int, steady float64) float64 { return max(1/float64(n+1), steady) }
