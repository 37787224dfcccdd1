package coordinator

import "github.com/chestnuthollow/chestnuthollow/fairqueue"

// queue holds the waiting tasks of one service.
type queue struct {
	*fairqueue.Queue[queuedTask]
}

type queuedTask struct {
	job   *job
	index int
}

func newQueue(limit int) queue { return queue{fairqueue.New[queuedTask](limit)} }

// push adds all tasks of a job. Admission has checked that the queue has
// capacity for them.
func (q *queue) push(j *job) {
	for i := range j.tasks {
		q.Push(j.team, j.id, queuedTask{j, i})
	}
}

// pushFront returns a task that did not start to the front of its job.
func (q *queue) pushFront(j *job, index int) {
	q.PushFront(j.team, j.id, queuedTask{j, index})
}

// remove removes all tasks of a job.
func (q *queue) remove(j *job) { q.RemoveJob(j.id) }
