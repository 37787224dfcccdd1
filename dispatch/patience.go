package dispatch

import "time"

// A caller whose request broke off submits its job again, with the rest of its
// timeout. When entries restart, such resubmissions come together with the usual
// load, and there is not enough capacity for both at once. Those of callers that
// have already waited past their objective have to end while their answer is useful
// and are queued behind the jobs that can still meet theirs (deadline scheduling with
// the age of the request taken into account). Servers are chosen for them as for any
// job, so that one taken for a resubmission by mistake is late only if others are
// queued.

const (
	// patienceLoss is the share of the longest patience seen in a queue, plus the
	// objective of the job, by which the patience of a caller must be shorter for
	// the caller to be assumed to have waited before. Fresh timeouts of one queue
	// differ by up to a third, those of long jobs more, because estimates of run
	// times are inexact; a resubmission has lost more than a second.
	patienceLoss = 0.4
	// maxPatienceObjective is the longest objective of a job for which patience is
	// judged. The timeouts of longer jobs vary by more than a second with their
	// true run times, which the entry does not know.
	maxPatienceObjective = 500 * time.Millisecond
	// patienceDecay is the factor by which the longest patience decays with each
	// job, so that a changed timeout of the callers is learned.
	patienceDecay = 0.999
	// maxPatienceQueues bounds the queues whose patience is kept.
	maxPatienceQueues = 4096
)

// patience is how long the callers of a queue wait beyond twice the objective of a
// job.
type patience map[string]time.Duration // longest seen, by the name of the queue

// hasWaited records the timeout of a new job and reports whether its caller has
// already waited for an earlier submission of it.
func (p patience) hasWaited(queue string, timeout, objective time.Duration) bool {
	if timeout <= 0 || objective > maxPatienceObjective {
		return false
	}
	if len(p) >= maxPatienceQueues {
		clear(p)
	}
	wait := timeout - 2*objective
	longest := max(time.Duration(patienceDecay*float64(p[queue])), wait)
	p[queue] = longest
	return longest-wait > objective+time.Duration(patienceLoss*float64(longest))
}
