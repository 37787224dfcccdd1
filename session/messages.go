// Package session holds the messages between an entry and an agent.
//
// A session is one connection from an entry to an agent. Tasks belong to the
// session that ordered them: when it ends, by a broken connection or because
// nothing was heard for Options.SessionTTL, the agent stops them all. Each reply
// of the agent carries a Stamp, the newest reading of the backend server's
// clock; the entry echoes it in its next request. An order is carried out only
// while its echo is fresh by that clock, so that an order which was delayed, or
// whose sender or receiver was suspended, starts nothing.
package session

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ClockReading is a reading of the clock of a backend server's run.
type ClockReading struct {
	Run   int64         // identifies the run of the backend server; its clock starts anew with it
	Clock time.Duration // on the server's own steady clock
}

// HelloRequest opens a session (Agent.Hello). The reply comes when no task of
// an earlier session of the same entry runs at this agent any more.
type HelloRequest struct {
	Entry       string
	Incarnation structs.Incarnation
	Config      Config // the newest the entry has
}

// HelloReply answers a HelloRequest.
type HelloReply struct {
	Agent       string
	Incarnation structs.Incarnation
	Zone        string
	Config      Config // only if newer than the entry's
	State       State
}

// Config is a version of the operators' configuration as the platform's store
// holds it. Processes pass it on to those that cannot read the store.
type Config struct {
	Version int64
	Text    []byte
}

// OrderRequest starts and stops tasks (Agent.Order).
type OrderRequest struct {
	Echo  ClockReading
	Start []JobPart
	Stop  []uint64 // placements
}

// JobPart is the tasks of one job that one agent is to run.
type JobPart struct {
	Job      string // the caller's name of the job
	Spec     string
	Service  string
	CPU      int // thousandths of a core, of each task
	MemMB    int
	GPU      int
	Estimate time.Duration // run time of each task at a server of ordinary speed
	// StartWithin is how long each task may wait at the agent; later it is
	// refused as not run.
	StartWithin time.Duration
	Tasks       []Placement
}

// Placement is one attempt to run one task.
type Placement struct {
	ID      uint64 // unique among the entry's placements
	Index   int    // of the task in its job
	Attempt int    // from 1
}

// OrderReply answers an OrderRequest; the fate of the tasks comes by Poll.
type OrderReply struct {
	State State
}

// PollRequest asks for reports (Agent.Poll). The reply comes when there are
// some, or after a short wait. It also keeps the session alive.
type PollRequest struct {
	Echo ClockReading
	Seen uint64 // sequence of the newest report received
}

// PollReply answers a PollRequest.
type PollReply struct {
	Reports []Report // not seen yet, oldest first
	State   State
}

// Outcome is how a placement ended.
type Outcome uint8

// Outcomes.
const (
	Unknown Outcome = iota
	// Done says that the task has finished successfully.
	Done
	// Failed says that the backend server ended the task with a failure.
	Failed
	// Stopped says that the task was stopped on the entry's order.
	Stopped
	// Lost says that the task no longer runs and has not finished: its lease
	// lapsed, its server was replaced, or it made no progress and was stopped.
	Lost
	// NotStarted says that the task has not run and never will under this
	// placement.
	NotStarted
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lost", "not_started"}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// Report is the final word on a placement.
type Report struct {
	Seq     uint64 // counts the session's reports from 1
	ID      uint64
	Outcome Outcome
	Reason  string        // for logs
	Ran     time.Duration // from the start's acknowledgement to the end
}

// State is what an agent tells of itself with each reply.
type State struct {
	Seq      uint64 // grows with each state an agent run tells
	Stamp    ClockReading
	Identity *Identity // only if it has changed since the session's last state
	Ready    bool      // takes orders
	FreeCPU  int
	FreeMem  int // MB
	// Slowness is the run time of tasks here relative to their estimates, in
	// thousandths; Samples counts the tasks it was learned from.
	Slowness int
	Samples  int
	// Failing is the recent share of tasks that failed or hung, in thousandths.
	Failing int
	Running []RunningTask
	Queue   []QueuedTask
	// Laggards are the entry's own tasks that run far slower than usual.
	Laggards []Straggler
}

// Straggler is a task that runs far slower than usual.
type Straggler struct {
	ID uint64 // placement
	Ms int    // expected time to its end
}

// Identity is what seldom changes of an agent's backend server.
type Identity struct {
	Service  string
	Server   string // the platform's id of the backend server
	Labels   []string
	Capacity int // thousandths of a core
}

// RunningTask is a running task: its size and the expected time to its end.
type RunningTask struct {
	CPU int
	Ms  int
}

// QueuedTask is a task in the agent's queue.
type QueuedTask struct {
	CPU         int
	Ms          int // expected run time
	StartWithin int // ms
}

// ExchangeRequest tells an entry of a process and asks whom it knows
// (Entry.Exchange).
type ExchangeRequest struct {
	From          Process
	ConfigVersion int64
	// Digest sums up whom the asker knows, see Roster.Digest; zero if it is not
	// an entry.
	Digest uint64
}

// ExchangeReply answers an ExchangeRequest.
type ExchangeReply struct {
	// Known is nothing if the asker knows as many, and only entries if it is an
	// agent.
	Known  []Process
	Config Config // only if newer than the asker's
}

// Process is a process of the system as others reach it.
type Process struct {
	Name        string              `json:"name"`
	Role        string              `json:"role"` // RoleEntry or RoleAgent
	Addr        string              `json:"addr"` // net/rpc
	Incarnation structs.Incarnation `json:"incarnation"`
}

// Roles of a Process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)
