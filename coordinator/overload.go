package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/quota"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Refusals for want of capacity.
const (
	// keptTolerance is how much longer than MaxQueueWait a job may wait that
	// comes back at the time it was promised, as a factor.
	keptTolerance = 2
	// minRetryAfter and maxRetryAfter bound the hint of when to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// checkQueue refuses a job that would wait too long for its turn, or past its
// timeout. The estimate is the tasks that are served before its last one, at
// the rate at which tasks end.
func (c *Coordinator) checkQueue(svc *service, spec *structs.JobSpec, key quota.Key) *structs.Error {
	perSecond := svc.drain.perSecond(c.now)
	if perSecond == 0 || svc.queue.Len() == 0 {
		return nil
	}
	n := len(spec.Tasks)
	limit := c.cfg.MaxQueueWait
	ahead := svc.queue.EstimateBacklog(spec.Team, n)
	if svc.promises.IsDue(c.now, key) {
		limit *= keptTolerance
	} else {
		_, due := svc.promises.Pending(c.now, c.now)
		ahead += float64(due)
	}
	limit += 2 * seconds(float64(n)/perSecond)
	wait := seconds(ahead / perSecond)
	if wait <= min(limit, c.timeout(spec)) {
		svc.promises.Consume(c.now, key)
		return nil
	}
	free := c.now.Add(max(wait-limit, minRetryAfter))
	at := svc.promises.Assign(c.now, key, n, free, seconds(1/perSecond))
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun,
		"service %s has %d tasks waiting here, %s for this job", svc.name, svc.queue.Len(), wait.Round(time.Millisecond)).
		WithRetryAfter(min(at.Sub(c.now), maxRetryAfter))
}

// timeout returns the job's timeout from its admission.
func (c *Coordinator) timeout(spec *structs.JobSpec) time.Duration {
	if spec.Timeout == 0 {
		return c.cfg.DefaultTimeout
	}
	return spec.Timeout
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
