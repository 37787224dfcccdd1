package runtimes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/runtimes"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// learned returns the distribution of ratios that are recorded in turn at one moment.
func learned(t interface{ Helper() }, n int, ratio func(i int) float64) (*runtimes.Tracker, session.RunTimes) {
	t.Helper()
	tracker := &runtimes.Tracker{}
	for i := range n {
		tracker.Record(epoch, "check", ratio(i))
	}
	tracker.Record(epoch.Add(2*time.Second), "check", ratio(n))
	list, _ := tracker.Since(0)
	return tracker, list[0]
}

// threeInAHundred is a ratio near 1, and of three tasks in a hundred near 7.
func threeInAHundred(i int) float64 {
	if i%100 < 3 {
		return 7
	}
	return 0.7 + 0.006*float64(i%100)
}

func TestTailOfThreeInAHundredIsKnownFromQuantiles(t *testing.T) {
	g := NewWithT(t)
	_, m := learned(t, 1000, threeInAHundred)
	d, ok := runtimes.FromMessage(m)
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Median()).To(BeNumerically("~", 1, 0.06))
	g.Expect(d.Body()).To(BeNumerically("~", 1.9, 0.2))
	g.Expect(d.Quantile(0.99)).To(BeNumerically("~", 7, 0.4))
	// A task that has run for twice the expected time is one of the long ones.
	g.Expect(d.Remaining(0)).To(BeNumerically("~", 1, 0.06))
	g.Expect(d.Remaining(2)).To(BeNumerically(">", 3))
	// One that has outrun all is expected to go on for as long as it exceeds them.
	g.Expect(d.Remaining(9)).To(BeNumerically("~", 2, 0.5))
}

func TestTheConstantErrorOfAQueueIsItsMedian(t *testing.T) {
	g := NewWithT(t)
	_, m := learned(t, 300, func(int) float64 { return 2 })
	d, _ := runtimes.FromMessage(m)
	g.Expect(d.Median()).To(BeNumerically("~", 2, 0.1))
}

func TestQuantilesAscendAndInvertBelow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		ratios := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 40).Draw(rt, "ratios")
		_, m := learned(t, 200, func(i int) float64 { return ratios[i%len(ratios)] })
		d, ok := runtimes.FromMessage(m)
		g.Expect(ok).To(BeTrue(), fmt.Sprint(m.Ratios))
		p := rapid.Float64Range(0, 1).Draw(rt, "p")
		x := d.Quantile(p)
		g.Expect(d.Below(x * 1.001)).To(BeNumerically(">=", min(p, 0.99)-1e-6))
		g.Expect(d.Remaining(x)).To(BeNumerically(">=", 0))
	})
}

func TestEarlierTasksLoseTheirWeight(t *testing.T) {
	g := NewWithT(t)
	tracker, _ := learned(t, 1000, func(int) float64 { return 1 })
	later := epoch.Add(5 * time.Minute)
	for range 100 {
		tracker.Record(later, "check", 3)
	}
	tracker.Record(later.Add(2*time.Second), "check", 3)
	d := tracker.Of("check")
	g.Expect(d.Median()).To(BeNumerically("~", 3, 0.3))
	g.Expect(d.Samples).To(BeNumerically("<", 130))
}

func TestQueuesAreBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := &runtimes.Tracker{}
	for range 100 {
		tracker.Record(epoch, "kept", 1)
	}
	for i := range 1000 {
		tracker.Record(epoch.Add(3*time.Second), fmt.Sprint("queue-", i), 1)
		tracker.Record(epoch.Add(3*time.Second), "kept", 1)
	}
	g.Expect(tracker.Queues()).To(Equal([]string{"kept"}))
	g.Expect(tracker.Tracked()).To(BeNumerically("<=", 64))
}

func TestMessagesOfOtherBuildsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	_, good := learned(t, 200, threeInAHundred)
	for name, spoil := range map[string]func(m *session.RunTimes){
		"fewer quantiles": func(m *session.RunTimes) { m.Ratios = m.Ratios[1:] },
		"descending":      func(m *session.RunTimes) { m.Ratios[3] = m.Ratios[2] - 1 },
		"zero":            func(m *session.RunTimes) { m.Ratios[0] = 0 },
		"no samples":      func(m *session.RunTimes) { m.Samples = 0 },
	} {
		bad := session.RunTimes{Queue: good.Queue, Samples: good.Samples, Ratios: append([]int(nil), good.Ratios...)}
		spoil(&bad)
		f := runtimes.NewFleet()
		g.Expect(f.Update(epoch, "agent-1", 1, []session.RunTimes{bad})).To(Equal(1), name)
		known := f.Of(epoch, "check")
		g.Expect(known.Known()).To(BeFalse(), name)
	}
}

// Few tasks of a queue run at each server, but many at all.
func TestFleetCombinesServersThatKnowTooLittleEach(t *testing.T) {
	g := NewWithT(t)
	f := runtimes.NewFleet()
	_, m := learned(t, 60, func(i int) float64 { return 1 + 0.01*float64(i%10) })
	m.Samples = 20
	for i := range 10 {
		f.Update(epoch, fmt.Sprint("agent-", i), 1, []session.RunTimes{m})
	}
	d := f.Of(epoch.Add(2*time.Second), "check")
	g.Expect(d.Samples).To(Equal(200))
	g.Expect(d.Median()).To(BeNumerically("~", 1.05, 0.06))
}

func TestServerThatDiffersIsTakenByItsOwnRunTimes(t *testing.T) {
	g := NewWithT(t)
	f := runtimes.NewFleet()
	_, usual := learned(t, 400, func(int) float64 { return 1 })
	_, long := learned(t, 400, func(int) float64 { return 2 })
	for i := range 9 {
		f.Update(epoch, fmt.Sprint("agent-", i), 1, []session.RunTimes{usual})
	}
	f.Update(epoch, "other", 1, []session.RunTimes{long})
	later := epoch.Add(2 * time.Second)
	like, other := f.At(later, "agent-1", "check"), f.At(later, "other", "check")
	g.Expect(like.Median()).To(BeNumerically("~", 1, 0.06))
	g.Expect(other.Median()).To(BeNumerically("~", 2, 0.12))
}

// One failure: a reply is delayed and arrives after newer ones, or the agent restarts and
// knows nothing yet.
func TestDelayedReplyAndRestartedAgentChangeNothing(t *testing.T) {
	g := NewWithT(t)
	f := runtimes.NewFleet()
	_, before := learned(t, 400, func(int) float64 { return 1 })
	_, now := learned(t, 400, func(int) float64 { return 2 })
	median := func(at time.Duration) float64 { d := f.Of(epoch.Add(at), "check"); return d.Median() }
	f.Update(epoch, "agent-1", 10, []session.RunTimes{now})
	f.Update(epoch, "agent-1", 9, []session.RunTimes{before})
	g.Expect(median(2 * time.Second)).To(BeNumerically("~", 2, 0.12))
	f.Open("agent-1")
	f.Update(epoch, "agent-1", 1, nil)
	g.Expect(median(4 * time.Second)).To(BeNumerically("~", 2, 0.12))
	f.Update(epoch, "agent-1", 2, []session.RunTimes{before})
	g.Expect(median(6 * time.Second)).To(BeNumerically("~", 1, 0.06))
}

func TestOnlyChangedRunTimesAreSent(t *testing.T) {
	g := NewWithT(t)
	tracker, _ := learned(t, 100, func(int) float64 { return 1 })
	all, version := tracker.Since(0)
	g.Expect(all).To(HaveLen(1))
	tracker.Record(epoch.Add(3*time.Second), "check", 1) // within the interval of publication
	again, version := tracker.Since(version)
	g.Expect(again).To(BeEmpty())
	tracker.Record(epoch.Add(5*time.Second), "check", 1)
	changed, _ := tracker.Since(version)
	g.Expect(changed).To(HaveLen(1))
}
