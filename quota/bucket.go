package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// burstTime determines a bucket's burst: the tasks that its rate allows in this
// time.
const burstTime = time.Second

// retryOverdraft is how far below zero, as a share of its burst, a bucket's
// tokens may be when it admits a job that comes back at its scheduled time.
const retryOverdraft = 0.5

// maxReservedShare is the largest share of its burst that a bucket reserves for
// scheduled retries.
const maxReservedShare = 0.5

// bucket is a token bucket that limits the rate of tasks. It admits a job if at
// least one token is available. A job may take more tokens than there are;
// later jobs wait until the deficit has been refilled.
type bucket struct {
	limiter *rate.Limiter
	retries *RetrySchedule
}

func newBucket() *bucket {
	return &bucket{limiter: rate.NewLimiter(rate.Inf, 1), retries: NewRetrySchedule()}
}

// setRate changes the rate in tasks per second; zero removes the limit.
func (b *bucket) setRate(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		b.limiter.SetLimitAt(now, rate.Inf)
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, max(1, int(math.Ceil(perSecond*burstTime.Seconds()))))
}

func (b *bucket) unlimited() bool { return b.limiter.Limit() == rate.Inf }

// wait returns zero if the job may be admitted now. Otherwise it schedules a
// retry and returns the time until then.
func (b *bucket) wait(now time.Time, key Key, n int) time.Duration {
	if b.unlimited() {
		return 0
	}
	tokens := b.limiter.TokensAt(now)
	perTask := time.Duration(float64(time.Second) / float64(b.limiter.Limit()))
	burst := b.limiter.Burst()
	if b.retries.IsDue(now, key) {
		if tokens >= -float64(burst)*retryOverdraft {
			return 0
		}
	} else if jobs, _ := b.retries.Pending(now, now.Add(perTask)); tokens-min(float64(jobs), float64(burst)*maxReservedShare) >= 1 {
		return 0
	}
	missing := max(1-tokens, 1)
	earliest := now.Add(time.Duration(missing * float64(perTask)))
	return b.retries.Assign(now, key, n, earliest, perTask).Sub(now)
}

// take removes the tokens for an admitted job of n tasks.
func (b *bucket) take(now time.Time, key Key, n int) {
	if b.unlimited() {
		return
	}
	b.retries.Consume(now, key)
	for burst := b.limiter.Burst(); n > 0; n -= burst {
		b.limiter.ReserveN(now, min(n, burst))
	}
}

func (b *bucket) full(now time.Time) bool {
	return b.unlimited() || b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
}
