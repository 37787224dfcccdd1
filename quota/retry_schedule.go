package quota

import "time"

const (
	// maxScheduledRetries bounds the retries that a schedule records. Jobs
	// refused beyond that are all assigned a time after the last recorded one.
	maxScheduledRetries = 4096
	// A scheduled retry is kept for retryGrace after its time, plus
	// retryGraceShare of the wait, because clients wait longer than the RetryAfter
	// that they receive.
	retryGrace      = 250 * time.Millisecond
	retryGraceShare = 0.3
	// maxRetryEarliness is how long before its time a retry may arrive.
	maxRetryEarliness = 20 * time.Millisecond
)

// Key identifies the content of a submission. A caller resubmits a refused job
// under a new id but with the same content.
type Key [16]byte

// RetrySchedule assigns retry times to refused jobs, spaced by the work of the
// jobs scheduled before them, and records them, so that newly arriving jobs do
// not displace a job that comes back at its assigned time. It is not safe for
// concurrent use.
type RetrySchedule struct {
	order []*scheduledRetry // by time
	byKey map[Key][]*scheduledRetry
}

type scheduledRetry struct {
	key       Key
	at        time.Time
	expiresAt time.Time
	tasks     int
	consumed  bool
}

// NewRetrySchedule returns an empty schedule.
func NewRetrySchedule() *RetrySchedule {
	return &RetrySchedule{byKey: make(map[Key][]*scheduledRetry)}
}

// Assign returns the time at which a refused job of n tasks should be submitted
// again: earliest or, if later, the end of the last scheduled job, at perTask
// for each of its tasks.
func (s *RetrySchedule) Assign(now time.Time, key Key, n int, earliest time.Time, perTask time.Duration) time.Time {
	s.expire(now)
	at := earliest
	if last := s.last(); last != nil {
		if after := last.at.Add(time.Duration(last.tasks) * perTask); after.After(at) {
			at = after
		}
	}
	if len(s.order) < maxScheduledRetries {
		grace := retryGrace + time.Duration(retryGraceShare*float64(at.Sub(now)))
		retry := &scheduledRetry{key: key, at: at, expiresAt: at.Add(grace), tasks: n}
		s.order = append(s.order, retry)
		s.byKey[key] = append(s.byKey[key], retry)
	}
	return at
}

// IsDue reports whether the job has a scheduled retry whose time has come.
func (s *RetrySchedule) IsDue(now time.Time, key Key) bool {
	s.expire(now)
	list := s.byKey[key]
	return len(list) > 0 && !now.Before(list[0].at.Add(-maxRetryEarliness))
}

// Pending returns the number of jobs, and of their tasks, that are scheduled for
// a time up to until and have not come back yet.
func (s *RetrySchedule) Pending(now, until time.Time) (jobs, tasks int) {
	s.expire(now)
	for _, retry := range s.order {
		if retry.at.After(until) {
			break
		}
		if !retry.consumed {
			jobs++
			tasks += retry.tasks
		}
	}
	return jobs, tasks
}

// Consume removes the job's first scheduled retry if it is due.
func (s *RetrySchedule) Consume(now time.Time, key Key) {
	if s.IsDue(now, key) {
		s.byKey[key][0].consumed = true
		s.dropFirst(key)
	}
}

func (s *RetrySchedule) dropFirst(key Key) {
	if list := s.byKey[key][1:]; len(list) > 0 {
		s.byKey[key] = list
		return
	}
	delete(s.byKey, key)
}

func (s *RetrySchedule) last() *scheduledRetry {
	if len(s.order) == 0 {
		return nil
	}
	return s.order[len(s.order)-1]
}

// expire drops retries from the front of the order that were consumed or whose
// grace period has ended.
func (s *RetrySchedule) expire(now time.Time) {
	for len(s.order) > 0 {
		first := s.order[0]
		if !first.consumed && now.Before(first.expiresAt) {
			return
		}
		if !first.consumed {
			s.dropFirst(first.key)
		}
		s.order = s.order[1:]
	}
}
