package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// retryAfterJitter is the largest fraction by which a Retry-After is extended at
// random, so that refused clients do not all retry at the same time.
const retryAfterJitter = 0.25

// Reasons for not retrying.
var (
	errRetriesExhausted = errors.New("client: maximum number of retries reached for this call")
	errBudgetExhausted  = errors.New("client: retry budget shared by all calls is exhausted")
	errPastDeadline     = errors.New("client: next retry would be after the deadline")
)

// retrier limits and delays the retries of one call.
type retrier struct {
	c       *Client
	retries int // consecutive retries
}

func (c *Client) newRetrier() *retrier {
	c.budget.deposit()
	return &retrier{c: c}
}

// reset clears the count of consecutive retries after progress.
func (r *retrier) reset() { r.retries = 0 }

// wait blocks until the next retry is due and returns nil, or returns the reason
// why there is no further retry. retryAfter is the delay that the entry asked
// for; zero if it asked for none.
func (r *retrier) wait(ctx context.Context, retryAfter time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.retries >= r.c.opts.MaxRetries {
		return errRetriesExhausted
	}
	delay := r.delay(retryAfter)
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(delay).After(deadline) {
		return errPastDeadline
	}
	if !r.c.budget.withdraw() {
		return errBudgetExhausted
	}
	r.retries++
	return sleep(ctx, delay)
}

// delay returns the delay that the entry asked for, plus jitter, or else
// exponential backoff with full jitter.
func (r *retrier) delay(retryAfter time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + time.Duration(rand.Float64()*retryAfterJitter*float64(retryAfter))
	}
	ceiling := r.c.opts.MinBackoff
	for range r.retries {
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
