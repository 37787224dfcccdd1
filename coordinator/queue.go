package coordinator

import "github.com/chestnuthollow/chestnuthollow/fairqueue"

// queue holds the waiting tasks of one service.
type queue struct {
	*fairqueue.Queue[queued]
}

type queued struct {
	job   *job
	index int
}

func newQueue(limit int) queue { return queue{fairqueue.New[queued](limit)} }

// push adds all tasks of a job. Admission has seen to it that there is room.
func (q *queue) push(j *job) {
	for i := range j.tasks {
		q.Push(j.team, j.id, queued{j, i})
	}
}

// pushFront adds a task that came back, to be the next of its job.
func (q *queue) pushFront(j *job, index int) {
	q.PushFront(j.team, j.id, queued{j, index})
}

// remove drops all tasks of a job.
func (q *queue) remove(j *job) { q.RemoveJob(j.id) }
