package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TwoChoices draws two agents that have room and picks the one with the smaller
// share of its slots filled.
type TwoChoices struct {
	*table
	list list
}

// NewTwoChoices returns a policy that draws from seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	p := &TwoChoices{table: newTable(seed)}
	p.changed = func(a *agent) { p.list.set(a, a.eligible(extraTasks)) }
	p.gone = func(a *agent) { p.list.set(a, false) }
	return p
}

// SetWaiting implements Policy.
func (p *TwoChoices) SetWaiting(int) {}

// Pick implements Policy.
func (p *TwoChoices) Pick(now time.Time, _ *structs.TaskSpec) (structs.Incarnation, bool) {
	p.advance(now)
	n := len(p.list.agents)
	if n == 0 {
		return 0, false
	}
	a, b := p.list.agents[p.rng.IntN(n)], p.list.agents[p.rng.IntN(n)]
	if b.load()*a.slots < a.load()*b.slots {
		a = b
	}
	return a.id, true
}
