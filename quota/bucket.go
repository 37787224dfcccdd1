package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// burstTime is how much of its rate a bucket holds when at rest.
const burstTime = time.Second

// keptOverdraft is the share of its burst that a bucket may lack and still let a
// job pass that keeps the time it was promised.
const keptOverdraft = 0.5

// reservedShare is the share of its burst that a bucket keeps back for promised
// jobs.
const reservedShare = 0.5

// bucket bounds a rate of tasks. A job passes if a whole token is there and may
// take more tokens than there are; the next ones wait until that is paid.
type bucket struct {
	limiter  *rate.Limiter
	promises *RetrySchedule
}

func newBucket() *bucket {
	return &bucket{limiter: rate.NewLimiter(rate.Inf, 1), promises: NewRetrySchedule()}
}

// set changes the rate in tasks a second; zero lifts the bound.
func (b *bucket) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		b.limiter.SetLimitAt(now, rate.Inf)
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, max(1, int(math.Ceil(perSecond*burstTime.Seconds()))))
}

func (b *bucket) unbounded() bool { return b.limiter.Limit() == rate.Inf }

// wait returns how long a job must wait; zero if it may pass now.
func (b *bucket) wait(now time.Time, key Key, n int) time.Duration {
	if b.unbounded() {
		return 0
	}
	tokens := b.limiter.TokensAt(now)
	perTask := time.Duration(float64(time.Second) / float64(b.limiter.Limit()))
	burst := b.limiter.Burst()
	if b.promises.IsDue(now, key) {
		if tokens >= -float64(burst)*keptOverdraft {
			return 0
		}
	} else if jobs, _ := b.promises.Pending(now, now.Add(perTask)); tokens-min(float64(jobs), float64(burst)*reservedShare) >= 1 {
		return 0
	}
	short := max(1-tokens, 1)
	free := now.Add(time.Duration(short * float64(perTask)))
	return b.promises.Assign(now, key, n, free, perTask).Sub(now)
}

// take charges a job that passes.
func (b *bucket) take(now time.Time, key Key, n int) {
	if b.unbounded() {
		return
	}
	b.promises.Consume(now, key)
	for burst := b.limiter.Burst(); n > 0; n -= burst {
		b.limiter.ReserveN(now, min(n, burst))
	}
}

func (b *bucket) full(now time.Time) bool {
	return b.unbounded() || b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
}
