package placement

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Back-off of an agent that refuses tasks.
const (
	blockFirst   = 10 * time.Millisecond
	blockLongest = time.Second
)

// staleAfter is how long an observed number of other entries' tasks holds
// before the first service times are known.
const staleAfter = 500 * time.Millisecond

// table keeps the agents of one service: what is known of them, whatever the
// order in which a policy picks them. The policy's changed is called after each change of an agent, and its gone
// when one is removed.
type table struct {
	rng     *rand.Rand
	agents  map[structs.Incarnation]*agent
	timers  *indexheap.Heap[*agent]
	speeds  *speeds
	rates   float64 // sum of the agents' failure rates
	out     int     // ejected agents
	changed func(a *agent)
	gone    func(a *agent)
}

func newTable(seed uint64) *table {
	return &table{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		agents: make(map[structs.Incarnation]*agent),
		timers: indexheap.New(
			func(a, b *agent) bool { return a.wake.Before(b.wake) },
			func(a *agent) *indexheap.Index { return &a.wakeIndex },
		),
		speeds: newSpeeds(),
	}
}

// Add implements Policy.
func (t *table) Add(info structs.AgentInfo) {
	if t.agents[info.Incarnation] != nil {
		return
	}
	a := &agent{id: info.Incarnation, slots: max(info.Slots, 1), slowness: 1}
	t.agents[a.id] = a
	t.update(a)
}

// Remove implements Policy.
func (t *table) Remove(id structs.Incarnation) {
	a := t.agents[id]
	if a == nil {
		return
	}
	if a.health.state == ejected {
		t.out--
	}
	t.rates -= a.health.rate
	delete(t.agents, id)
	t.timers.Remove(a)
	t.gone(a)
}

// SetLeaving implements Policy.
func (t *table) SetLeaving(id structs.Incarnation, leaving bool) {
	if a := t.agents[id]; a != nil && a.leaving != leaving {
		a.leaving = leaving
		t.update(a)
	}
}

// Dispatched implements Policy.
func (t *table) Dispatched(now time.Time, id structs.Incarnation) {
	if a := t.agents[id]; a != nil {
		a.own++
		t.update(a)
	}
}

// Finished implements Policy.
func (t *table) Finished(now time.Time, id structs.Incarnation, o Outcome) {
	a := t.agents[id]
	if a == nil {
		return
	}
	a.own = max(a.own-1, 0)
	switch {
	case o.Refused:
		t.block(now, a)
	case o.Failed:
		t.fail(now, a)
	default:
		t.succeed(a, o)
	}
	t.update(a)
}

// Observe implements Policy.
func (t *table) Observe(now time.Time, id structs.Incarnation, s structs.AgentState) {
	a := t.agents[id]
	if a == nil || s.Seq != 0 && s.Seq <= a.seq {
		return
	}
	a.seq = s.Seq
	if s.Slots > 0 {
		a.slots = s.Slots
	}
	a.leaving = s.Leaving
	a.others = max(s.Running+s.Queued-a.own, 0)
	a.stale = time.Time{}
	if a.others > 0 {
		a.stale = now.Add(t.staleAfter(a))
	}
	t.update(a)
}

// EjectedCount implements Policy.
func (t *table) EjectedCount() int { return t.out }

func (t *table) block(now time.Time, a *agent) {
	a.blocked = now.Add(min(blockFirst<<min(a.refusals, 10), blockLongest))
	a.refusals++
}

func (t *table) fail(now time.Time, a *agent) {
	a.refusals = 0
	before := a.health.rate
	eject := a.health.failed(t.rates / float64(len(t.agents)))
	t.rates += a.health.rate - before
	if !eject || float64(t.out+1) > ejectShare*float64(len(t.agents)) {
		a.health.leaveIn(now)
		return
	}
	a.health.eject(now)
	t.out++
}

func (t *table) succeed(a *agent, o Outcome) {
	a.refusals = 0
	before := a.health.rate
	a.health.succeeded()
	t.rates += a.health.rate - before
	t.speeds.learn(a, o)
}

// advance lets time pass: ejections and blocks end, observations go stale.
func (t *table) advance(now time.Time) {
	for t.timers.Len() > 0 {
		a := t.timers.First()
		if a.wake.After(now) {
			return
		}
		t.wake(now, a)
		t.update(a)
	}
}

func (t *table) wake(now time.Time, a *agent) {
	t.wakeHealth(now, a)
	if !a.blocked.After(now) {
		a.blocked = time.Time{}
	}
	if !a.stale.IsZero() && !a.stale.After(now) {
		a.others /= 2
		a.stale = time.Time{}
		if a.others > 0 {
			a.stale = now.Add(t.staleAfter(a))
		}
	}
}

func (t *table) wakeHealth(now time.Time, a *agent) {
	before := a.health
	a.health.wake(now)
	t.rates += a.health.rate - before.rate
	if before.state == ejected && a.health.state != ejected {
		t.out--
	}
}

// staleAfter is how long an observation of an agent's load holds: about one
// service time.
func (t *table) staleAfter(a *agent) time.Duration {
	mean := t.speeds.mean()
	if mean <= 0 {
		return staleAfter
	}
	return time.Duration(a.slowness * float64(mean))
}

func (t *table) update(a *agent) {
	a.wake = a.nextWake()
	if a.wake.IsZero() {
		t.timers.Remove(a)
	} else {
		t.timers.Set(a)
	}
	t.changed(a)
}
