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
	// slackLoss is the share of the longest slack seen in a queue, plus the objective
	// of the job, by which the slack of a submission must be shorter for it to count
	// as a resubmission. Fresh timeouts of one queue differ by up to a third, those
	// of long jobs more, because estimates of run times are inexact; a resubmission
	// has lost more than a second.
	slackLoss = 0.4
	// maxSlackObjective is the longest objective of a job whose slack is judged. The
	// timeouts of longer jobs vary by more than a second with their true run times,
	// which the entry does not know.
	maxSlackObjective = 500 * time.Millisecond
	// slackDecay is the factor by which the longest slack decays with each job, so
	// that a changed timeout of the callers is learned.
	slackDecay = 0.999
	// maxSlackQueues bounds the queues whose longest slack is kept.
	maxSlackQueues = 4096
)

// longestSlack is the longest slack seen in each queue, by the queue's name. The slack
// of a submission is its timeout minus twice the objective.
type longestSlack map[string]time.Duration

// isResubmission records the timeout of a submission and reports whether its caller
// has already waited for an earlier one of the same job.
func (l longestSlack) isResubmission(queue string, timeout, objective time.Duration) bool {
	if timeout <= 0 || objective > maxSlackObjective {
		return false
	}
	if len(l) >= maxSlackQueues {
		clear(l)
	}
	slack := timeout - 2*objective
	longest := max(time.Duration(slackDecay*float64(l[queue])), slack)
	l[queue] = longest
	return longest-slack > objective+time.Duration(slackLoss*float64(longest))
}
