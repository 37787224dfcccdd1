package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// extraTasks is how many tasks an agent gets beyond its slots. A task that waits
// at an agent cannot be overtaken or sent elsewhere for nothing.
const extraTasks = 0

// Weights of an agent's score.
const (
	// fillWeight is what a full agent costs over an empty one, in service
	// times: an observed load may be behind the true one.
	fillWeight = 0.1
	// failurePenalty is what an agent costs that should be ejected and was left
	// in, in service times.
	failurePenalty = 20
)

// holdWeight is how much longer the wait for a faster agent is taken to be than
// the one expected from this entry's own tasks there.
const holdWeight = 8

// LeastExpectedFinish picks the agent on which a task is expected to finish
// first, by its learned slowness and its load. It holds a task back if waiting
// for a faster agent is expected to be quicker than the best that has room.
type LeastExpectedFinish struct {
	*table
	best    *indexheap.Heap[*agent]
	full    levels
	waiting int
}

// NewLeastExpectedFinish returns a policy that draws from seed.
func NewLeastExpectedFinish(seed uint64) *LeastExpectedFinish {
	p := &LeastExpectedFinish{
		table: newTable(seed),
		best: indexheap.New(
			func(a, b *agent) bool { return a.score < b.score || a.score == b.score && a.tie < b.tie },
			func(a *agent) *indexheap.Index { return &a.index },
		),
	}
	p.changed = p.place
	p.gone = func(a *agent) {
		p.best.Remove(a)
		p.full.remove(a)
	}
	return p
}

// SetQueuePosition implements Policy.
func (p *LeastExpectedFinish) SetQueuePosition(n int) { p.waiting = n }

// Pick implements Policy.
func (p *LeastExpectedFinish) Pick(now time.Time, _ *structs.TaskSpec) (structs.Incarnation, bool) {
	p.advance(now)
	if p.best.Len() == 0 {
		return 0, false
	}
	a := p.best.First()
	if p.full.wait(a.score, max(p.waiting, 1)) < a.score {
		return 0, false
	}
	return a.id, true
}

func (p *LeastExpectedFinish) place(a *agent) {
	p.full.remove(a)
	if !a.eligible(extraTasks) {
		p.best.Remove(a)
		if a.eligible(a.load() + 1) {
			p.full.add(a)
		}
		return
	}
	a.score = a.expected()
	a.tie = p.rng.Uint64()
	p.best.Set(a)
}

// expected returns when one more task is expected to finish, in mean service
// times of the service.
func (a *agent) expected() float64 {
	slots := float64(a.slots)
	ahead := float64(max(a.load()+1-a.slots, 0))
	fill := fillWeight * float64(min(a.load(), a.slots)) / slots
	expected := a.slowness * (1 + ahead/slots + fill)
	if a.health.rate > ejectRate {
		expected += failurePenalty
	}
	return expected
}
