package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Random picks any agent that has room.
type Random struct {
	*table
	list list
}

// NewRandom returns a policy that draws from seed.
func NewRandom(seed uint64) *Random {
	p := &Random{table: newTable(seed)}
	p.changed = func(a *agent) { p.list.set(a, a.eligible(extraTasks)) }
	p.gone = func(a *agent) { p.list.set(a, false) }
	return p
}

// SetWaiting implements Policy.
func (p *Random) SetWaiting(int) {}

// Pick implements Policy.
func (p *Random) Pick(now time.Time, _ *structs.TaskSpec) (structs.Incarnation, bool) {
	p.advance(now)
	if len(p.list.agents) == 0 {
		return 0, false
	}
	return p.list.agents[p.rng.IntN(len(p.list.agents))].id, true
}
