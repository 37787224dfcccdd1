package fairqueue

import (
	"math/bits"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
)

// team holds one team's queued jobs. Its turns alternate between the job with
// the fewest tasks left, so that small jobs overtake large ones, and the job
// with the earliest deadline, so that large jobs are not starved.
type team[T any] struct {
	name        string
	startTag    float64 // virtual start time of the team's next task
	servedTasks uint64
	length      int // queued tasks
	sizeClasses sizeClasses
	activeIndex indexheap.Index
	smallest    *indexheap.Heap[*job[T]] // fewest tasks left first
	earliest    *indexheap.Heap[*job[T]] // earliest deadline first
	latest      *indexheap.Heap[*job[T]] // latest deadline first
}

func newTeam[T any](name string, startTag float64) *team[T] {
	return &team[T]{
		name:     name,
		startTag: startTag,
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

// nextJob returns the job that the team's next task comes from.
func (t *team[T]) nextJob() *job[T] {
	if t.servedTasks%2 == 0 {
		return t.smallest.First()
	}
	return t.earliest.First()
}

// reindex restores a job's position in the heaps and its size class after its
// tasks have changed.
func (t *team[T]) reindex(j *job[T]) {
	t.sizeClasses.update(&j.countedTasks, j.len())
	t.smallest.Set(j)
	t.earliest.Set(j)
	t.latest.Set(j)
}

func (t *team[T]) remove(j *job[T]) {
	t.sizeClasses.update(&j.countedTasks, 0)
	t.smallest.Remove(j)
	t.earliest.Remove(j)
	t.latest.Remove(j)
}

// sizeClasses counts a team's queued tasks by the size class of their job: the
// order of magnitude, to base 2, of the number of tasks that the job has left.
type sizeClasses [16]int

func sizeClassOf(n int) int { return min(bits.Len(uint(n)), len(sizeClasses{})-1) }

// update replaces the tasks counted for a job so far by the n tasks that it now
// has left.
func (c *sizeClasses) update(countedTasks *int, n int) {
	c[sizeClassOf(*countedTasks)] -= *countedTasks
	c[sizeClassOf(n)] += n
	*countedTasks = n
}

// split returns the number of tasks of jobs up to the size class of n, and the
// number of tasks of jobs in larger size classes.
func (c *sizeClasses) split(n int) (smaller, larger int) {
	for i, tasks := range c {
		if i <= sizeClassOf(n) {
			smaller += tasks
		} else {
			larger += tasks
		}
	}
	return smaller, larger
}
