package intake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"
)

const (
	// firstBuffer is the size in bytes of the first buffer of a body whose length is unknown.
	firstBuffer = 512
	// DecodeFactor is the memory that decoding may take, for each byte of a body.
	DecodeFactor = 8
	// growthSlack is the part of a buffer up to which the next one is made larger to be the last.
	growthSlack = 8
)

// TooLargeError means that a body exceeds the limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body over %d bytes", e.Limit) }

// Pool reads the bodies of requests within a bound on their memory. It is safe for concurrent use.
type Pool struct {
	limits   Limits
	decoding *semaphore.Weighted
	*memory  // of the bodies
}

// NewPool returns a Pool with the given limits.
func NewPool(l Limits, logger log.Logger) *Pool {
	return &Pool{
		limits: l, memory: newMemory(l.BodyBytes, "bodies_refused", logger), decoding: semaphore.NewWeighted(l.DecodeBytes),
	}
}

// LargestBody returns the size in bytes of the largest body that the pool can hold.
func (p *Pool) LargestBody() int64 { return p.limits.LargestBody() }

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
		if !b.pool.take(ctx, b.claim, size) {
			return b.pool.refuse()
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
	b.pool.giveBackAll(b.claim)
}
