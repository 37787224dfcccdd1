package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// extraTasks is how many tasks an agent may get beyond its slots. It is zero
// because a task queued at an agent cannot be overtaken by another, and moving
// it to another agent has a cost.
const extraTasks = 0

// Terms of an agent's score.
const (
	// utilizationWeight is what an agent with all slots in use costs over an
	// idle one, in service times. The last observed load may lag behind the
	// actual load.
	utilizationWeight = 0.1
	// failurePenalty is added, in service times, for an agent whose failure rate
	// calls for ejection but that has not been ejected.
	failurePenalty = 20
)

// waitFactor multiplies the estimated wait for a faster agent. The estimate
// considers only this entry's own tasks on such agents.
const waitFactor = 8

// LeastExpectedFinish picks the agent on which a task is expected to finish
// first, based on the agent's measured slowness and its load. If waiting for a
// faster agent is expected to be quicker than the best agent with free capacity,
// it picks none and the task stays queued at the entry.
type LeastExpectedFinish struct {
	*table
	available     *indexheap.Heap[*agent] // eligible agents, lowest score first
	full          slownessLevels          // agents without free capacity
	queuePosition int
}

// NewLeastExpectedFinish returns a policy whose random tie-breaking is seeded
// with seed.
func NewLeastExpectedFinish(seed uint64) *LeastExpectedFinish {
	p := &LeastExpectedFinish{
		table: newTable(seed),
		available: indexheap.New(
			func(a, b *agent) bool { return a.score < b.score || a.score == b.score && a.tieBreaker < b.tieBreaker },
			func(a *agent) *indexheap.Index { return &a.scoreIndex },
		),
	}
	p.onChange = p.reindex
	p.onRemove = func(a *agent) {
		p.available.Remove(a)
		p.full.remove(a)
	}
	return p
}

// SetQueuePosition implements Policy.
func (p *LeastExpectedFinish) SetQueuePosition(n int) { p.queuePosition = n }

// Pick implements Policy.
func (p *LeastExpectedFinish) Pick(now time.Time, _ *structs.TaskSpec) (structs.Incarnation, bool) {
	p.advance(now)
	if p.available.Len() == 0 {
		return 0, false
	}
	a := p.available.First()
	if p.full.expectedFinish(a.score, max(p.queuePosition, 1)) < a.score {
		return 0, false
	}
	return a.id, true
}

// reindex moves a changed agent to the available heap, to the full agents, or
// to neither.
func (p *LeastExpectedFinish) reindex(a *agent) {
	p.full.remove(a)
	if !a.eligible(extraTasks) {
		p.available.Remove(a)
		if a.eligible(a.load() + 1) {
			p.full.add(a)
		}
		return
	}
	a.score = a.expectedFinish()
	a.tieBreaker = p.rng.Uint64()
	p.available.Set(a)
}

// expectedFinish returns the time in which one more task is expected to finish,
// plus the penalties, in mean service times of the service.
func (a *agent) expectedFinish() float64 {
	slots := float64(a.slots)
	ahead := float64(max(a.load()+1-a.slots, 0))
	utilization := utilizationWeight * float64(min(a.load(), a.slots)) / slots
	expected := a.slowness * (1 + ahead/slots + utilization)
	if a.health.failureRate > ejectionFailureRate {
		expected += failurePenalty
	}
	return expected
}
