package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	// firstBuffer is the size in bytes of the first buffer of a body whose length is unknown.
	firstBuffer = 512
	// DecodeFactor is the memory that decoding may take, for each byte of a body.
	DecodeFactor = 8
	// growthSlack is the part of a buffer up to which the next one is made larger to be the last.
	growthSlack = 8
	// memoryWait bounds the wait for memory that other bodies have to return.
	memoryWait = time.Second
	// RetryAfter is when a refused client should come back: by then, a body that was refused a place could have
	// taken that of a slow one.
	RetryAfter = 2 * paceGrace
)

// TooLargeError means that a body exceeds the limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body over %d bytes", e.Limit) }

// ShortageError means that a body was not read to its end, because all bodies together would take too much
// memory.
type ShortageError struct {
	Held, Capacity int64 // bytes
}

// Error implements error.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("too many large requests: their bodies hold %d of %d bytes", e.Held, e.Capacity)
}

// Pool reads the bodies of requests within a bound on their memory. It is safe for concurrent use.
type Pool struct {
	limits   Limits
	decoding *semaphore.Weighted
	logger   log.Logger
	logging  rate.Sometimes

	mu      sync.Mutex
	budget  budget
	refused int64
}

// NewPool returns a Pool with the given limits.
func NewPool(l Limits, logger log.Logger) *Pool {
	return &Pool{
		limits: l, budget: newBudget(l.BodyBytes), decoding: semaphore.NewWeighted(l.DecodeBytes),
		logger: logger, logging: rate.Sometimes{Interval: logInterval},
	}
}

// Held returns the bytes that large bodies hold, and how many bodies were refused because of the bound.
func (p *Pool) Held() (bytes, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.used, p.refused
}

// Body is a body that was read. It holds memory of its pool until Close.
type Body struct {
	pool  *Pool
	claim *claim
	bytes []byte
}

// Read reads the body of a request. It returns a *TooLargeError if the body is longer than limit bytes, or
// than the pool can hold, and a *ShortageError if there is no memory for it. If the length is declared, it
// does so before it reads anything.
func (p *Pool) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	limit = min(limit, p.limits.LargestBody())
	if r.ContentLength > limit {
		return nil, &TooLargeError{limit}
	}
	last := limit + 1 // one byte more shows that the body is too long
	size := int64(firstBuffer)
	if r.ContentLength >= 0 {
		last = r.ContentLength
		size = 2 * SmallBody
	}
	b := &Body{pool: p, claim: newClaim(time.Now(), func() error {
		return http.NewResponseController(w).SetReadDeadline(time.Now())
	})}
	err := b.read(r, min(size, last), last)
	if err == nil && int64(len(b.bytes)) > limit {
		err = &TooLargeError{limit}
	}
	if err == nil {
		err = b.finish()
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	if c := connOf(r); c != nil {
		c.received()
	}
	return b, nil
}

// read reads until the end of the body, or until last bytes were read. The first buffer has size bytes.
func (b *Body) read(r *http.Request, size, last int64) error {
	for {
		if err := b.grow(r.Context(), size); err != nil {
			return err
		}
		for len(b.bytes) < cap(b.bytes) {
			n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
			b.bytes = b.bytes[:len(b.bytes)+n]
			if cap(b.bytes) > SmallBody {
				b.pool.progressed(b.claim, len(b.bytes))
			}
			switch {
			case err == io.EOF:
				return nil
			case err != nil && b.pool.isAbandoned(b.claim):
				return b.pool.refuse()
			case err != nil:
				return fmt.Errorf("read body: after %d bytes: %w", len(b.bytes), err)
			}
		}
		if int64(len(b.bytes)) >= last {
			return nil
		}
		if size *= 2; size+size/growthSlack > last {
			size = last
		}
	}
}

// grow replaces the buffer by one of size bytes.
func (b *Body) grow(ctx context.Context, size int64) error {
	if size > SmallBody {
		if err := b.pool.take(ctx, b.claim, size); err != nil {
			return err
		}
	}
	earlier := int64(cap(b.bytes))
	buf := make([]byte, len(b.bytes), size)
	copy(buf, b.bytes)
	b.bytes = buf
	if earlier > SmallBody {
		b.pool.giveBack(b.claim, earlier)
	}
	return nil
}

// finish makes sure that the body is not given up any more.
func (b *Body) finish() error {
	b.pool.mu.Lock()
	b.claim.complete = !b.claim.abandoned
	b.pool.mu.Unlock()
	if !b.claim.complete {
		return b.pool.refuse()
	}
	return nil
}

// Decode calls f with the bytes of the body, which are not valid afterwards. f may use DecodeFactor times
// their number. Decode waits until the pool has as much. It returns ctx's error if that ends first.
func (b *Body) Decode(ctx context.Context, f func([]byte) error) error {
	weight := min(DecodeFactor*int64(len(b.bytes)), b.pool.limits.DecodeBytes)
	if err := b.pool.decoding.Acquire(ctx, weight); err != nil {
		return err
	}
	defer b.pool.decoding.Release(weight)
	defer b.Close()
	return f(b.bytes)
}

// Close returns the memory of the body. Further calls have no effect.
func (b *Body) Close() {
	b.bytes = nil
	b.pool.giveBack(b.claim, -1)
}

// take takes bytes of the budget for a claim. It may wait for those of abandoned claims.
func (p *Pool) take(ctx context.Context, c *claim, n int64) error {
	p.mu.Lock()
	answer, abandoned := p.budget.ask(time.Now(), c, n)
	var errs []error
	for _, other := range abandoned {
		close(other.revoked)
		errs = append(errs, other.interrupt())
	}
	p.mu.Unlock()
	if err := errors.Join(errs...); err != nil {
		level.Error(p.logger).Log("event", "body_not_interrupted", "reason", err)
	}
	switch answer {
	case granted:
		return nil
	case refused:
		return p.refuse()
	}
	timer := time.NewTimer(memoryWait)
	defer timer.Stop()
	select {
	case <-c.granted:
		return nil
	case <-c.revoked:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	late := !p.budget.withdraw(c) && !c.abandoned
	p.mu.Unlock()
	if late {
		<-c.granted
		return nil
	}
	return p.refuse()
}

// refuse counts and logs a body that is not read because of the bound.
func (p *Pool) refuse() error {
	p.mu.Lock()
	p.refused++
	err := &ShortageError{Held: p.budget.used, Capacity: p.budget.capacity}
	total, bodies := p.refused, len(p.budget.claims)
	p.mu.Unlock()
	p.logging.Do(func() {
		level.Warn(p.logger).Log("event", "bodies_refused", "held_bytes", err.Held, "limit_bytes", err.Capacity, "bodies", bodies, "refused", total)
	})
	return err
}

// giveBack returns n bytes of a claim, or all of them if n is negative.
func (p *Pool) giveBack(c *claim, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n < 0 {
		n = c.held
	}
	if n > 0 {
		p.budget.giveBack(c, n)
	}
}

// progressed records how many bytes of a body were received.
func (p *Pool) progressed(c *claim, received int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.received = int64(received)
}

func (p *Pool) isAbandoned(c *claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.abandoned
}
