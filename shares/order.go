package shares

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
)

// Waiting is a task in the queue of a backend server.
type Waiting struct {
	Rank    Rank
	CPU     int           // thousandths of a core
	RunTime time.Duration // expected
	Within  time.Duration // time left until its latest start
}

// maxOrdered bounds the tasks that Order and Displaced examine one by one: each needs a
// forecast of the whole queue.
const maxOrdered = 48

// Forecast returns the free capacity of the backend server over time, without the queued
// tasks. Each call returns a copy that may be modified.
type Forecast func() *capacity.Timeline

// Order returns the indexes of the tasks in the order in which they should start, and how
// many of them, the last ones, cannot start in time because others go first. The tasks are
// given in the order of their latest starts, and keep it while all can start in time or
// all are of one rank. Otherwise each rank in turn gets what the ranks before it leave,
// by tasks.
func Order(waiting []Waiting, forecast Forecast) (order []int, deferred int) {
	order = make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	if oneRank(waiting) || allInTime(waiting, order, forecast) {
		return order, 0
	}
	byRank := slices.Clone(order)
	slices.SortStableFunc(byRank, func(a, b int) int { return cmp.Compare(waiting[a].Rank, waiting[b].Rank) })
	if len(waiting) > maxOrdered {
		return byRank, 0
	}
	var kept, late []int
	for _, i := range byRank {
		at, _ := slices.BinarySearch(kept, i)
		if with := slices.Insert(slices.Clone(kept), at, i); allInTime(waiting, with, forecast) {
			kept = with
		} else {
			late = append(late, i)
		}
	}
	return append(kept, late...), len(late)
}

func oneRank(waiting []Waiting) bool {
	return !slices.ContainsFunc(waiting, func(w Waiting) bool { return w.Rank != waiting[0].Rank })
}

// allInTime reports whether the tasks at the indexes start in time in that order.
func allInTime(waiting []Waiting, order []int, forecast Forecast) bool {
	line := forecast()
	for _, i := range order {
		if start, ok := line.Reserve(waiting[i].CPU, waiting[i].RunTime); !ok || start > waiting[i].Within {
			return false
		}
	}
	return true
}

// Displaced returns how many of the waiting tasks would start in time only without the
// added ones. All start in the order of their latest starts.
func Displaced(waiting, added []Waiting, forecast Forecast) int {
	if len(waiting) == 0 || len(waiting) > maxOrdered {
		return len(waiting)
	}
	before := inTime(waiting, len(waiting), forecast)
	after := inTime(slices.Concat(waiting, added), len(waiting), forecast)
	displaced := 0
	for i := range waiting {
		if before[i] && !after[i] {
			displaced++
		}
	}
	return displaced
}

// inTime returns which of the first n tasks start in time, in the order of their latest
// starts.
func inTime(tasks []Waiting, n int, forecast Forecast) []bool {
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tasks[a].Within, tasks[b].Within) })
	result := make([]bool, n)
	line := forecast()
	for _, i := range order {
		start, ok := line.Reserve(tasks[i].CPU, tasks[i].RunTime)
		if i < n {
			result[i] = ok && start <= tasks[i].Within
		}
	}
	return result
}

// Admits reports whether a task that is added to the queue starts in time, if tasks of
// higher ranks give way to it, and leaves those of lower ranks that would start in time
// without it. The tasks are in the order of their latest starts.
func Admits(waiting []Waiting, task Waiting, forecast Forecast) bool {
	var ahead, protected []Waiting
	for _, w := range waiting {
		if w.Rank < task.Rank {
			protected = append(protected, w)
		}
		if w.Rank <= task.Rank && w.Within < task.Within {
			ahead = append(ahead, w)
		}
	}
	line := forecast()
	for _, w := range ahead {
		line.Reserve(w.CPU, w.RunTime)
	}
	if start, ok := line.EarliestStart(task.CPU); !ok || start > task.Within {
		return false
	}
	return Displaced(protected, []Waiting{task}, forecast) == 0
}
