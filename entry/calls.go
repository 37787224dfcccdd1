package entry

import (
	"sync"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// callTable delivers replies of the coordinator to pending calls.
type callTable struct {
	mu       sync.Mutex
	lastCall coordinator.CallID
	pending  map[coordinator.CallID]chan coordinator.Effect
}

func newCallTable() *callTable {
	return &callTable{pending: make(map[coordinator.CallID]chan coordinator.Effect)}
}

// open adds a call and returns the channel on which its single reply is sent.
func (t *callTable) open() (coordinator.CallID, <-chan coordinator.Effect) {
	ch := make(chan coordinator.Effect, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastCall++
	t.pending[t.lastCall] = ch
	return t.lastCall, ch
}

// deliver sends the reply to the call if it is still pending.
func (t *callTable) deliver(id coordinator.CallID, ef coordinator.Effect) {
	t.mu.Lock()
	ch := t.pending[id]
	delete(t.pending, id)
	t.mu.Unlock()
	if ch != nil {
		ch <- ef
	}
}

// remove removes a call that no longer waits for its reply.
func (t *callTable) remove(id coordinator.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
}
