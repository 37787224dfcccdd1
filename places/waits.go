package places

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// waitFloor is added to both waits of a ratio, so that short waits, whose length is
	// mostly noise, count as about right.
	waitFloor = 10 * time.Millisecond
	// memory is the time constant with which observations fade. It spans some queues of a
	// busy server and is shorter than the load of a rack takes to change.
	memory = 5 * time.Second
	// priorSamples is the weight of the assumption that a wait is as long as expected,
	// and the largest weight of what was observed at other racks.
	priorSamples = 4
	// maxRacks bounds the racks whose waits are learned separately.
	maxRacks = 256
)

// classLimits separate classes of expected waits, which are learned separately: a wait
// behind one task and one behind a long queue go wrong in different ways.
var classLimits = [...]time.Duration{10 * time.Millisecond, 40 * time.Millisecond, 160 * time.Millisecond}

const classes = len(classLimits) + 1

func classOf(expected time.Duration) int {
	i, found := slices.BinarySearch(classLimits[:], expected)
	if found {
		i++
	}
	return i
}

// Waits is the learned distribution of waits relative to the expected ones, by rack. The
// zero value has no observations. It is not safe for concurrent use.
type Waits struct {
	all   waitClasses
	racks map[string]*waitClasses
}

type waitClasses struct {
	classes [classes]ratios
	newest  time.Time // when the last wait was observed
}

// Observe records a wait at a rack.
func (w *Waits) Observe(now time.Time, rack string, expected, actual time.Duration) {
	ratio := float64(max(actual, 0)+waitFloor) / float64(max(expected, 0)+waitFloor)
	class := classOf(expected)
	w.all.classes[class].add(now, ratio)
	r := w.racks[rack]
	if r == nil {
		r = w.addRack(rack)
	}
	r.classes[class].add(now, ratio)
	r.newest = now
}

// addRack adds a rack, in the place of the one that was observed least recently if there
// are too many.
func (w *Waits) addRack(rack string) *waitClasses {
	if w.racks == nil {
		w.racks = make(map[string]*waitClasses)
	}
	if len(w.racks) >= maxRacks {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(w.racks)), func(a, b string) int {
			return cmp.Or(w.racks[a].newest.Compare(w.racks[b].newest), cmp.Compare(a, b))
		})
		delete(w.racks, oldest)
	}
	r := &waitClasses{}
	w.racks[rack] = r
	return r
}

// Within returns how long a wait at a rack lasts at most, with the given certainty, that
// is expected to be of the given length.
func (w *Waits) Within(now time.Time, rack string, expected time.Duration, certainty float64) time.Duration {
	counts := w.blend(now, rack, expected)
	return waitOf(counts.quantile(certainty), expected)
}

// Remaining returns how much longer a wait at a rack lasts at most, with the given
// certainty, that was expected to be of the given length and has not ended yet. Beyond
// the longest waits observed it assumes that a wait lasts as long again, which costs at
// most twice the better choice.
func (w *Waits) Remaining(now time.Time, rack string, expected, waited time.Duration, certainty float64) time.Duration {
	counts := w.blend(now, rack, expected)
	longer := counts.from(float64(waited+waitFloor) / float64(max(expected, 0)+waitFloor))
	if longer.total() < 1 {
		return waited
	}
	return max(waitOf(longer.quantile(certainty), expected)-waited, 0)
}

// blend returns what is known of waits at the rack of the class of the expected one.
func (w *Waits) blend(now time.Time, rack string, expected time.Duration) histogram {
	class := classOf(expected)
	var sum histogram
	sum[bucketOf(1)] = priorSamples
	all := w.all.classes[class].at(now)
	if n := all.total(); n > 0 {
		sum.addScaled(&all, min(priorSamples/n, 1))
	}
	if r := w.racks[rack]; r != nil {
		own := r.classes[class].at(now)
		sum.addScaled(&own, 1)
	}
	return sum
}

func waitOf(ratio float64, expected time.Duration) time.Duration {
	return max(time.Duration(ratio*float64(max(expected, 0)+waitFloor))-waitFloor, 0)
}

// RackWaits is what is known of the waits at a rack, for operators.
type RackWaits struct {
	Rack    string  `json:"rack"`
	Samples float64 `json:"samples"` // of late, faded
	// MedianOverExpected and P90OverExpected are quantiles of the waits over the expected
	// ones, for expected waits of 10 to 40 ms.
	MedianOverExpected float64 `json:"median_over_expected"`
	P90OverExpected    float64 `json:"p90_over_expected"`
}

// Dump returns what is known of each rack, ordered by rack.
func (w *Waits) Dump(now time.Time) []RackWaits {
	var list []RackWaits
	for _, rack := range slices.Sorted(maps.Keys(w.racks)) {
		counts := w.blend(now, rack, classLimits[0])
		samples := 0.0
		for i := range w.racks[rack].classes {
			own := w.racks[rack].classes[i].at(now)
			samples += own.total()
		}
		list = append(list, RackWaits{
			Rack: rack, Samples: math.Round(samples*10) / 10,
			MedianOverExpected: counts.quantile(likely), P90OverExpected: counts.quantile(sure),
		})
	}
	return list
}
