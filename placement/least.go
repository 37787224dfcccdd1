package placement

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// extraPerAgent is how many tasks an entry sends an agent beyond its slots.
const extraPerAgent = 1

// LeastOutstanding picks the agent with the smallest share of its slots filled
// by this entry's own tasks, ties at random.
type LeastOutstanding struct {
	rng    *rand.Rand
	agents []*load
	index  map[structs.Incarnation]*load
}

type load struct {
	id          structs.Incarnation
	slots       int
	outstanding int
	leaving     bool
}

// NewLeastOutstanding returns a policy that draws from seed.
func NewLeastOutstanding(seed uint64) *LeastOutstanding {
	return &LeastOutstanding{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		index: make(map[structs.Incarnation]*load),
	}
}

// Add implements Policy.
func (p *LeastOutstanding) Add(agent structs.AgentInfo) {
	if p.index[agent.Incarnation] != nil {
		return
	}
	l := &load{id: agent.Incarnation, slots: max(agent.Slots, 1)}
	p.agents = append(p.agents, l)
	p.index[l.id] = l
}

// Remove implements Policy.
func (p *LeastOutstanding) Remove(agent structs.Incarnation) {
	if p.index[agent] == nil {
		return
	}
	delete(p.index, agent)
	for i, l := range p.agents {
		if l.id == agent {
			p.agents = append(p.agents[:i], p.agents[i+1:]...)
			return
		}
	}
}

// SetLeaving implements Policy.
func (p *LeastOutstanding) SetLeaving(agent structs.Incarnation, leaving bool) {
	if l := p.index[agent]; l != nil {
		l.leaving = leaving
	}
}

// Pick implements Policy.
func (p *LeastOutstanding) Pick(time.Time, *structs.TaskSpec) (structs.Incarnation, bool) {
	var best *load
	start := 0
	if n := len(p.agents); n > 0 {
		start = p.rng.IntN(n)
	}
	for i := range p.agents {
		l := p.agents[(start+i)%len(p.agents)]
		if l.leaving || l.outstanding >= l.slots+extraPerAgent {
			continue
		}
		if best == nil || l.outstanding*best.slots < best.outstanding*l.slots {
			best = l
		}
	}
	if best == nil {
		return 0, false
	}
	return best.id, true
}

// Dispatched implements Policy.
func (p *LeastOutstanding) Dispatched(_ time.Time, agent structs.Incarnation) {
	if l := p.index[agent]; l != nil {
		l.outstanding++
	}
}

// Finished implements Policy.
func (p *LeastOutstanding) Finished(_ time.Time, agent structs.Incarnation, _ Outcome) {
	if l := p.index[agent]; l != nil && l.outstanding > 0 {
		l.outstanding--
	}
}

// Observe implements Policy.
func (p *LeastOutstanding) Observe(_ time.Time, agent structs.Incarnation, s structs.AgentState) {
	if l := p.index[agent]; l != nil && s.Slots > 0 {
		l.slots = s.Slots
	}
}
