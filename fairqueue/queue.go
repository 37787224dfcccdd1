// Package fairqueue implements the queue of one service's tasks at an entry. It
// shares the service between teams by weighted fair queueing, and orders the
// jobs of a team so that small jobs do not wait behind large ones and large jobs
// are not starved. The package does no I/O and reads no clock.
package fairqueue

import (
	"maps"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Queue holds tasks of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	limit       int
	length      int
	virtualTime float64             // start tag of the team served last
	teams       map[string]*team[T] // those with queued tasks
	jobs        map[structs.JobID]*job[T]
	teamWeights map[string]float64 // those set by SetWeight
	// finishTags holds, for teams without queued tasks, the tag at which the last
	// task of the team is finished, while it is ahead of virtualTime.
	finishTags map[string]float64
	// activeWeight is the sum of the weights of the teams with queued tasks.
	activeWeight float64
	active       *indexheap.Heap[*team[T]] // lowest start tag first
}

// New returns an empty queue that accepts up to limit tasks through Push.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:       limit,
		teams:       make(map[string]*team[T]),
		jobs:        make(map[structs.JobID]*job[T]),
		teamWeights: make(map[string]float64),
		finishTags:  make(map[string]float64),
		active: indexheap.New(
			func(a, b *team[T]) bool { return a.startTag < b.startTag },
			func(t *team[T]) *indexheap.Index { return &t.activeIndex },
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

// FreeCapacity returns how many more tasks Push accepts.
func (q *Queue[T]) FreeCapacity() int { return max(q.limit-q.length, 0) }

// SetLimit changes the limit. Tasks that are already queued stay, even if they
// exceed it.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// SetWeight sets a team's weight under contention. The default is 1; a weight
// that is not positive restores it.
func (q *Queue[T]) SetWeight(name string, weight float64) {
	before := q.weightOf(name)
	if weight > 0 {
		q.teamWeights[name] = weight
	} else {
		delete(q.teamWeights, name)
	}
	if q.teams[name] != nil {
		q.activeWeight += q.weightOf(name) - before
	}
}

// Push appends a task to its job. It returns false and adds nothing if the queue
// is full.
func (q *Queue[T]) Push(teamName string, id structs.JobID, task T) bool {
	if q.length >= q.limit {
		return false
	}
	t, j := q.activate(teamName, id)
	j.push(task)
	t.reindex(j)
	t.length++
	q.length++
	return true
}

// PushFront returns a task that was popped and has not run to the front of its
// job. The limit does not apply.
func (q *Queue[T]) PushFront(teamName string, id structs.JobID, task T) {
	t, j := q.activate(teamName, id)
	j.pushFront(task)
	t.reindex(j)
	t.length++
	q.length++
}

// Peek returns the task that Pop would remove; it returns false if there is none.
func (q *Queue[T]) Peek() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.active.First().nextJob().peek(), true
}

// Pop removes and returns the next task; it returns false if there is none.
func (q *Queue[T]) Pop() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	t := q.active.First()
	return q.popFrom(t, t.nextJob()), true
}

// PeekLeastUrgent returns the task that PopLeastUrgent would remove; it returns
// false if there is none.
func (q *Queue[T]) PeekLeastUrgent() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.active.First().latest.First().peek(), true
}

// PopLeastUrgent removes and returns the task that can wait longest: of the team
// that is served next, a task of the job with the latest deadline. It returns
// false if there is none.
func (q *Queue[T]) PopLeastUrgent() (T, bool) {
	if q.active.Len() == 0 {
		var zero T
		return zero, false
	}
	t := q.active.First()
	return q.popFrom(t, t.latest.First()), true
}

// popFrom removes the first task of a job and charges it to the team: the team's
// start tag advances in inverse proportion to its weight.
func (q *Queue[T]) popFrom(t *team[T], j *job[T]) T {
	q.virtualTime = t.startTag
	task := j.pop()
	t.servedTasks++
	t.length--
	q.length--
	t.startTag += 1 / q.weightOf(t.name)
	if j.len() > 0 {
		t.reindex(j)
	} else {
		q.deleteJob(t, j)
	}
	if t.length > 0 {
		q.active.Set(t)
	}
	return task
}

// RemoveJob removes all queued tasks of a job and returns them in order.
func (q *Queue[T]) RemoveJob(id structs.JobID) []T {
	j := q.jobs[id]
	if j == nil {
		return nil
	}
	tasks := j.drain()
	t := q.teams[j.team]
	t.length -= len(tasks)
	q.length -= len(tasks)
	q.deleteJob(t, j)
	return tasks
}

func (q *Queue[T]) weightOf(name string) float64 {
	if w, ok := q.teamWeights[name]; ok {
		return w
	}
	return 1
}

// activate returns the team and the job, created if they have no queued tasks. A
// team that returns starts at the current virtual time, so that it gains no credit
// for the time it was idle, but not before the finish of its last task (start-time
// fair queueing).
func (q *Queue[T]) activate(name string, id structs.JobID) (*team[T], *job[T]) {
	t := q.teams[name]
	if t == nil {
		t = newTeam[T](name, max(q.virtualTime, q.finishTags[name]))
		delete(q.finishTags, name)
		q.teams[name] = t
		q.activeWeight += q.weightOf(name)
		q.active.Set(t)
	}
	j := q.jobs[id]
	if j == nil {
		j = &job[T]{id: id, team: name, deadline: float64(t.servedTasks)}
		q.jobs[id] = j
	}
	return t, j
}

// deleteJob removes a job without tasks, and its team if the team has none left.
func (q *Queue[T]) deleteJob(t *team[T], j *job[T]) {
	t.remove(j)
	delete(q.jobs, j.id)
	if t.length == 0 {
		q.active.Remove(t)
		q.activeWeight -= q.weightOf(t.name)
		delete(q.teams, t.name)
		q.keepFinishTag(t)
	}
}

// keepFinishTag keeps the finish tag of a team that has no queued tasks left, and
// drops those that virtual time has passed. When no task is queued, nobody is ahead.
func (q *Queue[T]) keepFinishTag(t *team[T]) {
	if q.length == 0 {
		clear(q.finishTags)
		return
	}
	maps.DeleteFunc(q.finishTags, func(_ string, tag float64) bool { return tag <= q.virtualTime })
	q.finishTags[t.name] = t.startTag
}

// EstimateBacklog estimates how many tasks are served until a new job of n tasks
// of the team has been served completely, its own tasks included.
func (q *Queue[T]) EstimateBacklog(name string, n int) float64 {
	t := q.teams[name]
	if t == nil {
		return float64(n) * (q.activeWeight + q.weightOf(name)) / q.weightOf(name)
	}
	smaller, larger := t.sizeClasses.split(n)
	own := n + smaller
	own += min(own, larger) // every second turn of the team may go to a larger job
	return float64(own) * q.activeWeight / q.weightOf(name)
}
