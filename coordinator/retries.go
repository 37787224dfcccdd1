package coordinator

// taskReturns puts a task that certainly has not run back into the queue, at
// once if the retry budget allows it.
func (c *Coordinator) taskReturns(j *job, index int) {
	t := &j.tasks[index]
	t.phase = waiting
	t.agent = 0
	svc := j.service
	if svc.retries.Take() {
		svc.queue.pushFront(j, index)
		return
	}
	svc.delayed = append(svc.delayed, queued{j, index})
}

// releaseDelayed puts delayed tasks back into the queue as far as the retry
// budget allows. Those of jobs that have failed meanwhile are dropped.
func (s *service) releaseDelayed() {
	for len(s.delayed) > 0 {
		next := s.delayed[0]
		if next.job.failure == nil {
			if !s.retries.Take() {
				return
			}
			s.queue.pushFront(next.job, next.index)
		}
		s.delayed[0] = queued{}
		s.delayed = s.delayed[1:]
	}
}
