package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID identifies one pending RPC. Its Reply effect carries the same id.
type CallID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events. The ones that end in Called are requests of the RPC service
// structs.AgentService.
type (
	// RunCalled is a call of Agent.Run.
	RunCalled struct {
		Call    CallID
		Request structs.RunRequest
	}
	// AwaitCalled is a call of Agent.Await.
	AwaitCalled struct {
		Call    CallID
		Request structs.AwaitRequest
	}
	// SettleCalled is a call of Agent.Settle.
	SettleCalled struct {
		Call    CallID
		Request structs.SettleRequest
	}
	// FenceCalled is a call of Agent.Fence. Its reply is a SettleReply.
	FenceCalled struct {
		Call    CallID
		Request structs.FenceRequest
	}
	// HeartbeatCalled is a call of Agent.Heartbeat.
	HeartbeatCalled struct {
		Call    CallID
		Request structs.HeartbeatRequest
	}
	// DocumentCalled is a call of Agent.PutDocument, or of Agent.GetDocument if
	// Record is zero. With Call zero it is a document that came with an
	// AnnounceReply; no RPC waits for its Reply effect.
	DocumentCalled struct {
		Call   CallID
		Record structs.DocumentRecord
	}
	// TaskFinished reports that a started task has ended. Result.Verdict is
	// NotRun only if it is certain that the backend server has not started the
	// task and will not.
	TaskFinished struct {
		Task        structs.TaskID
		Result      structs.TaskResult
		ServiceTime time.Duration
	}
	// CallClosed reports that the caller of a pending RPC closed its connection
	// before the reply. The call gets no reply; its task is not affected.
	CallClosed struct{ Call CallID }
	// LeaveRequested starts a graceful shutdown of the agent.
	LeaveRequested struct{}
	// Ticked is the periodic timer event. It applies timeouts that have passed.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// StartTask sends a task to the backend server. A TaskFinished event
	// follows.
	StartTask struct {
		Task    structs.TaskID
		Attempt uint32
		Spec    structs.TaskSpec
		Team    string
		Timeout time.Duration
	}
	// StopTask cancels the backend call of a started task.
	StopTask struct{ Task structs.TaskID }
	// Reply answers an RPC. Message is a pointer to a RunReply, SettleReply,
	// HeartbeatReply or DocumentReply of package structs.
	Reply struct {
		Call    CallID
		Message any
	}
	// Announce sends the agent's state to the entries at once, for a change
	// that cannot wait for the next reply: the start or end of leaving.
	Announce struct{ State structs.AgentState }
	// Drained reports that a graceful shutdown is complete: no task is running or
	// queued.
	Drained struct{}
	// LogEvent is one log line.
	LogEvent struct {
		Event   string
		Task    structs.TaskID   // zero if the line is not about a task
		Verdict *structs.Verdict // nil if the line is not about a task
		Detail  string
	}
)

func (RunCalled) isEvent()       {}
func (AwaitCalled) isEvent()     {}
func (SettleCalled) isEvent()    {}
func (FenceCalled) isEvent()     {}
func (HeartbeatCalled) isEvent() {}
func (DocumentCalled) isEvent()  {}
func (TaskFinished) isEvent()    {}
func (CallClosed) isEvent()      {}
func (LeaveRequested) isEvent()  {}
func (Ticked) isEvent()          {}

func (StartTask) isEffect() {}
func (StopTask) isEffect()  {}
func (Reply) isEffect()     {}
func (Announce) isEffect()  {}
func (Drained) isEffect()   {}
func (LogEvent) isEffect()  {}
