package runtimes

import (
	"math"
	"sort"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Distribution is a distribution of ratios, by its quantiles at Probabilities, between
// which it is linear. The zero value is unknown.
type Distribution struct {
	Samples int // weight, in tasks
	ratios  [len(Probabilities)]float64
}

// FromMessage returns the distribution of a message. It reports false if the message does
// not hold a valid one: positive quantiles in ascending order, as many as Probabilities.
func FromMessage(m session.RunTimes) (Distribution, bool) {
	d := Distribution{Samples: m.Samples}
	if len(m.Ratios) != len(d.ratios) || m.Samples <= 0 {
		return Distribution{}, false
	}
	previous := 1
	for i, r := range m.Ratios {
		if r < previous {
			return Distribution{}, false
		}
		previous = r
		d.ratios[i] = float64(r) / perMille
	}
	return d, true
}

// Message returns the distribution as sent in a session.State.
func (d *Distribution) Message(queue string) session.RunTimes {
	m := session.RunTimes{Queue: queue, Samples: d.Samples, Ratios: make([]int, len(d.ratios))}
	for i, r := range d.ratios {
		m.Ratios[i] = max(int(math.Round(r*perMille)), 1)
	}
	return m
}

// Known reports whether there are enough samples to use the distribution.
func (d *Distribution) Known() bool { return d.Samples >= MinSamples }

// Quantile returns the ratio that a share p of the tasks does not exceed.
func (d *Distribution) Quantile(p float64) float64 {
	i := sort.SearchFloat64s(Probabilities[:], p)
	switch {
	case i == 0:
		return d.ratios[0]
	case i == len(Probabilities):
		return d.ratios[i-1]
	}
	share := (p - Probabilities[i-1]) / (Probabilities[i] - Probabilities[i-1])
	return d.ratios[i-1] + share*(d.ratios[i]-d.ratios[i-1])
}

// Median returns the quantile at 0.5.
func (d *Distribution) Median() float64 { return d.Quantile(0.5) }

// Correction returns the factor that corrects a constant error of the queue's estimates;
// 1 if the distribution is unknown.
func (d *Distribution) Correction() float64 {
	if m := d.Median(); d.Known() && math.Abs(m-1) >= minConstantError {
		return m
	}
	return 1
}

// Below returns the share of the tasks whose ratio is at most x.
func (d *Distribution) Below(x float64) float64 {
	i := sort.SearchFloat64s(d.ratios[:], x)
	switch {
	case i == 0:
		return 0
	case i == len(d.ratios):
		return 1
	}
	share := (x - d.ratios[i-1]) / (d.ratios[i] - d.ratios[i-1])
	return Probabilities[i-1] + share*(Probabilities[i]-Probabilities[i-1])
}

// Body returns the ratio beyond which a task is in the tail of the distribution.
func (d *Distribution) Body() float64 { return bodyFactor * d.Quantile(bodyProbability) }

// HasTail reports whether more tasks take far longer than the others than errors of
// estimates explain.
func (d *Distribution) HasTail() bool {
	return d.Known() && d.Quantile(tailProbability) > d.Body()
}

// InTail reports whether a ratio is in the tail of the distribution.
func (d *Distribution) InTail(ratio float64) bool { return d.HasTail() && ratio > d.Body() }

// Remaining returns the median of what remains, as a ratio, of a task that has run for
// the ratio ran. A task that has run longer than all known ones is expected to go on for
// as long as it has exceeded the longest.
func (d *Distribution) Remaining(ran float64) float64 {
	if longest := d.ratios[len(d.ratios)-1]; ran >= longest {
		return ran - longest
	}
	return max(d.Quantile((1+d.Below(ran))/2)-ran, 0)
}
