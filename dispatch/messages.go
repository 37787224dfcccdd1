package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID names one waiting request of a caller.
type CallID uint64

// AgentID names one session with an agent.
type AgentID uint64

// Job is a submission: equal tasks that run in parallel.
type Job struct {
	Name  string // chosen by the caller
	Queue routing.Queue
	Spec  string
	Tasks int
	CPU   int // thousandths of a core, of each task
	MemMB int
	GPU   int
	// Estimate is the caller's rough run time of a task.
	Estimate time.Duration
	// RequiredLabel is a label that the server must have, or empty.
	RequiredLabel string
	// MaxPerServer bounds the tasks on one server; zero does not.
	MaxPerServer int
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
}

// Status is the state of a job as callers see it.
type Status uint8

// Statuses.
const (
	Queued Status = iota + 1
	Running
	Completed
	Failed
	Canceled
)

var statusNames = [...]string{"", "queued", "running", "completed", "failed", "canceled"}

// String returns the status's name in logs.
func (s Status) String() string { return statusNames[s] }

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// SubmitCalled submits a job; Answered or Refused follows.
	SubmitCalled struct {
		Call CallID
		Job  Job
	}
	// CallClosed says that the caller has gone.
	CallClosed struct{ Call CallID }
	// CancelCalled ends a job; CancelReplied follows.
	CancelCalled struct {
		Call CallID
		Name string
	}
	// AgentUp says that a session was opened. Entry placements of an earlier
	// session with the same agent have ended.
	AgentUp struct {
		ID    AgentID
		Agent string // its name
		Zone  string
		State session.State
	}
	// AgentDown says that a session has ended; LastWord is when its agent was
	// heard last.
	AgentDown struct {
		ID       AgentID
		LastHeard time.Time
		Reason   string
	}
	// OrderReplied is the answer to the order with the number.
	OrderReplied struct {
		ID     AgentID
		Number uint64
		State  session.State
	}
	// Polled is an answer to a poll.
	Polled struct {
		ID    AgentID
		Reply session.PollReply
	}
	// LeaveRequested starts a graceful stop: jobs are taken as long as they can
	// end before Until, and all have their answer then.
	LeaveRequested struct{ Until time.Time }
	// Ticked lets time pass.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// Order sends an agent what to start and stop; OrderReplied follows unless
	// the session ends.
	Order struct {
		ID     AgentID
		Number uint64
		Start  []session.JobPart
		Stop   []uint64
	}
	// Answered is the final answer of a job: Completed, Failed or Canceled.
	Answered struct {
		Call   CallID
		Status Status
	}
	// Refused answers without a result. The error's verdict says whether a
	// task of the job may have run; none runs any more, or is about to be
	// stopped.
	Refused struct {
		Call  CallID
		Error *structs.Error
	}
	// CancelReplied answers CancelCalled.
	CancelReplied struct {
		Call  CallID
		Known bool
	}
	// LogEvent is one line for the log.
	LogEvent struct {
		Event   string
		Job     string
		Queue   string
		Agent   string
		Verdict *structs.Verdict
		Detail  string
	}
	// JobMetrics is a finished job for the metrics.
	JobMetrics struct {
		Queue  string
		Status Status // zero if refused
		Took   time.Duration
		Late   bool
	}
)

func (SubmitCalled) isEvent()   {}
func (CallClosed) isEvent()       {}
func (CancelCalled) isEvent()   {}
func (AgentUp) isEvent()        {}
func (AgentDown) isEvent()      {}
func (OrderReplied) isEvent()   {}
func (Polled) isEvent()         {}
func (LeaveRequested) isEvent() {}
func (Ticked) isEvent()         {}

func (Order) isEffect()         {}
func (Answered) isEffect()      {}
func (Refused) isEffect()       {}
func (CancelReplied) isEffect() {}
func (LogEvent) isEffect()      {}
func (JobMetrics) isEffect()      {}
