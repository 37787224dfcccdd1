package coordinator

// queue holds the waiting tasks of one service and serves its jobs in turn, one
// task each, so that a small job does not wait behind a large one.
type queue struct {
	jobs []*queued
	turn int
	size int
}

type queued struct {
	job   *job
	tasks []int // indexes, next first
}

// push adds all tasks of a job.
func (q *queue) push(j *job) {
	entry := &queued{job: j, tasks: make([]int, len(j.tasks))}
	for i := range entry.tasks {
		entry.tasks[i] = i
	}
	q.jobs = append(q.jobs, entry)
	q.size += len(entry.tasks)
}

// pushFront adds a task that came back, to be the next of its job.
func (q *queue) pushFront(j *job, index int) {
	q.size++
	for _, entry := range q.jobs {
		if entry.job == j {
			entry.tasks = append([]int{index}, entry.tasks...)
			return
		}
	}
	q.jobs = append(q.jobs, &queued{job: j, tasks: []int{index}})
}

// peek returns the next task.
func (q *queue) peek() (*job, int, bool) {
	if q.size == 0 {
		return nil, 0, false
	}
	q.turn %= len(q.jobs)
	entry := q.jobs[q.turn]
	return entry.job, entry.tasks[0], true
}

// pop removes the task that peek returned and moves the turn on.
func (q *queue) pop() {
	entry := q.jobs[q.turn]
	entry.tasks = entry.tasks[1:]
	q.size--
	if len(entry.tasks) == 0 {
		q.jobs = append(q.jobs[:q.turn], q.jobs[q.turn+1:]...)
		return
	}
	q.turn++
}

// remove drops all tasks of a job.
func (q *queue) remove(j *job) {
	for i, entry := range q.jobs {
		if entry.job != j {
			continue
		}
		q.size -= len(entry.tasks)
		q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
		if q.turn > i {
			q.turn--
		}
		return
	}
}
