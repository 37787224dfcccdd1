package entry

import (
	"math"
	"sync"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// maxQueuedEvents is the length of the queue from which on it takes no new requests.
const maxQueuedEvents = 16384

// eventQueue is the queue of events for the coordinator. Adding to it never blocks.
// Requests are bounded by maxQueuedEvents. All other events belong to admitted requests,
// to open tasks, whose number the coordinator limits, or to this process; none of them
// may be lost.
type eventQueue struct {
	mu     sync.Mutex
	events []coordinator.Event
	wake   chan struct{} // receives a value when events are queued
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// post adds an event.
func (q *eventQueue) post(ev coordinator.Event) { q.add(ev, math.MaxInt) }

// offer adds the event of a new request. It returns false if the queue is full.
func (q *eventQueue) offer(ev coordinator.Event) bool { return q.add(ev, maxQueuedEvents) }

// add adds an event if the queue is shorter than limit.
func (q *eventQueue) add(ev coordinator.Event, limit int) bool {
	q.mu.Lock()
	if len(q.events) >= limit {
		q.mu.Unlock()
		return false
	}
	q.events = append(q.events, ev)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all queued events.
func (q *eventQueue) takeAll() []coordinator.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	evs := q.events
	q.events = nil
	return evs
}
