package fairqueue

import (
	"math/bits"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
)

// team holds one team's jobs in two orders. Its turns alternate between them:
// the job with the fewest tasks left, so that small jobs pass large ones; and
// the job with the earliest deadline, so that large jobs are not starved.
type team[T any] struct {
	name     string
	start    float64 // virtual start tag of its next task
	served   uint64
	length   int
	classes  classes
	index    indexheap.Index
	smallest *indexheap.Heap[*job[T]]
	earliest *indexheap.Heap[*job[T]]
	latest   *indexheap.Heap[*job[T]]
}

func newTeam[T any](name string, start float64) *team[T] {
	return &team[T]{
		name:  name,
		start: start,
		smallest: indexheap.New(
			func(a, b *job[T]) bool { return a.len() < b.len() || a.len() == b.len() && a.deadline < b.deadline },
			func(j *job[T]) *indexheap.Index { return &j.bySize },
		),
		earliest: indexheap.New(
			func(a, b *job[T]) bool { return a.deadline < b.deadline },
			func(j *job[T]) *indexheap.Index { return &j.byDeadline },
		),
		latest: indexheap.New(
			func(a, b *job[T]) bool { return a.deadline > b.deadline },
			func(j *job[T]) *indexheap.Index { return &j.byLatest },
		),
	}
}

func (t *team[T]) next() *job[T] {
	if t.served%2 == 0 {
		return t.smallest.First()
	}
	return t.earliest.First()
}

func (t *team[T]) place(j *job[T]) {
	t.classes.move(&j.counted, j.len())
	t.smallest.Set(j)
	t.earliest.Set(j)
	t.latest.Set(j)
}

func (t *team[T]) remove(j *job[T]) {
	t.classes.move(&j.counted, 0)
	t.smallest.Remove(j)
	t.earliest.Remove(j)
	t.latest.Remove(j)
}

// classes counts a team's tasks by the magnitude of what their job has left.
type classes [16]int

func classOf(n int) int { return min(bits.Len(uint(n)), len(classes{})-1) }

// move counts a job that has n tasks left, in place of those counted before.
func (c *classes) move(counted *int, n int) {
	c[classOf(*counted)] -= *counted
	c[classOf(n)] += n
	*counted = n
}

// split returns the tasks of jobs that are not larger than n, by magnitude, and
// of those that are.
func (c *classes) split(n int) (smaller, larger int) {
	for i, tasks := range c {
		if i <= classOf(n) {
			smaller += tasks
		} else {
			larger += tasks
		}
	}
	return smaller, larger
}
