// Package capacity predicts when a backend server has enough free processor
// capacity for another task, from the running and queued tasks. It reads no
// clock: all times are durations from one common moment, called now.
package capacity

import (
	"slices"
	"time"
)

// Release is the release of processor capacity, in thousandths of a core, at a
// time from now. A time in the past counts as now.
type Release struct {
	At  time.Duration
	CPU int
}

// Timeline is the free capacity of one backend server over time. The zero value
// has no capacity.
type Timeline struct {
	freeNow  int       // thousandths of a core
	releases []Release // earliest first
}

// New returns a Timeline of a server that has the given free capacity now, in
// thousandths of a core. The releases may be in any order.
func New(free int, releases []Release) *Timeline {
	t := &Timeline{freeNow: free, releases: slices.Clone(releases)}
	slices.SortFunc(t.releases, func(a, b Release) int { return int(a.At - b.At) })
	return t
}

// Clone returns a copy that is independent of t.
func (t *Timeline) Clone() *Timeline {
	return &Timeline{freeNow: t.freeNow, releases: slices.Clone(t.releases)}
}

// EarliestStart returns when a task of the given size can start. It reports false
// if the server never has enough free capacity for it.
func (t *Timeline) EarliestStart(cpu int) (time.Duration, bool) {
	free := t.freeNow
	if free >= cpu {
		return 0, true
	}
	for _, r := range t.releases {
		free += r.CPU
		if free >= cpu {
			return max(r.At, 0), true
		}
	}
	return 0, false
}

// Reserve reserves capacity for a task from its earliest start on and returns that
// start. It reports false, and reserves nothing, if the task never fits. A malformed task
// of negative size reserves nothing.
func (t *Timeline) Reserve(cpu int, runTime time.Duration) (time.Duration, bool) {
	cpu = max(cpu, 0)
	start, ok := t.EarliestStart(cpu)
	if !ok {
		return 0, false
	}
	left, used := t.freeNow, 0
	for left < cpu {
		left += t.releases[used].CPU
		used++
	}
	t.releases = t.releases[used:]
	left -= cpu
	if later := left - t.freeNow; later > 0 {
		t.addRelease(Release{At: start, CPU: later})
	}
	t.freeNow = min(t.freeNow, left)
	t.addRelease(Release{At: start + runTime, CPU: cpu})
	return start, true
}

func (t *Timeline) addRelease(r Release) {
	i, _ := slices.BinarySearchFunc(t.releases, r, func(a, b Release) int { return int(a.At - b.At) })
	t.releases = slices.Insert(t.releases, i, r)
}

// rampSteps is the number of releases into which Ramp divides the capacity.
const rampSteps = 4

// Ramp returns the releases of capacity that becomes available evenly until a time from
// now, in thousandths of a core.
func Ramp(cpu int, until time.Duration) []Release {
	releases := make([]Release, 0, rampSteps)
	for i := range rampSteps {
		step := cpu*(i+1)/rampSteps - cpu*i/rampSteps
		releases = append(releases, Release{At: until * time.Duration(i+1) / rampSteps, CPU: step})
	}
	return releases
}
