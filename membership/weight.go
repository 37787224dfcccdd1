package membership

import (
	"math"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// maxProcessors bounds the processors of an instance that are believed.
	maxProcessors = 1024
	// maxLeftOut is the probability that an agent is left out by all entries up to which
	// their subsets are weighted freely.
	maxLeftOut = 1e-4
	// weightingGain is by how much less probable it has to be otherwise than with subsets of
	// equal size.
	weightingGain = 10
)

// weighting is how strongly the sizes of subsets follow the processor time of their entries:
// the exponents of the ratio to the mean, for entries below it and above it.
type weighting struct{ below, above float64 }

// weightings are tried in turn, from the one that spares small entries most.
var weightings = []weighting{
	{1, 0}, {1, 0.5}, {1, 1},
	{0.5, 0}, {0.5, 0.5}, {0.5, 1},
	{0.25, 0}, {0.25, 0.5}, {0.25, 1},
}

// WeightedSubsetSize returns with how many of the agents the entry self keeps sessions beside
// the other entries: SubsetSize, less for an entry with less processor time than the mean, and
// possibly more for one with more. Sizes differ only if an agent is then left out by all entries
// with a probability of at most maxLeftOut, or far less often than with subsets of SubsetSize,
// also while any one availability zone is lost.
func WeightedSubsetSize(agents int, self session.Process, others []session.Process) int {
	entries := append(others[:len(others):len(others)], self)
	equal := SubsetSize(agents, len(entries))
	ratios := processorRatios(entries)
	if equal <= minSubset || isEven(ratios) {
		return equal
	}
	zones := zoneIndexes(entries)
	sizes := make([]int, len(entries))
	for i := range sizes {
		sizes[i] = equal
	}
	bounds := leftOut(agents, sizes, zones)
	for i, p := range bounds {
		bounds[i] = max(p/weightingGain, maxLeftOut)
	}
	for _, w := range weightings {
		for i, r := range ratios {
			sizes[i] = w.size(equal, r, agents)
		}
		if isWithin(leftOut(agents, sizes, zones), bounds) {
			return sizes[len(sizes)-1]
		}
	}
	return equal
}

// size returns the size of the subset of an entry whose processor time has the given ratio to
// the mean.
func (w weighting) size(equal int, ratio float64, agents int) int {
	if ratio < 1 {
		return min(max(int(math.Ceil(float64(equal)*math.Pow(ratio, w.below))), minSubset), equal)
	}
	return min(int(math.Ceil(float64(equal)*math.Pow(ratio, w.above))), agents)
}

// processorRatios returns the processor time of each entry relative to the mean. Entries that
// do not announce it count as the mean.
func processorRatios(entries []session.Process) []float64 {
	sum, known := 0.0, 0
	for _, p := range entries {
		if hasProcessors(p) {
			sum += p.Processors
			known++
		}
	}
	ratios := make([]float64, len(entries))
	for i, p := range entries {
		ratios[i] = 1
		if hasProcessors(p) {
			ratios[i] = p.Processors * float64(known) / sum
		}
	}
	return ratios
}

func hasProcessors(p session.Process) bool { return p.Processors > 0 && p.Processors <= maxProcessors }

func isEven(ratios []float64) bool {
	for _, r := range ratios {
		if r != ratios[0] {
			return false
		}
	}
	return true
}

// zoneIndexes returns the availability zones of the entries as numbers from zero. Entries that
// do not announce theirs count as one zone.
func zoneIndexes(entries []session.Process) []int {
	known := make(map[string]int)
	indexes := make([]int, len(entries))
	for i, p := range entries {
		index, ok := known[p.Zone]
		if !ok {
			index = len(known)
			known[p.Zone] = index
		}
		indexes[i] = index
	}
	return indexes
}

// leftOut returns the probability that an agent is in the subset of no entry outside each
// availability zone, and as the last element in that of no entry at all.
func leftOut(agents int, sizes, zones []int) []float64 {
	count := slices.Max(zones) + 1
	outside := slices.Repeat([]float64{1}, count+1)
	for i, size := range sizes {
		share := 1 - float64(size)/float64(agents)
		for zone := range outside {
			if zone != zones[i] {
				outside[zone] *= share
			}
		}
	}
	return outside
}

// isWithin reports whether no probability exceeds its bound.
func isWithin(probabilities, bounds []float64) bool {
	for i, p := range probabilities {
		if p > bounds[i] {
			return false
		}
	}
	return true
}
