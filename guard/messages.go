package guard

import (
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID names a pending call of an entry; its reply effect carries the same id.
type CallID uint64

// ServerInfo is what a backend server says of itself in a heartbeat.
type ServerInfo struct {
	ID          string   `json:"id"`
	Incarnation int64    `json:"run"` // grows with each run of the server; the start in Unix ms
	Seq         int64    `json:"-"`   // grows with each heartbeat of a run
	Service     string   `json:"service"`
	Draining    bool     `json:"draining"`
	CPU         int      `json:"cpu"` // thousandths of a core
	MemMB       int      `json:"mem_mb"`
	GPU         int      `json:"gpu"`
	Labels      []string `json:"labels"`
}

// TaskKey names a task: the caller's name of its job, and its index there.
type TaskKey struct {
	Job   string
	Index int
}

// RunKey names one run of a task at the server.
type RunKey struct {
	TaskKey
	Number int // rises with each run of the task at one server
}

// String returns the key as it stands in logs.
func (k RunKey) String() string {
	return k.Job + "/" + strconv.Itoa(k.Index) + "#" + strconv.Itoa(k.Number)
}

// StartResult is the server's answer to a start.
type StartResult uint8

// Results of a start. All but StartAccepted and StartUnknown say that the task
// has not started and will not by this call.
const (
	StartUnknown     StartResult = iota // no answer: it may start, also later
	StartAccepted                       // it runs
	StartFenced                         // the server has seen a higher fencing token
	StartNumberUsed                     // the run number was used before
	StartExpired                        // the end of the lease had passed
	StartNoCapacity                     // the server guards its capacity and has none
	StartDeclined                       // the server is not well
	StartInvalid                        // the server cannot read the order
	StartOtherServer                    // another run of the server answered
)

var startNames = [...]string{"unknown", "accepted", "fenced", "old", "expired", "no_room", "declined", "invalid", "other_server"}

// String returns the result's name in logs.
func (r StartResult) String() string { return startNames[r] }

// RunningRow is a task that the server says is running.
type RunningRow struct {
	Key     RunKey
	Percent int
}

// EndOutcome says how the server ended a task.
type EndOutcome uint8

// Ways to end.
const (
	EndLost EndOutcome = iota // lapsed, or ended for a reason this agent does not use
	EndDone
	EndFailed
	EndStopped
)

// EndRow is an end of a task; N counts the ends of a server's run from 1.
type EndRow struct {
	Index   int64
	Key     RunKey
	Outcome EndOutcome
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// HelloCalled is Agent.Hello on a new connection, Session being its id.
	HelloCalled struct {
		Call    CallID
		Session uint64
		Request session.HelloRequest
	}
	// OrderCalled is Agent.Order.
	OrderCalled struct {
		Call    CallID
		Session uint64
		Request session.OrderRequest
	}
	// PollCalled is Agent.Poll.
	PollCalled struct {
		Call    CallID
		Session uint64
		Request session.PollRequest
	}
	// SessionClosed says that a connection has ended.
	SessionClosed struct{ Session uint64 }
	// ServerReported is a heartbeat of the backend server.
	ServerReported struct{ Info ServerInfo }
	// ServerLeft says that the server with the id has ended.
	ServerLeft struct{ ID string }
	// StartReplied is the answer to StartRun.
	StartReplied struct {
		Key               RunKey
		Result            StartResult
		Clock             time.Duration // zero if unknown
		ServerIncarnation int64         // run of the server, zero if unknown
		Reason            string        // why the result is StartUnknown, for the log
	}
	// StopReplied is the answer to StopRun.
	StopReplied struct {
		Key    RunKey
		OK     bool
		Clock  time.Duration
		Reason string // why not OK, for the log
	}
	// RenewReplied is the answer to Look.
	RenewReplied struct {
		ID                uint64 // of the Look
		OK                bool
		Fenced            bool // the server has seen a higher fencing token
		OtherServer       bool // another run of the server answered
		Reason            string
		ServerIncarnation int64 // run of the server
		Clock             time.Duration
		Running           []RunningRow
		Ended             []EndRow
		// Unreadable counts rows that could not be decoded.
		Unreadable int
	}
	// ConfigReceived is a version of the operators' configuration.
	ConfigReceived struct{ Config session.Config }
	// Recalled is what an earlier agent knew of the server here, and the usual
	// speed that it learned; zero if it did not know.
	Recalled struct {
		Server   ServerInfo
		Baseline Baseline
	}
	// LeaveRequested starts a graceful stop.
	LeaveRequested struct{}
	// Ticked lets time pass.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// StartRun orders the server to start a task; StartReplied follows.
	StartRun struct {
		Key      RunKey
		Spec     string
		Until    time.Duration // end of the lease on the server's clock
		Token    int64
		ServerID string // id of the run that is meant, if known
	}
	// StopRun orders the server to stop a task; StopReplied follows.
	StopRun struct {
		Key      RunKey
		Token    int64
		ServerID string
	}
	// RenewLease asks for what runs and has ended, and renews the lease if Until is
	// positive; LookReplied follows.
	RenewLease struct {
		ID       uint64
		Until    time.Duration
		Token    int64
		AckIndex int64 // ends up to here may be forgotten
		Wait     time.Duration
		ServerID string
	}
	// ReplyHello, ReplyOrder and ReplyPoll answer an entry's call.
	ReplyHello struct {
		Call  CallID
		Reply session.HelloReply
	}
	ReplyOrder struct {
		Call  CallID
		Reply session.OrderReply
	}
	ReplyPoll struct {
		Call  CallID
		Reply session.PollReply
	}
	// ReplyError refuses an entry's call.
	ReplyError struct {
		Call   CallID
		Reason string
	}
	// CloseSession closes a session's connection.
	CloseSession struct{ Session uint64 }
	// ServerChanged says that what is known of the server has changed so much
	// that the agent after this one should know it.
	ServerChanged struct{ Info ServerInfo }
	// Drained says that a graceful stop is complete.
	Drained struct{}
	// LogEvent is one line for the log.
	LogEvent struct {
		Event   string
		Task    string // the task's name, if any
		Entry   structs.Incarnation
		Verdict *structs.Verdict
		Detail  string
	}
)

func (HelloCalled) isEvent()    {}
func (OrderCalled) isEvent()    {}
func (PollCalled) isEvent()     {}
func (SessionClosed) isEvent()  {}
func (ServerReported) isEvent() {}
func (ServerLeft) isEvent()     {}
func (StartReplied) isEvent()   {}
func (StopReplied) isEvent()    {}
func (RenewReplied) isEvent()   {}
func (ConfigReceived) isEvent() {}
func (Recalled) isEvent()       {}
func (LeaveRequested) isEvent() {}
func (Ticked) isEvent()         {}

func (StartRun) isEffect()      {}
func (StopRun) isEffect()       {}
func (RenewLease) isEffect()    {}
func (ReplyHello) isEffect()    {}
func (ReplyOrder) isEffect()    {}
func (ReplyPoll) isEffect()     {}
func (ReplyError) isEffect()    {}
func (CloseSession) isEffect()  {}
func (ServerChanged) isEffect() {}
func (Drained) isEffect()       {}
func (LogEvent) isEffect()      {}
