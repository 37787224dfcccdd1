package structs

import "time"

// Names of the net/rpc services.
const (
	AgentService = "Agent"
	EntryService = "Entry"
)

// TaskRef identifies one attempt to place a task. Attempts are numbered from 1.
// The home makes the next attempt only when there is evidence that the previous
// one has not started and never will.
type TaskRef struct {
	Task    TaskID
	Attempt uint32
}

// RunRequest asks an agent to run one task (Agent.Run). The reply is sent when
// the task has finished or was refused. One run of an agent starts a TaskID at
// most once, however many requests it receives. A refusal or fence applies to
// the attempt and all earlier ones: an agent may accept a later attempt of a task
// that it refused, and refuses, as NotRun, any attempt older than the newest that
// it knows.
type RunRequest struct {
	Agent    Incarnation // the run of the agent that the request is addressed to
	Task     TaskID      // Task.Job.Home is the sender
	Attempt  uint32
	JobTasks int      // number of tasks of the job
	Content  [16]byte // identifies the content of the job's submission
	Spec     TaskSpec
	Service  string
	Team     string
	Revision uint64 // document revision that the sender has in force
	// Timeout is the time left until the job's timeout when the request is sent.
	Timeout time.Duration
	// Watermark is the sequence number below which all jobs of the home are
	// settled.
	Watermark uint64
}

// RunReply is the final outcome of a task at an agent (Agent.Run, Agent.Await).
// Result.Verdict is never MayHaveRun without Result.Error.
type RunReply struct {
	Result TaskResult
	State  AgentState
	// ServiceTime is how long the backend server took, without time in the
	// agent's queue; zero if the task did not start or the time is unknown.
	ServiceTime time.Duration
}

// SettleMode selects what Agent.Settle does with the tasks of the request. In
// every mode a task that the agent does not know is fenced, so that it never
// starts there. The exception is a task of which the agent may have dropped a
// record: its status is TaskDone with the verdict MayHaveRun.
type SettleMode uint8

const (
	// SettleQuery leaves queued and running tasks as they are.
	SettleQuery SettleMode = iota
	// SettleRecall drops and fences queued tasks; running ones continue.
	SettleRecall
	// SettleStop drops and fences queued tasks, and stops running ones if the
	// service's document permits it.
	SettleStop
)

// SettleRequest asks for the state of tasks (Agent.Settle).
type SettleRequest struct {
	Agent Incarnation
	Home  Incarnation
	Mode  SettleMode
	Tasks []TaskRef
}

// TaskPhase is the phase of a task at an agent.
type TaskPhase uint8

const (
	// TaskFenced means that the attempt has not run and never will at this agent.
	TaskFenced TaskPhase = iota + 1
	// TaskQueued means that the task has been accepted and has not started.
	TaskQueued
	// TaskRunning means that the agent has sent the task to its backend server,
	// which may still decline it; Agent.Await returns the outcome. A task that has
	// finished is reported as running too if its result does not fit into the
	// reply.
	TaskRunning
	// TaskDone means that the task has finished, or that its record may have been
	// dropped; the status includes the result or an error.
	TaskDone
)

var phaseNames = [...]string{"unknown", "fenced", "queued", "running", "done"}

// String returns the name of the phase.
func (p TaskPhase) String() string {
	if int(p) >= len(phaseNames) {
		return phaseNames[0]
	}
	return phaseNames[p]
}

// TaskStatus is the state of one task at an agent.
type TaskStatus struct {
	Task     TaskID
	Attempt  uint32 // newest attempt that the agent knows; that of the request if fenced
	Phase    TaskPhase
	JobTasks int      // number of tasks of the job; zero if fenced
	Content  [16]byte // identifies the content of the job's submission; zero if fenced
	// Result is set if Phase is TaskDone. If Phase is TaskFenced, Result.Error may
	// say why. In the reply to a FenceRequest, CodeHomeFenced means that the task
	// was queued at this agent when its home was fenced; in the reply to a
	// SettleRequest it means only that the home is fenced.
	Result      TaskResult
	ServiceTime time.Duration
}

