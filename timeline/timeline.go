// Package timeline predicts when a backend server has room for another task,
// from the tasks that run and wait there. It is pure arithmetic; all times are
// durations from one common moment.
package timeline

import (
	"slices"
	"time"
)

// Release is processor capacity, in thousandths of a core, that falls free.
type Release struct {
	At  time.Duration
	CPU int
}

// Timeline is the free capacity of one backend server over time. The zero
// value has none.
type Timeline struct {
	free  int       // free now, in thousandths of a core
	spans []Release // capacity that falls free later, earliest first
}

// New returns a Timeline of a server with free thousandths of a core now and
// the given releases, in any order.
func New(free int, releases []Release) *Timeline {
	t := &Timeline{free: free, spans: slices.Clone(releases)}
	slices.SortFunc(t.spans, func(a, b Release) int { return int(a.At - b.At) })
	return t
}

// EarliestStart returns when a task of the given size could start. It reports false if
// the server never has room for it.
func (t *Timeline) EarliestStart(cpu int) (time.Duration, bool) {
	free := t.free
	if free >= cpu {
		return 0, true
	}
	for _, s := range t.spans {
		free += s.CPU
		if free >= cpu {
			return max(s.At, 0), true
		}
	}
	return 0, false
}

// Reserve reserves room for a task from its earliest start and returns that start.
func (t *Timeline) Reserve(cpu int, runs time.Duration) (time.Duration, bool) {
	start, ok := t.EarliestStart(cpu)
	if !ok {
		return 0, false
	}
	used := 0
	for t.free < cpu {
		t.free += t.spans[used].CPU
		used++
	}
	t.spans = t.spans[used:]
	t.free -= cpu
	t.insert(Release{At: start + runs, CPU: cpu})
	return start, true
}

func (t *Timeline) insert(s Release) {
	i, _ := slices.BinarySearchFunc(t.spans, s, func(a, b Release) int { return int(a.At - b.At) })
	t.spans = slices.Insert(t.spans, i, s)
}
