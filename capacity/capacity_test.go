package capacity_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/capacity"
)

func TestTaskStartsWhenEnoughCapacityIsReleased(t *testing.T) {
	g := NewWithT(t)
	tl := capacity.New(1000, []capacity.Release{{At: 30 * time.Millisecond, CPU: 2000}, {At: 10 * time.Millisecond, CPU: 1000}})
	for cpu, want := range map[int]time.Duration{1000: 0, 2000: 10 * time.Millisecond, 2001: 30 * time.Millisecond, 4000: 30 * time.Millisecond} {
		at, ok := tl.EarliestStart(cpu)
		g.Expect(ok).To(BeTrue())
		g.Expect(at).To(Equal(want), "%d", cpu)
	}
	_, ok := tl.EarliestStart(4001)
	g.Expect(ok).To(BeFalse())
}

func TestReservedCapacityIsReleasedAfterRunTime(t *testing.T) {
	g := NewWithT(t)
	tl := capacity.New(1000, nil)
	for i := range 3 {
		at, ok := tl.Reserve(1000, 20*time.Millisecond)
		g.Expect(ok).To(BeTrue())
		g.Expect(at).To(Equal(time.Duration(i) * 20 * time.Millisecond))
	}
}

func TestOverdueReleaseCountsAsNow(t *testing.T) {
	g := NewWithT(t)
	at, ok := capacity.New(0, []capacity.Release{{At: -5 * time.Millisecond, CPU: 1000}}).EarliestStart(1000)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(BeZero())
}

// The agent builds a Timeline from a map. With releases at the same time, the prediction
// depended on their order, and a recorded seed was not repeatable.
func TestTimelineDoesNotDependOnOrderOfReleases(t *testing.T) {
	g := NewWithT(t)
	second := time.Second
	startOfNext := func(releases ...capacity.Release) time.Duration {
		tl := capacity.New(0, releases)
		_, ok := tl.Reserve(5, second)
		g.Expect(ok).To(BeTrue())
		start, ok := tl.EarliestStart(3)
		g.Expect(ok).To(BeTrue())
		return start
	}
	a, b := capacity.Release{At: second, CPU: 3}, capacity.Release{At: second, CPU: 5}
	g.Expect(startOfNext(a, b)).To(Equal(startOfNext(b, a)))
}

// Guards against a task of negative size, as an odd message may have, that takes all capacity by an overflow, so that
// no other task is expected to start.
func TestTaskOfNegativeSizeReservesNothing(t *testing.T) {
	for _, cpu := range []int{-1, math.MinInt} {
		tl := capacity.New(1000, nil)
		tl.Reserve(cpu, time.Second)
		if start, ok := tl.EarliestStart(1000); start != 0 || !ok {
			t.Errorf("after a task of %d thousandths of a core: start %v, %t", cpu, start, ok)
		}
	}
}
