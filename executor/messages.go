package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID names one pending RPC; its Reply effect carries the same id.
type CallID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// RunCalled is Agent.Run.
	RunCalled struct {
		Call    CallID
		Request structs.RunRequest
	}
	// AwaitCalled is Agent.Await.
	AwaitCalled struct {
		Call    CallID
		Request structs.AwaitRequest
	}
	// SettleCalled is Agent.Settle.
	SettleCalled struct {
		Call    CallID
		Request structs.SettleRequest
	}
	// FenceCalled is Agent.Fence; its reply is a SettleReply.
	FenceCalled struct {
		Call    CallID
		Request structs.FenceRequest
	}
	// HeartbeatCalled is Agent.Heartbeat.
	HeartbeatCalled struct {
		Call    CallID
		Request structs.HeartbeatRequest
	}
	// DocumentCalled is Agent.PutDocument, or Agent.GetDocument if Record is
	// zero.
	DocumentCalled struct {
		Call   CallID
		Record structs.DocumentRecord
	}
	// TaskFinished is the end of a started task. Result.Verdict is NotRun only
	// if the backend server certainly did not see the request.
	TaskFinished struct {
		Task        structs.TaskID
		Result      structs.TaskResult
		ServiceTime time.Duration
	}
	// CallClosed says that the caller of a pending RPC has gone; it gets no
	// reply. The task goes on.
	CallClosed struct{ Call CallID }
	// LeaveRequested starts a graceful stop.
	LeaveRequested struct{}
	// Ticked lets time pass.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// StartTask calls the backend server; TaskFinished follows.
	StartTask struct {
		Task    structs.TaskID
		Attempt uint32
		Spec    structs.TaskSpec
		Team    string
		Timeout time.Duration
	}
	// StopTask ends the call of a started task early.
	StopTask struct{ Task structs.TaskID }
	// Reply answers an RPC. Message is a *structs.RunReply, SettleReply,
	// HeartbeatReply or DocumentReply.
	Reply struct {
		Call    CallID
		Message any
	}
	// Announce tells the entries of a change that cannot wait for the next
	// reply, such as leaving.
	Announce struct{ State structs.AgentState }
	// Drained says that a graceful stop is complete: nothing runs or waits.
	Drained struct{}
	// LogEvent is one line for the log.
	LogEvent struct {
		Event   string
		Task    structs.TaskID // zero if none
		Verdict *structs.Verdict
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