// SettleReply answers a SettleRequest or a FenceRequest. If the request was
// addressed to another incarnation of the agent, Statuses is empty and
// State.Incarnation is the current incarnation.
type SettleReply struct {
	Statuses []TaskStatus
	State    AgentState
	// Forgotten is set in the reply to a FenceRequest if records of started tasks
	// of the job may have been dropped: a task without a status may have run. If
	// it is not set and the request had Close set, a task without a status has
	// not run at this agent and never will.
	Forgotten bool
}

// AwaitRequest asks for the outcome of a task that the agent has accepted
// (Agent.Await); the reply is a RunReply. As with Agent.Settle, a task that the
// agent does not know is fenced.
type AwaitRequest struct {
	Agent   Incarnation
	Task    TaskID
	Attempt uint32
}

// FenceRequest asks an agent for the statuses of a job's tasks on behalf of an
// entry that is not the job's home (Agent.Fence); the reply is a SettleReply. If
// Close is set, the agent first fences the home: it starts no further task of
// that home and drops the queued ones; running tasks continue.
type FenceRequest struct {
	Agent Incarnation
	Job   JobID
	Close bool
}

// HeartbeatRequest checks that an agent is alive (Agent.Heartbeat) and reports
// the state of the entry to it.
type HeartbeatRequest struct {
	Agent     Incarnation
	Entry     EntryInfo
	Watermark uint64
	Revision  uint64
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	State AgentState
}

// DocumentReply answers Agent.PutDocument (argument: DocumentRecord) and
// Agent.GetDocument (argument: the name of the service) with the newest record
// that the agent holds.
type DocumentReply struct {
	Record DocumentRecord
	State  AgentState
}

// AnnounceRequest notifies an entry (Entry.Announce) of a run of an agent, or of
// an urgent change of its state such as leaving.
type AnnounceRequest struct {
	Info  AgentInfo
	State AgentState
}

// AnnounceReply answers an AnnounceRequest with the entries that the answering
// entry knows, itself included, and the service's document if there is one.
type AnnounceReply struct {
	Entries  []EntryInfo
	Document DocumentRecord
}

// MembersReply answers Entry.Members (argument: the EntryInfo of the requesting
// entry) with what an entry needs at start if it cannot read the log.
type MembersReply struct {
	Entries []EntryInfo
	Agents  []AgentInfo
	// Fold is an encoded logstate.State; nil if there is none.
	Fold []byte
	// Closed holds the final reports of entries that shut down gracefully.
	Closed []ClosedReport
}

// SeqRange is an inclusive range of a home's sequence numbers.
type SeqRange struct{ First, Last uint64 }

// ClosedReport is the final report of an entry that shuts down gracefully
// (Entry.Closed, no reply). It lists the job ids of this home under which no job
// was submitted and no job will ever start.
type ClosedReport struct {
	Home        Incarnation
	Next        uint64 // ids from this sequence number on were never reserved
	Unsubmitted []SeqRange
}

// Covers reports whether the report lists the id with the sequence number, so
// that no job has started or will start under it.
func (r *ClosedReport) Covers(seq uint64) bool {
	if seq >= r.Next {
		return true
	}
	for _, s := range r.Unsubmitted {
		if seq >= s.First && seq <= s.Last {
			return true
		}
	}
	return false
}

// ForwardRequest forwards a caller's request to the job's home (Entry.Forward).
type ForwardRequest struct {
	Op   JobOp
	ID   JobID
	Spec *JobSpec      // only for OpSubmit
	Wait time.Duration // how long to wait for a final state
}

// JobOp is an operation on a job.
type JobOp uint8

// Job operations.
const (
	OpSubmit JobOp = iota + 1
	OpGet
	OpCancel
)

// ForwardReply is the home's reply to a ForwardRequest. Exactly one field is set.
type ForwardReply struct {
	Answer *JobAnswer
	Error  *Error
}
