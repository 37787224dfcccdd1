package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

const (
	// memoryWait bounds the wait for memory that other claims have to return.
	memoryWait = time.Second
	// RetryAfter is when a refused client should come back: by then, a body that was refused a place could have
	// taken that of a slow one.
	RetryAfter = 2 * paceGrace
)

// ShortageError means that a body or message was not read to its end, because all of them together would take
// too much memory.
type ShortageError struct {
	Held, Capacity int64 // bytes
}

// Error implements error.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("too many large requests: they hold %d of %d bytes", e.Held, e.Capacity)
}

// memory is a budget that goroutines share. It is safe for concurrent use.
type memory struct {
	logger  log.Logger
	event   string // of the log line on refusals
	logging rate.Sometimes

	mu      sync.Mutex
	budget  budget
	refused int64
}

func newMemory(capacity int64, event string, logger log.Logger) *memory {
	return &memory{budget: newBudget(capacity), event: event, logger: logger, logging: rate.Sometimes{Interval: logInterval}}
}

// Held returns the bytes that are held, and how many bodies or messages were refused because of the bound.
func (m *memory) Held() (bytes, refused int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.used, m.refused
}

// take takes bytes of the budget for a claim. It may wait for those of abandoned claims. It reports false if
// there are not enough.
func (m *memory) take(ctx context.Context, c *claim, n int64) bool {
	m.mu.Lock()
	a, abandoned := m.budget.ask(time.Now(), c, n)
	var errs []error
	for _, other := range abandoned {
		close(other.revoked)
		errs = append(errs, other.interrupt())
	}
	m.mu.Unlock()
	if err := errors.Join(errs...); err != nil {
		level.Error(m.logger).Log("event", "read_not_interrupted", "reason", err)
	}
	switch a {
	case granted:
		return true
	case refused:
		return false
	}
	timer := time.NewTimer(memoryWait)
	defer timer.Stop()
	select {
	case <-c.granted:
		return true
	case <-c.revoked:
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	late := !m.budget.withdraw(c) && !c.abandoned
	m.mu.Unlock()
	if late {
		<-c.granted
	}
	return late
}

// refuse counts and logs a claim that is refused, and returns the error for it.
func (m *memory) refuse() error {
	m.mu.Lock()
	m.refused++
	err := &ShortageError{Held: m.budget.used, Capacity: m.budget.capacity}
	total, claims := m.refused, len(m.budget.claims)
	m.mu.Unlock()
	m.logging.Do(func() {
		level.Warn(m.logger).Log("event", m.event, "held_bytes", err.Held, "limit_bytes", err.Capacity, "claims", claims, "refused", total)
	})
	return err
}

// giveBack returns n bytes of a claim.
func (m *memory) giveBack(c *claim, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.giveBack(c, n)
}

// giveBackAll returns all bytes of a claim.
func (m *memory) giveBackAll(c *claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.giveBack(c, c.held)
}

// progressed records how many bytes of a body were received.
func (m *memory) progressed(c *claim, received int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.received = int64(received)
}

func (m *memory) isAbandoned(c *claim) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.abandoned
}

// restart begins the time of a claim anew.
func (m *memory) restart(c *claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.began = time.Now()
}

func (m *memory) heldBy(c *claim) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.held
}
