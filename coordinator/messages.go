package coordinator

import (
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID identifies one pending request of a caller. The Reply effect for the
// request carries the same id.
type CallID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// ReserveCalled reserves Count job identifiers.
	ReserveCalled struct {
		Call  CallID
		Count int
	}
	// SubmitCalled submits a job under a reserved identifier, or under a new
	// one if ID is zero. With Wait the reply is sent when the job is final,
	// otherwise at once.
	SubmitCalled struct {
		Call CallID
		ID   structs.JobID
		Spec structs.JobSpec
		Wait bool
	}
	// GetCalled requests a job's answer: its current state or, with Wait, the
	// final answer.
	GetCalled struct {
		Call CallID
		ID   structs.JobID
		Wait bool
	}
	// CancelCalled cancels a job. The reply is sent when the job is final.
	CancelCalled struct {
		Call CallID
		ID   structs.JobID
	}
	// CallClosed reports that the caller has disconnected or stops waiting. If
	// Answer is set, a Reply with the current answer follows.
	CallClosed struct {
		Call   CallID
		Answer bool
	}
	// AgentAnnounced reports a running agent process and its address.
	AgentAnnounced struct{ Info structs.AgentInfo }
	// AgentStateReceived carries an agent's state that did not come with the
	// reply to a Run, Await or Settle effect.
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
	// RunNotSent reports that a Run effect certainly never left this process.
	RunNotSent struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// RunInDoubt reports that the connection broke before the reply to a Run or
	// Await effect arrived. The agent may or may not have the task.
	RunInDoubt struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// SettleReplied is the reply to a Settle effect.
	SettleReplied struct {
		Agent structs.Incarnation
		Tasks []structs.TaskRef // the attempts that the Settle effect named
		Reply structs.SettleReply
	}
	// SettleFailed reports that a Settle effect got no reply.
	SettleFailed struct {
		Agent structs.Incarnation
		Tasks []structs.TaskRef
	}
	// HeartbeatFailed reports that an agent did not answer a heartbeat in time.
	HeartbeatFailed struct{ Agent structs.Incarnation }
	// RecoverCalled asks the agents for the outcome of a job whose home,
	// another entry, cannot be reached. The reply is as for GetCalled with
	// Wait. Dead reports that the home's process is known to have ended.
	RecoverCalled struct {
		Call CallID
		ID   structs.JobID
		// Spec is the submission if the call repeats one, otherwise nil. If the
		// agents have the id with different content, the reply is CodeConflict.
		Spec *structs.JobSpec
		Dead bool
	}
	// HomeClosed carries the final report of another entry that shut down
	// gracefully.
	HomeClosed struct{ Report structs.ClosedReport }
	// QueryReplied is the reply to a Query effect.
	QueryReplied struct {
		Call  CallID
		Agent structs.Incarnation
		Reply structs.SettleReply
	}
	// QueryAwaitReplied is the reply to a QueryAwait effect.
	QueryAwaitReplied struct {
		Call  CallID
		Agent structs.Incarnation
		Ref   structs.TaskRef
		Reply structs.RunReply
	}
	// QueryFailed reports that a Query effect or, if Ref is set, a QueryAwait
	// effect got no reply.
	QueryFailed struct {
		Call  CallID
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// DocumentChanged delivers a newer revision of a service's document, which
	// takes effect at once.
	DocumentChanged struct {
		Record   structs.DocumentRecord
		Document *document.Document
	}
	// DocumentsLoaded reports that every service's document has been delivered.
	// From now on a service without a document does not exist.
	DocumentsLoaded struct{}
	// PeersChanged replaces the list of entries. Live is the number of live
	// entries, this one included.
	PeersChanged struct {
		Entries []structs.EntryInfo
		Live    int
	}
	// LeaveRequested starts a graceful shutdown.
	LeaveRequested struct{}
	// Ticked drives timeouts and periodic work. The caller sends it every
	// TickInterval.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

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
	// Forward passes a caller's request to the job's home, a live peer. The
	// peer's reply becomes the caller's reply.
	Forward struct {
		Call CallID
		Home structs.EntryInfo
		Op   structs.JobOp
		ID   structs.JobID
		Spec *structs.JobSpec
	}
	// Run sends a task to an agent (Agent.Run). RunReplied, RunNotSent or
	// RunInDoubt follows, unless DropAgent comes first.
	Run struct {
		Agent   structs.Incarnation
		Request structs.RunRequest
	}
	// Await asks an agent for the outcome of a task that it is known to hold
	// (Agent.Await). RunReplied or RunInDoubt follows.
	Await struct {
		Agent structs.Incarnation
		Ref   structs.TaskRef
	}
	// Settle asks an agent for the status of attempts (Agent.Settle).
	// SettleReplied or SettleFailed follows.
	Settle struct {
		Agent   structs.Incarnation
		Request structs.SettleRequest
	}
	// Query asks an agent for its records of another home's job (Agent.Fence).
	// QueryReplied or QueryFailed follows.
	Query struct {
		Call    CallID
		Agent   structs.Incarnation
		Request structs.FenceRequest
	}
	// QueryAwait asks an agent for the outcome of another home's task that it
	// holds (Agent.Await). QueryAwaitReplied or QueryFailed follows.
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
	// ConnectAgent opens the connection to an agent process.
	ConnectAgent struct{ Info structs.AgentInfo }
	// DropAgent closes the connection to an agent process for good.
	DropAgent struct{ Agent structs.Incarnation }
	// PushDocument sends an agent a newer revision of its service's document
	// (Agent.PutDocument).
	PushDocument struct {
		Agent  structs.Incarnation
		Record structs.DocumentRecord
	}
	// FetchDocument gets a newer revision of a service's document from an agent
	// that has it (Agent.GetDocument).
	FetchDocument struct {
		Agent   structs.Incarnation
		Service string
	}
	// Drained reports that a graceful shutdown is complete: no job is open.
	// Report is to be sent to the peers.
	Drained struct{ Report structs.ClosedReport }
	// LogEvent is one line of the event log.
	LogEvent struct {
		Event   string
		Job     structs.JobID       // zero if none
		Task    int                 // -1 if none
		Agent   structs.Incarnation // zero if none
		Verdict *structs.Verdict
		Detail  string
	}
)

func (ReserveCalled) isEvent()      {}
func (SubmitCalled) isEvent()       {}
func (GetCalled) isEvent()          {}
func (CancelCalled) isEvent()       {}
func (CallClosed) isEvent()         {}
func (AgentAnnounced) isEvent()     {}
func (AgentStateReceived) isEvent() {}
func (RunReplied) isEvent()         {}
func (RunNotSent) isEvent()         {}
func (RunInDoubt) isEvent()         {}
func (SettleReplied) isEvent()      {}
func (SettleFailed) isEvent()       {}
func (HeartbeatFailed) isEvent()    {}
func (RecoverCalled) isEvent()      {}
func (HomeClosed) isEvent()         {}
func (QueryReplied) isEvent()       {}
func (QueryAwaitReplied) isEvent()  {}
func (QueryFailed) isEvent()        {}
func (DocumentChanged) isEvent()    {}
func (DocumentsLoaded) isEvent()    {}
func (PeersChanged) isEvent()       {}
func (LeaveRequested) isEvent()     {}
func (Ticked) isEvent()             {}

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
