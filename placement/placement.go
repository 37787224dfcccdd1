// Package placement chooses the agent that gets the next task, from what one
// entry knows by itself: its own outstanding tasks and the state that agents
// piggyback on their replies. It does no I/O and reads no clock.
package placement

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Policy keeps the agents of one service and picks among them. It is not safe
// for concurrent use. An agent that was never added or is removed is ignored.
type Policy interface {
	// Add makes an agent eligible.
	Add(agent structs.AgentInfo)
	// Remove forgets an agent.
	Remove(agent structs.Incarnation)
	// SetLeaving marks an agent as taking no new work, or takes the mark back.
	SetLeaving(agent structs.Incarnation, leaving bool)
	// Pick returns the agent for one task, or false if each eligible agent has
	// all it should get now. It does not count the task; Dispatched does.
	Pick(now time.Time, spec *structs.TaskSpec) (structs.Incarnation, bool)
	// Dispatched counts a task sent to the agent.
	Dispatched(now time.Time, agent structs.Incarnation)
	// Finished counts a task's end at the agent.
	Finished(now time.Time, agent structs.Incarnation, o Outcome)
	// SetQueuePosition says as which of the tasks that this entry holds back, from 1
	// on, the one to be picked for would wait.
	SetQueuePosition(n int)
	// EjectedCount returns the number of agents ejected for failing.
	EjectedCount() int
	// Observe takes in the agent's state as of now; it follows the Finished of
	// the reply that the state came with.
	Observe(now time.Time, agent structs.Incarnation, s structs.AgentState)
}

// Outcome is the end of one dispatch.
type Outcome struct {
	// Refused says that the agent did not run the task.
	Refused bool
	// Failed says that the backend server answered with an error, or that the
	// outcome is not known.
	Failed bool
	// Kind and Declared are those of the task.
	Kind     string
	Declared time.Duration
	// Took is the time from dispatch to answer; Service the backend server's
	// part of it, zero if unknown.
	Took    time.Duration
	ServiceTime time.Duration
}
