package coordinator

import (
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID names one pending request of a caller; its Reply effect carries the
// same id.
type CallID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// ReserveCalled asks for Count job identifiers.
	ReserveCalled struct {
		Call  CallID
		Count int
	}
	// SubmitCalled submits a job under a reserved identifier, or under a new
	// one if ID is zero. The reply comes at once if Wait is false, otherwise
	// when the job is final.
	SubmitCalled struct {
		Call CallID
		ID   structs.JobID
		Spec structs.JobSpec
		Wait bool
	}
	// GetCalled asks for a job's answer, as it is or, with Wait, when final.
	GetCalled struct {
		Call CallID
		ID   structs.JobID
		Wait bool
	}
	// CancelCalled cancels a job and waits for its final answer.
	CancelCalled struct {
		Call CallID
		ID   structs.JobID
	}
	// CallClosed says that the caller has gone or asks for the answer as it is:
	// with Answer set, a Reply with the present answer follows.
	CallClosed struct {
		Call   CallID
		Answer bool
	}
	// AgentAnnounced says that an agent run exists at an address.
	AgentAnnounced struct{ Info structs.AgentInfo }
	// AgentStateReceived takes in a state that came outside of a task's reply.
	AgentStateReceived struct {
		Agent structs.Incarnation
		State structs.AgentState
	}
	// RunReplied is the reply to a Run or Await effect.
	RunReplied struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
		Reply structs.RunReply
	}
	// RunNotSent says that a Run effect certainly never left this process.
	RunNotSent struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// RunInDoubt says that the connection broke with the reply to a Run or Await
	// effect outstanding: the agent may or may not have the task.
	RunInDoubt struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// SettleReplied is the reply to a Settle effect.
	SettleReplied struct {
		Agent structs.Incarnation
		Tasks []structs.TaskRef // as asked
		Reply structs.SettleReply
	}
	// SettleFailed says that a Settle effect got no reply.
	SettleFailed struct {
		Agent structs.Incarnation
		Tasks []structs.TaskRef
	}
	// HeartbeatFailed says that an agent did not answer a heartbeat in time.
	HeartbeatFailed struct{ Agent structs.Incarnation }
	// RecoverCalled asks for what the agents know of a job whose home, another
	// entry, cannot be reached. The reply is as for GetCalled with Wait. Dead
	// says that the home's process is known to have ended.
	RecoverCalled struct {
		Call CallID
		ID   structs.JobID
		// Spec is the submission that is repeated, or nil. If the agents know
		// other content under the id, the reply is CodeConflict.
		Spec *structs.JobSpec
		Dead bool
	}
	// HomeClosed takes in what another entry said when it ended gracefully.
	HomeClosed struct{ Report structs.ClosedReport }
	// QueryReplied is the reply to a Query effect.
	QueryReplied struct {
		Call  CallID
		Agent structs.Incarnation
		Reply structs.SettleReply
	}
	// QueryAwaited is the reply to a QueryAwait effect.
	QueryAwaited struct {
		Call  CallID
		Agent structs.Incarnation
		Ref   structs.TaskRef
		Reply structs.RunReply
	}
	// QueryFailed says that a Query or, with Ref set, a QueryAwait effect got
	// no reply.
	QueryFailed struct {
		Call  CallID
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// DocumentChanged puts a newer revision of a service's document in force.
	DocumentChanged struct {
		Record   structs.DocumentRecord
		Document *document.Document
	}
	// DocumentsLoaded says that every service's document has been told: from now
	// on a service without one does not exist.
	DocumentsLoaded struct{}
	// PeersChanged replaces what is known of the entries. Live counts those
	// heard of lately, this one included.
	PeersChanged struct {
		Entries []structs.EntryInfo
		Live    int
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
	// ReplyIDs answers ReserveCalled.
	ReplyIDs struct {
		Call  CallID
		IDs   []structs.JobID
		Error *structs.Error
	}
	// Reply answers a caller; exactly one of Answer and Error is set.
	Reply struct {
		Call   CallID
		Answer *structs.JobAnswer
		Error  *structs.Error
	}
	// Forward hands a caller's request to the job's home, a live peer. The
	// caller's reply is the peer's.
	Forward struct {
		Call CallID
		Home structs.EntryInfo
		Op   structs.JobOp
		ID   structs.JobID
		Spec *structs.JobSpec
	}
	// Run sends a task to an agent (Agent.Run). RunReplied, RunNotSent or
	// RunInDoubt follows.
	Run struct {
		Agent   structs.Incarnation
		Request structs.RunRequest
	}
	// Await asks for the outcome of a task that the agent is known to hold
	// (Agent.Await). The same events follow as for Run, but for RunNotSent.
	Await struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// Settle asks an agent about tasks (Agent.Settle). SettleReplied or
	// SettleFailed follows.
	Settle struct {
		Agent   structs.Incarnation
		Request structs.SettleRequest
	}
	// Query asks an agent about another home's job (Agent.Fence). QueryReplied
	// or QueryFailed follows.
	Query struct {
		Call    CallID
		Agent   structs.Incarnation
		Request structs.FenceRequest
	}
	// QueryAwait asks for the outcome of another home's task that the agent
	// holds (Agent.Await). QueryAwaited or QueryFailed follows.
	QueryAwait struct {
		Call  CallID
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// Heartbeat probes an agent (Agent.Heartbeat). AgentStateReceived or
	// HeartbeatFailed follows.
	Heartbeat struct {
		Agent     structs.Incarnation
		Watermark uint64
		Revision  uint64
	}
	// ConnectAgent opens the connection to an agent run.
	ConnectAgent struct{ Info structs.AgentInfo }
	// DropAgent closes it for good.
	DropAgent struct{ Agent structs.Incarnation }
	// PushDocument sends an agent a revision it lacks (Agent.PutDocument).
	PushDocument struct {
		Agent  structs.Incarnation
		Record structs.DocumentRecord
	}
	// FetchDocument gets a newer revision from an agent that has it
	// (Agent.GetDocument).
	FetchDocument struct {
		Agent   structs.Incarnation
		Service string
	}
	// Drained says that a graceful stop is complete: no job is open. The report
	// is for the peers.
	Drained struct{ Report structs.ClosedReport }
	// LogEvent is one line for the log.
	LogEvent struct {
		Event   string
		Job     structs.JobID       // zero if none
		Task    int                 // -1 if none
		Agent   structs.Incarnation // zero if none
		Verdict *structs.Verdict
		Detail  string
	}
)

func (ReserveCalled) isEvent()   {}
func (SubmitCalled) isEvent()    {}
func (GetCalled) isEvent()       {}
func (CancelCalled) isEvent()    {}
func (CallClosed) isEvent()        {}
func (AgentAnnounced) isEvent()  {}
func (AgentStateReceived) isEvent()   {}
func (RunReplied) isEvent()      {}
func (RunNotSent) isEvent()      {}
func (RunInDoubt) isEvent()       {}
func (SettleReplied) isEvent()   {}
func (SettleFailed) isEvent()    {}
func (HeartbeatFailed) isEvent() {}
func (RecoverCalled) isEvent()   {}
func (HomeClosed) isEvent()      {}
func (QueryReplied) isEvent()    {}
func (QueryAwaited) isEvent()    {}
func (QueryFailed) isEvent()     {}
func (DocumentChanged) isEvent() {}
func (DocumentsLoaded) isEvent()  {}
func (PeersChanged) isEvent()    {}
func (LeaveRequested) isEvent()  {}
func (Ticked) isEvent()          {}

func (ReplyIDs) isEffect()      {}
func (Reply) isEffect()         {}
func (Forward) isEffect()       {}
func (Run) isEffect()           {}
func (Await) isEffect()         {}
func (Settle) isEffect()        {}
func (Query) isEffect()         {}
func (QueryAwait) isEffect()    {}
func (Heartbeat) isEffect()     {}
func (ConnectAgent) isEffect()  {}
func (DropAgent) isEffect()     {}
func (PushDocument) isEffect()  {}
func (FetchDocument) isEffect() {}
func (Drained) isEffect()       {}
func (LogEvent) isEffect()      {}
