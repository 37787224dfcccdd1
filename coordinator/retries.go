package coordinator

// requeueTask returns a task that certainly has not run to the queue: at once
// if the retry budget allows it, otherwise with a delay.
func (c *Coordinator) requeueTask(j *job, index int) {
	t := &j.tasks[index]
	t.phase = waiting
	t.agent = 0
	svc := j.service
	if svc.retries.Take() {
		svc.queue.pushFront(j, index)
		return
	}
	svc.retryDelayed = append(svc.retryDelayed, queuedTask{j, index})
}

// releaseDelayed returns delayed tasks to the queue as far as the retry budget
// allows. Tasks of jobs that have failed in the meantime are dropped.
func (s *service) releaseDelayed() {
	for len(s.retryDelayed) > 0 {
		next := s.retryDelayed[0]
		if next.job.failure == nil {
			if !s.retries.Available() {
				return
			}
			s.retries.Take()
			s.queue.pushFront(next.job, next.index)
		}
		s.retryDelayed[0] = queuedTask{}
		s.retryDelayed = s.retryDelayed[1:]
	}
}
