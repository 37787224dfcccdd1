package entry

import (
	"sync"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// callTable matches replies of the coordinator to the requests that wait.
type callTable struct {
	mu   sync.Mutex
	next coordinator.CallID
	wait map[coordinator.CallID]chan coordinator.Effect
}

func newCallTable() *callTable {
	return &callTable{wait: make(map[coordinator.CallID]chan coordinator.Effect)}
}

// open returns a new call and the channel that gets its one reply.
func (t *callTable) open() (coordinator.CallID, <-chan coordinator.Effect) {
	ch := make(chan coordinator.Effect, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	t.wait[t.next] = ch
	return t.next, ch
}

// reply hands the effect to the waiting request, if it still waits.
func (t *callTable) reply(id coordinator.CallID, eff coordinator.Effect) {
	t.mu.Lock()
	ch := t.wait[id]
	delete(t.wait, id)
	t.mu.Unlock()
	if ch != nil {
		ch <- eff
	}
}

// forget drops a call whose requester has gone.
func (t *callTable) forget(id coordinator.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.wait, id)
}
