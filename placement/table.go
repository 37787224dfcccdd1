package placement

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Exponential back-off of an agent that refuses tasks.
const (
	initialRefusalBackoff = 10 * time.Millisecond
	maxRefusalBackoff     = time.Second
)

// defaultStaleAfter is how long an observed number of other entries' tasks is
// valid until the first service times have been measured.
const defaultStaleAfter = 500 * time.Millisecond

// table holds the state of one service's agents, independent of how a policy
// ranks them. It calls onChange after each change of an agent and onRemove when
// an agent is removed; the policy sets both.
type table struct {
	rng            *rand.Rand
	agents         map[structs.Incarnation]*agent
	timers         *indexheap.Heap[*agent] // earliest timerAt first
	serviceTimes   *serviceTimes
	failureRateSum float64 // over all agents
	ejectedCount   int
	onChange       func(a *agent)
	onRemove       func(a *agent)
}

func newTable(seed uint64) *table {
	return &table{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		agents: make(map[structs.Incarnation]*agent),
		timers: indexheap.New(
			func(a, b *agent) bool { return a.timerAt.Before(b.timerAt) },
			func(a *agent) *indexheap.Index { return &a.timerIndex },
		),
		serviceTimes: newServiceTimes(),
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
		t.ejectedCount--
	}
	t.failureRateSum -= a.health.failureRate
	delete(t.agents, id)
	t.timers.Remove(a)
	t.onRemove(a)
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
		a.ownTasks++
		t.update(a)
	}
}

// Finished implements Policy.
func (t *table) Finished(now time.Time, id structs.Incarnation, o Outcome) {
	a := t.agents[id]
	if a == nil {
		return
	}
	a.ownTasks = max(a.ownTasks-1, 0)
	switch {
	case o.Refused:
		t.recordRefusal(now, a)
	case o.Failed:
		t.recordFailure(now, a)
	default:
		t.recordSuccess(a, o)
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
	a.otherTasks = max(s.Running+s.Queued-a.ownTasks, 0)
	a.staleAt = time.Time{}
	if a.otherTasks > 0 {
		a.staleAt = now.Add(t.staleAfter(a))
	}
	t.update(a)
}

// EjectedCount implements Policy.
func (t *table) EjectedCount() int { return t.ejectedCount }

func (t *table) recordRefusal(now time.Time, a *agent) {
	a.blockedUntil = now.Add(min(initialRefusalBackoff<<min(a.refusals, 10), maxRefusalBackoff))
	a.refusals++
}

func (t *table) recordFailure(now time.Time, a *agent) {
	a.refusals = 0
	before := a.health.failureRate
	eject := a.health.recordFailure(t.failureRateSum / float64(len(t.agents)))
	t.failureRateSum += a.health.failureRate - before
	if !eject || float64(t.ejectedCount+1) > maxEjectedShare*float64(len(t.agents)) {
		a.health.skipEjection(now)
		return
	}
	a.health.eject(now)
	t.ejectedCount++
}

func (t *table) recordSuccess(a *agent, o Outcome) {
	a.refusals = 0
	before := a.health.failureRate
	a.health.recordSuccess()
	t.failureRateSum += a.health.failureRate - before
	t.serviceTimes.record(a, o)
}

// advance handles all timers that are due at now: the end of ejections and of
// back-off after refusals, and the decay of stale observations.
func (t *table) advance(now time.Time) {
	for t.timers.Len() > 0 {
		a := t.timers.First()
		if a.timerAt.After(now) {
			return
		}
		t.handleTimer(now, a)
		t.update(a)
	}
}

func (t *table) handleTimer(now time.Time, a *agent) {
	t.handleHealthTimer(now, a)
	if !a.blockedUntil.After(now) {
		a.blockedUntil = time.Time{}
	}
	if !a.staleAt.IsZero() && !a.staleAt.After(now) {
		a.otherTasks /= 2
		a.staleAt = time.Time{}
		if a.otherTasks > 0 {
			a.staleAt = now.Add(t.staleAfter(a))
		}
	}
}

func (t *table) handleHealthTimer(now time.Time, a *agent) {
	before := a.health
	a.health.handleTimer(now)
	t.failureRateSum += a.health.failureRate - before.failureRate
	if before.state == ejected && a.health.state != ejected {
		t.ejectedCount--
	}
}

// staleAfter returns how long an observation of the agent's load is valid: one
// mean service time on that agent.
func (t *table) staleAfter(a *agent) time.Duration {
	mean := t.serviceTimes.mean()
	if mean <= 0 {
		return defaultStaleAfter
	}
	return time.Duration(a.slowness * float64(mean))
}

func (t *table) update(a *agent) {
	a.timerAt = a.nextTimer()
	if a.timerAt.IsZero() {
		t.timers.Remove(a)
	} else {
		t.timers.Set(a)
	}
	t.onChange(a)
}
