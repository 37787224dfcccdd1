// Package placement chooses the agent that runs the next task. The choice uses
// only information local to one entry: the entry's own outstanding tasks and the
// state that agents attach to their replies. The package does no I/O and reads
// no clock.
package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Policy tracks the agents of one service and selects among them. It is not safe
// for concurrent use. Calls for an agent that was not added, or that has been
// removed, have no effect.
type Policy interface {
	// Add makes an agent eligible for tasks.
	Add(agent structs.AgentInfo)
	// Remove deletes an agent and all state kept for it.
	Remove(agent structs.Incarnation)
	// SetLeaving sets or clears the mark that an agent accepts no new tasks.
	SetLeaving(agent structs.Incarnation, leaving bool)
	// Pick returns the agent for one task, or false if the task should stay
	// queued at the entry for now. It does not count the task as sent; the
	// caller reports that with Dispatched.
	Pick(now time.Time, spec *structs.TaskSpec) (structs.Incarnation, bool)
	// Dispatched records that a task was sent to the agent.
	Dispatched(now time.Time, agent structs.Incarnation)
	// Finished records that a task sent to the agent has ended.
	Finished(now time.Time, agent structs.Incarnation, o Outcome)
	// SetQueuePosition sets the position, counted from 1, that the task of the
	// next Pick would have among the tasks queued at this entry if it were not
	// placed now.
	SetQueuePosition(n int)
	// EjectedCount returns the number of agents that are currently ejected
	// because their backend servers fail.
	EjectedCount() int
	// Observe records the state reported by the agent at time now. If the state
	// came with the reply to a task, call Finished for that task first.
	Observe(now time.Time, agent structs.Incarnation, s structs.AgentState)
}

// Outcome describes how one dispatched task ended.
type Outcome struct {
	// Refused is set if the agent did not run the task.
	Refused bool
	// Failed is set if the backend server answered with an error, or if the
	// outcome is unknown.
	Failed bool
	// Kind and Declared are copied from the task's TaskSpec.
	Kind     string
	Declared time.Duration
	// Took is the time from dispatch to answer. ServiceTime is the part of it
	// spent by the backend server; zero if unknown.
	Took        time.Duration
	ServiceTime time.Duration
}
