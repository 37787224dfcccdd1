package fairqueue

import (
	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// stretch is how many served tasks of its team a job may fall behind for each
// task of its own before it comes first by deadline.
const stretch = 2

type job[T any] struct {
	id   structs.JobID
	team string
	// deadline is in tasks served to the team: a job that is twice as large may
	// wait twice as long.
	deadline   float64
	returned   []T // popped and come back, the last one first
	tasks      []T
	head       int
	counted    int // tasks left, as counted by the team
	bySize     indexheap.Index
	byDeadline indexheap.Index
	byLatest   indexheap.Index
}

func (j *job[T]) len() int { return len(j.returned) + len(j.tasks) - j.head }

func (j *job[T]) push(task T) {
	j.tasks = append(j.tasks, task)
	j.deadline += stretch
}

func (j *job[T]) pushFront(task T) { j.returned = append(j.returned, task) }

func (j *job[T]) peek() T {
	if n := len(j.returned) - 1; n >= 0 {
		return j.returned[n]
	}
	return j.tasks[j.head]
}

func (j *job[T]) pop() T {
	var zero T
	if n := len(j.returned) - 1; n >= 0 {
		task := j.returned[n]
		j.returned[n] = zero
		j.returned = j.returned[:n]
		return task
	}
	task := j.tasks[j.head]
	j.tasks[j.head] = zero
	j.head++
	return task
}

func (j *job[T]) drain() []T {
	all := make([]T, 0, j.len())
	for j.len() > 0 {
		all = append(all, j.pop())
	}
	return all
}
