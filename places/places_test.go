package places_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/places"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Waits at a rack that turn out three times as long as expected are expected to, at this
// rack at once and at others less, and are forgotten.
func TestWaitsAreLearned(t *testing.T) {
	g := NewWithT(t)
	var w places.Waits
	g.Expect(w.Within(start, "r0", 60*ms, 0.9)).To(BeNumerically("~", 60*ms, 6*ms), "as expected")
	now := start
	for range 100 {
		now = now.Add(20 * ms)
		w.Observe(now, "r0", 60*ms, 200*ms)
	}
	g.Expect(w.Within(now, "r0", 60*ms, 0.3)).To(BeNumerically("~", 200*ms, 30*ms))
	g.Expect(w.Within(now, "r1", 60*ms, 0.4)).To(BeNumerically("<", 70*ms))
	g.Expect(w.Within(now, "r0", 5*ms, 0.9)).To(BeNumerically("<", 10*ms), "short waits are another class")
	g.Expect(w.Within(now.Add(time.Minute), "r0", 60*ms, 0.9)).To(BeNumerically("~", 60*ms, 6*ms))

	place := places.Option{Rack: "r0", Wait: 60 * ms, Run: 60 * ms}
	options := places.Options{Place: place, Mixed: places.Option{Wait: places.Never}, Away: places.Option{Rack: "r1", Run: 120 * ms}}
	limits := places.Limits{Objective: 150 * ms, Latest: 450 * ms}
	g.Expect(w.Choose(now, options, limits).Where).To(Equal(places.Away))
	g.Expect(w.Choose(now.Add(time.Minute), options, limits).Where).To(Equal(places.AtPlace))
}

// A wait without end, at a server that hangs, is given up when it has taken about as long
// as the run away costs more.
func TestEndlessWaitIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	var w places.Waits
	elsewhere := places.Option{Rack: "r1", Run: 180 * ms}
	gaveUp := time.Duration(0)
	for waited := time.Duration(0); gaveUp == 0 && waited < time.Second; waited += 10 * ms {
		task := places.Waiting{Option: places.Option{Rack: "r0", Wait: 20 * ms, Run: 60 * ms}, Waited: waited}
		if w.GiveUp(start, task, elsewhere, 0, 150*ms-waited) {
			gaveUp = waited
		}
	}
	g.Expect(gaveUp).To(BeNumerically("~", 120*ms, 20*ms))
}

// Whatever was observed, waits are not negative, grow with the certainty, and memory is
// bounded.
func TestWaitsAreSane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var w places.Waits
		now := start
		wait := rapid.Map(rapid.IntRange(-5, 5000), func(n int) time.Duration { return time.Duration(n) * ms })
		for range rapid.IntRange(0, 40).Draw(t, "observations") {
			now = now.Add(wait.Draw(t, "pause"))
			w.Observe(now, rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "rack"), wait.Draw(t, "expected"), wait.Draw(t, "actual"))
		}
		expected := wait.Draw(t, "expected")
		previous := time.Duration(0)
		for _, certainty := range []float64{0.1, 0.5, 0.9, 1} {
			within := w.Within(now, "r0", expected, certainty)
			g.Expect(within).To(BeNumerically(">=", previous))
			previous = within
			g.Expect(w.Remaining(now, "r0", expected, wait.Draw(t, "waited"), certainty)).To(BeNumerically(">=", 0))
		}
	})
	g := NewWithT(t)
	var w places.Waits
	var d places.Demand
	for i := range 1000 {
		w.Observe(start.Add(time.Duration(i)), fmt.Sprint(i), 0, 0)
		d.Add(start, fmt.Sprint(i))
	}
	g.Expect(w.Dump(start)).To(HaveLen(256))
	g.Expect(d.Racks(start)).To(HaveLen(16))
	g.Expect(d.Racks(start.Add(time.Minute))).To(BeEmpty())
}
