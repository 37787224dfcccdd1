package entry

import (
	"sync"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// mailbox queues events for the reducer. Posting never blocks: what fills it is
// bounded by the reducer's own limits and by the HTTP server's.
type mailbox struct {
	mu     sync.Mutex
	events []coordinator.Event
	wake   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) post(ev coordinator.Event) {
	m.mu.Lock()
	m.events = append(m.events, ev)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take returns all queued events.
func (m *mailbox) take() []coordinator.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	evs := m.events
	m.events = nil
	return evs
}
