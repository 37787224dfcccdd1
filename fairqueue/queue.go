// Package fairqueue is the queue of one service's tasks at an entry. It is fair
// between teams by weight, and orders the jobs of a team so that a small one
// does not wait behind a large one and a large one is not starved. It does no
// I/O and reads no clock.
package fairqueue

import (
	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Queue holds tasks of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	limit  int
	length int
	clock  float64 // virtual time: the start tag of the team last served
	teams  map[string]*team[T]
	jobs   map[structs.JobID]*job[T]
	shares map[string]float64
	// weights is the sum of the shares of the teams with queued tasks.
	weights float64
	active  *indexheap.Heap[*team[T]]
}

// New returns an empty queue that Push fills with at most limit tasks.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:  limit,
		teams:  make(map[string]*team[T]),
		jobs:   make(map[structs.JobID]*job[T]),
		shares: make(map[string]float64),
		active: indexheap.New(
			func(a, b *team[T]) bool { return a.start < b.start },
			func(t *team[T]) *indexheap.Index { return &t.index },
		),
	}
}

// Len returns the number of queued tasks.
func (q *Queue[T]) Len() int { return q.length }

// Jobs returns the number of jobs with queued tasks.
func (q *Queue[T]) Jobs() int { return len(q.jobs) }

// TeamLen returns the number of queued tasks of one team.
func (q *Queue[T]) TeamLen(name string) int {
	if t := q.teams[name]; t != nil {
		return t.length
	}
	return 0
}

// FreeCapacity returns how many tasks Push still takes.
func (q *Queue[T]) FreeCapacity() int { return max(q.limit-q.length, 0) }

// SetLimit changes the bound. Tasks already queued stay.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// SetWeight sets a team's weight under contention; the default is 1, and a
// weight that is not positive takes the default back.
func (q *Queue[T]) SetWeight(name string, weight float64) {
	before := q.share(name)
	if weight > 0 {
		q.shares[name] = weight
	} else {
		delete(q.shares, name)
	}
	if q.teams[name] != nil {
		q.weights += q.share(name) - before
	}
}

// Push adds a task behind the others of its job. It returns false, and adds
// nothing, if the queue is full.
func (q *Queue[T]) Push(teamName string, id structs.JobID, task T) bool {
	if q.length >= q.limit {
		return false
	}
	t, j := q.open(teamName, id)
	j.push(task)
	t.place(j)
	t.length++
	q.length++
	return true
}

// PushFront adds a task that was popped and has not run: it is the first of its
// job again. The limit does not apply to it.
func (q *Queue[T]) PushFront(teamName string, id structs.JobID, task T) {
	t, j := q.open(teamName, id)
	j.pushFront(task)
	t.place(j)
	t.length++
	q.length++
}

// Peek returns the task that Pop would take out.
func (q *Queue[T]) Peek() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.active.First().next().peek(), true
}

// Pop takes the next task out; it returns false if there is none.
func (q *Queue[T]) Pop() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	t := q.active.First()
	return q.take(t, t.next()), true
}

// PeekLeastUrgent returns the task that PopLast would take out.
func (q *Queue[T]) PeekLeastUrgent() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.active.First().latest.First().peek(), true
}

// PopLeastUrgent takes out the task that can wait longest: of the team whose turn it
// is, one of the job with the latest deadline. It returns false if there is
// none.
func (q *Queue[T]) PopLeastUrgent() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	t := q.active.First()
	return q.take(t, t.latest.First()), true
}

func (q *Queue[T]) take(t *team[T], j *job[T]) T {
	q.clock = t.start
	task := j.pop()
	t.served++
	t.length--
	q.length--
	t.start += 1 / q.share(t.name)
	if j.len() > 0 {
		t.place(j)
	} else {
		q.close(t, j)
	}
	if t.length > 0 {
		q.active.Set(t)
	}
	return task
}

// RemoveJob takes all queued tasks of a job out and returns them in order.
func (q *Queue[T]) RemoveJob(id structs.JobID) []T {
	j := q.jobs[id]
	if j == nil {
		return nil
	}
	tasks := j.drain()
	t := q.teams[j.team]
	t.length -= len(tasks)
	q.length -= len(tasks)
	q.close(t, j)
	return tasks
}

func (q *Queue[T]) share(name string) float64 {
	if w, ok := q.shares[name]; ok {
		return w
	}
	return 1
}

// open returns the team and the job, made active if they were not. A team that
// was idle starts at the present virtual time: it gains nothing from its rest.
func (q *Queue[T]) open(name string, id structs.JobID) (*team[T], *job[T]) {
	t := q.teams[name]
	if t == nil {
		t = newTeam[T](name, q.clock)
		q.teams[name] = t
		q.weights += q.share(name)
		q.active.Set(t)
	}
	j := q.jobs[id]
	if j == nil {
		j = &job[T]{id: id, team: name, deadline: float64(t.served)}
		q.jobs[id] = j
	}
	return t, j
}

func (q *Queue[T]) close(t *team[T], j *job[T]) {
	t.remove(j)
	delete(q.jobs, j.id)
	if t.length == 0 {
		q.active.Remove(t)
		q.weights -= q.share(t.name)
		delete(q.teams, t.name)
	}
}

// EstimateBacklog estimates how many tasks are served before the last one of a new job of
// n tasks of the team, its own included.
func (q *Queue[T]) EstimateBacklog(name string, n int) float64 {
	t := q.teams[name]
	if t == nil {
		return float64(n) * (q.weights + q.share(name)) / q.share(name)
	}
	smaller, larger := t.classes.split(n)
	own := n + smaller
	own += min(own, larger)
	return float64(own) * q.weights / q.share(name)
}
