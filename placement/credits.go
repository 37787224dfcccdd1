package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Credits picks any agent that is known to have a free slot, in the manner of
// join-idle-queue: the slots free in an agent's last state are credits. Without
// any it picks any agent that has room.
type Credits struct {
	*table
	free list
	full list
}

// NewCredits returns a policy that draws from seed.
func NewCredits(seed uint64) *Credits {
	p := &Credits{table: newTable(seed)}
	p.changed = p.place
	p.gone = func(a *agent) {
		p.free.set(a, false)
		p.full.set(a, false)
	}
	return p
}

func (p *Credits) place(a *agent) {
	p.gone(a)
	if a.eligible(0) {
		p.free.set(a, true)
		return
	}
	p.full.set(a, a.eligible(extraTasks))
}

// SetWaiting implements Policy.
func (p *Credits) SetWaiting(int) {}

// Pick implements Policy.
func (p *Credits) Pick(now time.Time, _ *structs.TaskSpec) (structs.Incarnation, bool) {
	p.advance(now)
	from := p.free.agents
	if len(from) == 0 {
		from = p.full.agents
	}
	if len(from) == 0 {
		return 0, false
	}
	return from[p.rng.IntN(len(from))].id, true
}
