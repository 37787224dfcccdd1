package places

import (
	"math"
	"time"
)

const (
	// bucketsPerDouble is the number of buckets between a ratio and its double. The
	// lowest bucket ends at 2^lowestExponent.
	bucketsPerDouble = 4
	lowestExponent   = -2
	buckets          = 29 // up to a ratio of 32
)

// histogram counts ratios in buckets of equal relative width.
type histogram [buckets]float64

// upperEdge returns the highest ratio of a bucket.
func upperEdge(bucket int) float64 {
	return math.Exp2(lowestExponent + float64(bucket)/bucketsPerDouble)
}

// bucketOf returns the bucket of a ratio. The highest one also counts all ratios above.
func bucketOf(ratio float64) int {
	i := math.Ceil((math.Log2(ratio) - lowestExponent) * bucketsPerDouble)
	return int(min(max(i, 0), buckets-1))
}

func (h *histogram) total() float64 {
	sum := 0.0
	for _, n := range h {
		sum += n
	}
	return sum
}

func (h *histogram) addScaled(o *histogram, factor float64) {
	for i, n := range o {
		h[i] += n * factor
	}
}

// from returns the counts of the ratios that are not lower, to the resolution of a bucket.
func (h *histogram) from(ratio float64) histogram {
	var out histogram
	for i := bucketOf(ratio); i < buckets; i++ {
		out[i] = h[i]
	}
	return out
}

// quantile returns the ratio that is not exceeded with the given probability; one if the
// histogram is empty.
func (h *histogram) quantile(p float64) float64 {
	left := p * h.total()
	if left <= 0 {
		return 1
	}
	for i, n := range h {
		if n >= left && n > 0 {
			lower := upperEdge(i - 1)
			return lower + (upperEdge(i)-lower)*left/n
		}
		left -= n
	}
	return upperEdge(buckets - 1)
}

// ratios is a histogram whose counts fade with time.
type ratios struct {
	counts  histogram
	updated time.Time
}

func (r *ratios) add(now time.Time, ratio float64) {
	r.counts = r.at(now)
	r.updated = now
	r.counts[bucketOf(ratio)]++
}

// at returns the counts as faded at a later time.
func (r *ratios) at(now time.Time) histogram {
	var out histogram
	age := max(now.Sub(r.updated), 0)
	out.addScaled(&r.counts, math.Exp(-float64(age)/float64(memory)))
	return out
}
