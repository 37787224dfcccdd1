package runtimes

import (
	"math"
	"time"
)

// The bins of a histogram have equal widths on a logarithmic scale, from minRatio up.
const (
	minRatio      = 1.0 / 16
	binsPerOctave = 8
	octaves       = 9
	numBins       = octaves * binsPerOctave
	// minTopShare is the share of the weight below which the highest bins do not count:
	// tasks that have decayed.
	minTopShare = 1e-4
)

// binEdge returns the lower edge of a bin.
func binEdge(i int) float64 { return minRatio * math.Exp2(float64(i)/binsPerOctave) }

// histogram holds the decaying weights of ratios.
type histogram struct {
	weights   [numBins]float64
	total     float64
	decayedAt time.Time
}

func (h *histogram) decay(now time.Time) {
	if !h.decayedAt.IsZero() && now.After(h.decayedAt) {
		f := math.Exp(-float64(now.Sub(h.decayedAt)) / float64(decayTime))
		h.total *= f
		for i := range h.weights {
			h.weights[i] *= f
		}
	}
	h.decayedAt = now
}

// add adds a ratio with a weight. Ratios outside of the bins count in the nearest one.
func (h *histogram) add(ratio, weight float64) {
	i := int(binsPerOctave * math.Log2(ratio/minRatio))
	h.weights[min(max(i, 0), numBins-1)] += weight
	h.total += weight
}

// addDistribution adds a distribution with the weight of its samples.
func (h *histogram) addDistribution(d *Distribution) {
	below := 0.0
	for i := range h.weights {
		upTo := 1.0
		if i < numBins-1 {
			upTo = d.Below(binEdge(i + 1))
		}
		w := (upTo - below) * float64(d.Samples)
		h.weights[i] += w
		h.total += w
		below = upTo
	}
}

// distribution returns the quantiles of the histogram.
func (h *histogram) distribution() Distribution {
	d := Distribution{Samples: int(math.Round(h.total))}
	if h.total <= 0 {
		return d
	}
	bin, before := 0, 0.0
	for i, p := range Probabilities {
		target := p * h.total
		for bin < numBins-1 && before+h.weights[bin] < target {
			before += h.weights[bin]
			bin++
		}
		share := 0.5
		if w := h.weights[bin]; w > 0 {
			share = min((target-before)/w, 1)
		}
		d.ratios[i] = binEdge(bin) + share*(binEdge(bin+1)-binEdge(bin))
	}
	// Rounding may leave the last target beyond all weights, in bins that are empty.
	last := len(d.ratios) - 1
	top := numBins - 1
	for top > 0 && h.weights[top] <= minTopShare*h.total {
		top--
	}
	d.ratios[last] = max(min(d.ratios[last], binEdge(top+1)), d.ratios[last-1])
	return d
}
