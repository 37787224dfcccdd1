package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// agent is the state that one entry keeps for one agent.
type agent struct {
	id         structs.Incarnation
	slots      int
	ownTasks   int    // this entry's outstanding tasks
	otherTasks int    // tasks of other entries, as last observed
	seq        uint64 // of the last observed state
	leaving    bool
	slowness   float64 // service time relative to the mean of the task's class
	samples    int     // service times that contributed to slowness
	health     health
	// blockedUntil is the end of the back-off after a refusal; zero if there is
	// none. refusals counts the refusals in a row.
	blockedUntil time.Time
	refusals     int
	// staleAt is when otherTasks is halved; zero if otherTasks is zero.
	staleAt time.Time

	timerAt    time.Time // earliest of the times above; see nextTimer
	timerIndex indexheap.Index

	// Used by LeastExpectedFinish only.
	score      float64
	tieBreaker uint64
	scoreIndex indexheap.Index
	levelEntry levelEntry
}

func (a *agent) load() int { return a.ownTasks + a.otherTasks }

// minOwnTasks is how many tasks of this entry an agent may have regardless of
// the other entries' load, so that an entry with few tasks is not starved.
const minOwnTasks = 1

// eligible reports whether the agent may get one more task if extra tasks are
// allowed beyond its slots.
func (a *agent) eligible(extra int) bool {
	if a.leaving || !a.blockedUntil.IsZero() {
		return false
	}
	switch a.health.state {
	case ejected:
		return false
	case probation:
		return a.ownTasks < maxProbationTasks
	}
	return a.load() < a.slots+extra || a.ownTasks < minOwnTasks
}

// nextTimer returns when the agent's state next changes by passing time alone;
// zero if it does not.
func (a *agent) nextTimer() time.Time {
	next := a.blockedUntil
	for _, t := range []time.Time{a.staleAt, a.health.expiresAt} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}
