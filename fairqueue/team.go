package fairqueue

import "github.com/chestnuthollow/chestnuthollow/internal/indexheap"

// team holds one team's jobs in two orders. Its turns alternate between them:
// the job with the fewest tasks left, so that small jobs pass large ones; and
// the job with the earliest deadline, so that large jobs are not starved.
type team[T any] struct {
	name     string
	start    float64 // virtual start tag of its next task
	served   uint64
	length   int
	index    indexheap.Index
	smallest *indexheap.Heap[*job[T]]
	earliest *indexheap.Heap[*job[T]]
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
	}
}

func (t *team[T]) next() *job[T] {
	if t.served%2 == 0 {
		return t.smallest.First()
	}
	return t.earliest.First()
}

func (t *team[T]) place(j *job[T]) {
	t.smallest.Set(j)
	t.earliest.Set(j)
}

func (t *team[T]) remove(j *job[T]) {
	t.smallest.Remove(j)
	t.earliest.Remove(j)
}
