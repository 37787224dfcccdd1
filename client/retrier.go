package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// retryAfterSpread is the share by which a Retry-After is stretched at random,
// so that refused clients do not come back together.
const retryAfterSpread = 0.25

// Reasons for not retrying.
var (
	errRetriesUsed = errors.New("client: no retry left for this call")
	errBudgetUsed  = errors.New("client: the retry budget of all calls is used up")
	errTooLate     = errors.New("client: the next retry would come after the deadline")
)

// retrier paces the retries of one call.
type retrier struct {
	c     *Client
	tries int // retries in a row
}

func (c *Client) newRetrier() *retrier {
	c.budget.earn()
	return &retrier{c: c}
}

// progressed forgets earlier failures.
func (r *retrier) progressed() { r.tries = 0 }

// wait returns nil when the next retry is due, or why there is none.
// retryAfter is what the entry asked for; zero if nothing.
func (r *retrier) wait(ctx context.Context, retryAfter time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.tries >= r.c.opts.MaxRetries {
		return errRetriesUsed
	}
	delay := r.delay(retryAfter)
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(delay).After(deadline) {
		return errTooLate
	}
	if !r.c.budget.spend() {
		return errBudgetUsed
	}
	r.tries++
	return sleep(ctx, delay)
}

// delay returns the backoff with full jitter, or the time that the entry asked
// for, stretched.
func (r *retrier) delay(retryAfter time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + time.Duration(rand.Float64()*retryAfterSpread*float64(retryAfter))
	}
	ceiling := r.c.opts.MinBackoff
	for range r.tries {
		ceiling = min(2*ceiling, r.c.opts.MaxBackoff)
	}
	return time.Duration(rand.Int64N(int64(ceiling) + 1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
