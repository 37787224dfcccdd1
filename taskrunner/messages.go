package taskrunner

import (
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/attempts"
	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID identifies a pending call of an entry. The effect that replies to the
// call carries the same ID.
type CallID uint64

// ServerInfo is the state that a backend server reports in a heartbeat.
type ServerInfo struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"run"` // start of the server process in Unix ms; higher for each restart
	Seq         int64  `json:"-"`   // sequence number of the heartbeat within the incarnation
	// Clock is the reading of the server's clock in the heartbeat; zero if it has none.
	Clock    time.Duration `json:"-"`
	Service  string        `json:"service"`
	Draining bool          `json:"draining"`
	CPU      int           `json:"cpu"` // thousandths of a core
	MemMB    int           `json:"mem_mb"`
	GPU      int           `json:"gpu"`
	Labels   []string      `json:"labels"`
	Rack     string        `json:"rack"` // one of the labels; empty if unknown
	// Cold is how much longer the server runs slowly after its start, at the time of the
	// heartbeat.
	Cold time.Duration `json:"-"`
}

// TaskKey identifies a task by the name that the caller gave its job and by its
// index in the job.
type TaskKey struct {
	Job   string
	Index int
}

// RunKey identifies one run of a task at the backend server.
type RunKey struct {
	TaskKey
	Number int // run number: increases with each run of the task at one server
}

// String returns the key in the format used in logs, JOB/INDEX#NUMBER.
func (k RunKey) String() string {
	return k.Job + "/" + strconv.Itoa(k.Index) + "#" + strconv.Itoa(k.Number)
}

// StartResult is the backend server's reply to a StartTask.
type StartResult uint8

// Results of a StartTask. Every result other than StartAccepted and StartUnknown
// means that this call has not started the task and will not start it later. It proves
// nothing about other calls for the same run, see package attempts.
const (
	StartUnknown     StartResult = iota // no reply: the task may have started, or may still start later
	StartAccepted                       // the task is running
	StartFenced                         // the server has seen a higher fencing token
	StartNumberUsed                     // the run number has been used before
	StartExpired                        // the lease had already expired
	StartNoCapacity                     // the server enforces its capacity and none is free
	StartDeclined                       // the server is overloaded or unavailable
	StartInvalid                        // the server rejected the request as malformed
	StartOtherServer                    // another incarnation of the server replied
	StartRefused                        // the connection was refused, and nothing was sent
)

var startNames = [...]string{"unknown", "accepted", "fenced", "old", "expired", "no_room", "declined", "invalid", "other_server", "connection_refused"}

// String returns the name of the result used in logs.
func (r StartResult) String() string { return startNames[r] }

// answer returns what the result proves about the start.
func (r StartResult) answer() attempts.Answer {
	switch r {
	case StartAccepted:
		return attempts.Accepted
	case StartUnknown:
		return attempts.Unanswered
	}
	return attempts.Rejected
}

// RunningRow is an entry in the server's list of running tasks.
type RunningRow struct {
	Key     RunKey
	Percent int // progress; UnknownPercent if the server's statement cannot be used
}

// UnknownPercent is the Percent of a RunningRow that only shows that the run is there.
const UnknownPercent = -1

// EndOutcome is how a task ended at the server.
type EndOutcome uint8

// Outcomes of an EndRow.
const (
	EndLost EndOutcome = iota // lease expired, or an outcome that this agent does not distinguish
	EndDone
	EndFailed
	EndStopped
)

// EndRow is an entry in the server's list of ended tasks. Index numbers the
// entries of a server incarnation, starting at 1.
type EndRow struct {
	Index   int64
	Key     RunKey
	Outcome EndOutcome
}

// Event is an input of the Runner state machine.
type Event interface{ isEvent() }

// Events.
type (
	// HelloCalled is a call of Agent.Hello on a new connection. Session is the ID
	// of the connection.
	HelloCalled struct {
		Call    CallID
		Session uint64
		Request session.HelloRequest
	}
	// OrderCalled is a call of Agent.Order.
	OrderCalled struct {
		Call    CallID
		Session uint64
		Request session.OrderRequest
	}
	// PollCalled is a call of Agent.Poll.
	PollCalled struct {
		Call    CallID
		Session uint64
		Request session.PollRequest
	}
	// SessionClosed reports that the connection of a session was closed.
	SessionClosed struct{ Session uint64 }
	// ServerReported is a heartbeat of the backend server, or of someone else in its name.
	ServerReported struct{ Info ServerInfo }
	// ServerLeft reports that the server with the ID has deregistered.
	ServerLeft struct{ ID string }
	// StartReplied is the reply to StartTask.
	StartReplied struct {
		Key               RunKey
		Result            StartResult
		Clock             time.Duration // reading of the server's clock; zero if unknown
		ServerIncarnation int64         // zero if unknown
		Reason            string        // logged if the result is StartUnknown
		// Broken means that the server closed the connection instead of replying.
		Broken bool
	}
	// StopReplied is the reply to StopTask.
	StopReplied struct {
		Key    RunKey
		OK     bool
		Clock  time.Duration // reading of the server's clock; zero if unknown
		Reason string        // logged if OK is false
		Known  int64         // of the StopTask
	}
	// RenewReplied is the reply to RenewLease. Running and Ended are the server's
	// lists of running and of ended tasks.
	RenewReplied struct {
		ID                uint64 // of the RenewLease
		OK                bool
		Fenced            bool   // the server has seen a higher fencing token
		OtherServer       bool   // another incarnation of the server replied
		Refused           bool   // the connection was refused
		Reason            string // logged if OK is false, or if rows could not be decoded
		ServerIncarnation int64
		Clock             time.Duration // reading of the server's clock
		Running           []RunningRow
		Ended             []EndRow
		// MoreEnds means that the server may have further ended tasks to list.
		MoreEnds bool
		// UnreadableRunning and UnreadableEnds are the numbers of rows of both lists that
		// could not be decoded.
		UnreadableRunning, UnreadableEnds int
	}
	// ConfigReceived delivers a version of the operators' configuration.
	ConfigReceived struct{ Config session.Config }
	// EvacuationReceived delivers the evacuations that another process knows. Requests of
	// entries deliver them too.
	EvacuationReceived struct {
		Evacuation session.Evacuation
		Source     string // name of the process, for logs
	}
	// TopicRead is a reply to a read of the operators' topic after WatchTopic.
	TopicRead struct{ Batch evacuation.Batch }
	// RecordLoaded delivers the record that an earlier agent of this name stored: its
	// backend server and the baseline slowness it measured. Either is zero if
	// the record does not have it.
	RecordLoaded struct {
		Server   ServerInfo
		Baseline Baseline
	}
	// LeaveRequested starts a graceful shutdown of the agent.
	LeaveRequested struct{}
	// Ticked carries no input. It only advances the time.
	Ticked struct{}
)

// Effect is an output of the Runner state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// StartTask asks the server to start a task. The reply is StartReplied. Only the
	// incarnation Known carries it out.
	StartTask struct {
		Key      RunKey
		Spec     string
		Until    time.Duration // end of the lease by the server's clock
		Token    int64
		ServerID string // backend server that the call is addressed to; empty if unknown
		Known    int64
	}
	// StopTask asks the server to stop a task. The reply is StopReplied. Only the incarnation
	// Known carries it out.
	StopTask struct {
		Key      RunKey
		Token    int64
		ServerID string // backend server that the call is addressed to; empty if unknown
		Known    int64  // server incarnation that the agent knew; the reply repeats it
	}
	// RenewLease asks for the lists of running and ended tasks. It also renews the
	// lease if Until is positive: Until is by the clock of the incarnation Known, and only that
	// one carries the call out. The reply is RenewReplied.
	RenewLease struct {
		ID       uint64
		Until    time.Duration // end of the lease by the server's clock
		Token    int64
		AckIndex int64         // the server may discard ended tasks up to this index
		Wait     time.Duration // how long the server may delay the reply
		ServerID string
		Known    int64 // zero stands for any incarnation, if Until is zero
	}
	// ReplyHello, ReplyOrder and ReplyPoll return the result of an entry's call.
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
	// ReplyError fails an entry's call.
	ReplyError struct {
		Call   CallID
		Reason string
	}
	// CloseSession closes the connection of a session.
	CloseSession struct{ Session uint64 }
	// ServerChanged reports that a heartbeat has shown a new incarnation, or a changed
	// capacity or draining state. The information is stored for a restarted agent,
	// which receives it in RecordLoaded.
	ServerChanged struct{ Info ServerInfo }
	// Drained reports that the graceful shutdown is complete.
	Drained struct{}
	// WatchTopic starts reading the evacuations on the operators' topic from an offset on;
	// zero stands for the newest record of each key. UnwatchTopic ends it.
	WatchTopic   struct{ From int64 }
	UnwatchTopic struct{}
	// LogEvent is a line for the log.
	LogEvent struct {
		Event  string
		Task   string // RunKey of the task; empty if the line is not about a task
		Entry  structs.Incarnation
		Detail string
	}
)

func (HelloCalled) isEvent()        {}
func (OrderCalled) isEvent()        {}
func (PollCalled) isEvent()         {}
func (SessionClosed) isEvent()      {}
func (ServerReported) isEvent()     {}
func (ServerLeft) isEvent()         {}
func (StartReplied) isEvent()       {}
func (StopReplied) isEvent()        {}
func (RenewReplied) isEvent()       {}
func (ConfigReceived) isEvent()     {}
func (RecordLoaded) isEvent()       {}
func (EvacuationReceived) isEvent() {}
func (TopicRead) isEvent()          {}
func (LeaveRequested) isEvent()     {}
func (Ticked) isEvent()             {}

func (StartTask) isEffect()     {}
func (StopTask) isEffect()      {}
func (RenewLease) isEffect()    {}
func (ReplyHello) isEffect()    {}
func (ReplyOrder) isEffect()    {}
func (ReplyPoll) isEffect()     {}
func (ReplyError) isEffect()    {}
func (CloseSession) isEffect()  {}
func (ServerChanged) isEffect() {}
func (Drained) isEffect()       {}
func (WatchTopic) isEffect()    {}
func (UnwatchTopic) isEffect()  {}
func (LogEvent) isEffect()      {}
