package entry

import (
	"sync"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// eventQueue is the unbounded queue of events for the coordinator. Posting never
// blocks. The queue stays short, because most events belong to open tasks, whose number
// the coordinator limits, or to requests that wait for a reply.
type eventQueue struct {
	mu     sync.Mutex
	events []coordinator.Event
	wake   chan struct{} // receives a value when events are queued
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

func (q *eventQueue) post(ev coordinator.Event) {
	q.mu.Lock()
	q.events = append(q.events, ev)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued events.
func (q *eventQueue) takeAll() []coordinator.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	evs := q.events
	q.events = nil
	return evs
}
