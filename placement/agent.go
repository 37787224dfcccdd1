package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// agent is what one entry knows of one agent.
type agent struct {
	id       structs.Incarnation
	slots    int
	own      int    // this entry's outstanding tasks
	others   int    // tasks of other entries, as last observed
	seq      uint64 // of the last observed state
	leaving  bool
	slowness float64 // service time relative to the service's mean
	samples  int     // service times seen
	health   health
	// blocked is until when the agent gets no work after a refusal; refusals
	// counts those in a row.
	blocked  time.Time
	refusals int
	// stale is when others is to be halved; zero if others is zero.
	stale time.Time

	wake      time.Time
	wakeIndex indexheap.Index

	// Of LeastExpectedFinish:
	score float64
	tie   uint64
	index indexheap.Index
	held  held
}

func (a *agent) load() int { return a.own + a.others }

// ownTasks is how many tasks of this entry an agent may have whatever the other
// entries sent it, so that an entry with little to do is not shut out.
const ownTasks = 1

// eligible reports whether the agent may get one more task, with extra tasks
// allowed beyond its slots.
func (a *agent) eligible(extra int) bool {
	if a.leaving || !a.blocked.IsZero() {
		return false
	}
	switch a.health.state {
	case ejected:
		return false
	case probation:
		return a.own < probationTasks
	}
	return a.load() < a.slots+extra || a.own < ownTasks
}

// nextWake returns when the agent's state changes by time alone; zero if it
// does not.
func (a *agent) nextWake() time.Time {
	next := a.blocked
	for _, t := range []time.Time{a.stale, a.health.until} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}
