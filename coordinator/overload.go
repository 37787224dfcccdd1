package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Parameters of refusals for lack of capacity.
const (
	// scheduledWaitFactor multiplies MaxQueueWait for a job that was refused and
	// is submitted again at its assigned time.
	scheduledWaitFactor = 2
	// minRetryAfter and maxRetryAfter bound the Retry-After hint.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// checkQueue refuses a job whose expected time in the queue exceeds the limit
// or the job's timeout. The estimate is the number of tasks served up to and
// including the job's last one, divided by the rate at which tasks end. Unless
// the job is itself a scheduled retry that is due, it includes the tasks of the
// scheduled retries that are due. Besides MaxQueueWait the limit allows twice
// the time that the job's own tasks take at that rate.
func (c *Coordinator) checkQueue(svc *service, spec *structs.JobSpec, key quota.Key) *structs.Error {
	perSecond := svc.throughput.perSecond(c.now)
	if perSecond == 0 || svc.queue.Len() == 0 {
		svc.retrySchedule.Consume(c.now, key)
		return nil
	}
	n := len(spec.Tasks)
	limit := c.opts.MaxQueueWait
	tasksAhead := svc.queue.EstimateBacklog(spec.Team, n)
	if svc.retrySchedule.IsDue(c.now, key) {
		limit *= scheduledWaitFactor
	} else {
		_, scheduledTasks := svc.retrySchedule.Pending(c.now, c.now)
		tasksAhead += float64(scheduledTasks)
	}
	limit = min(limit+2*seconds(float64(n)/perSecond), c.timeout(spec))
	wait := seconds(tasksAhead / perSecond)
	if wait <= limit {
		svc.retrySchedule.Consume(c.now, key)
		return nil
	}
	earliest := c.now.Add(max(wait-limit, minRetryAfter))
	retryAt := svc.retrySchedule.Assign(c.now, key, n, earliest, seconds(1/perSecond))
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun,
		"service %s has %d tasks queued at this entry: the expected wait of this job is %s", svc.name, svc.queue.Len(), wait.Round(time.Millisecond)).
		WithRetryAfter(min(retryAt.Sub(c.now), maxRetryAfter))
}

// timeout returns the job's timeout, which counts from its admission.
func (c *Coordinator) timeout(spec *structs.JobSpec) time.Duration {
	if spec.Timeout == 0 {
		return c.opts.DefaultTimeout
	}
	return spec.Timeout
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
