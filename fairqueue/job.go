package fairqueue

import (
	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// deadlinePerTask is how far each task of a job moves the job's deadline back,
// in tasks served to the team. See team for how deadlines are used.
const deadlinePerTask = 2

type job[T any] struct {
	id   structs.JobID
	team string
	// deadline is in tasks served to the team, not in time: a job that is twice
	// as large may wait twice as long.
	deadline     float64
	returned     []T // popped and pushed back, the latest one last
	tasks        []T
	head         int // index of the first task in tasks that is still queued
	countedTasks int // tasks left, as counted in the team's size classes
	bySize       indexheap.Index
	byDeadline   indexheap.Index
	byLatest     indexheap.Index
}

func (j *job[T]) len() int { return len(j.returned) + len(j.tasks) - j.head }

func (j *job[T]) push(task T) {
	j.tasks = append(j.tasks, task)
	j.deadline += deadlinePerTask
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
