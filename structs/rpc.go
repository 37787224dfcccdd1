package structs

import "time"

// RPC service names under net/rpc.
const (
	AgentService = "Agent"
	EntryService = "Entry"
)

// TaskRef names one attempt to place a task. The home places a task again, under
// the next attempt number, only after evidence that the attempt before it has
// not started and never will. Attempts count from 1.
type TaskRef struct {
	Task    TaskID
	Attempt uint32
}

// RunRequest asks an agent to run one task (Agent.Run). The reply comes when
// the task has finished or was refused. An agent starts a TaskID at most once,
// however often it is asked. A refusal or fence holds for the attempt and all
// before it: an agent accepts a later attempt of a task that it refused, and
// refuses as not run an attempt below the newest it knows.
type RunRequest struct {
	Agent    Incarnation // the agent run it is meant for
	Task     TaskID      // Task.Job.Home is the sender
	Attempt  uint32
	JobTasks int      // tasks of the whole job
	Content  [16]byte // identifies the content of the job's submission
	Spec     TaskSpec
	Service  string
	Team     string
	Revision uint64 // document revision the sender decided under
	// Timeout is what is left of the job's timeout at sending.
	Timeout time.Duration
	// Watermark is the home's sequence below which every job is settled.
	Watermark uint64
}

// RunReply is the final outcome of a task at an agent (Agent.Run, Agent.Await).
// Result.Verdict is never MayHaveRun without Result.Error.
type RunReply struct {
	Result TaskResult
	State  AgentState
	// Service is how long the backend server took, without queueing; zero if
	// the task did not start.
	ServiceTime time.Duration
}

// SettleMode says what Agent.Settle does to the named tasks. In every mode a
// task that the agent does not know is fenced: it never starts there.
type SettleMode uint8

const (
	// SettleQuery leaves queued and running tasks as they are.
	SettleQuery SettleMode = iota
	// SettleRecall drops queued tasks for good; running ones go on.
	SettleRecall
	// SettleStop drops queued tasks and stops running ones where the service's
	// document allows it.
	SettleStop
)

// SettleRequest asks for the state of tasks (Agent.Settle).
type SettleRequest struct {
	Agent Incarnation
	Home  Incarnation
	Mode  SettleMode
	Tasks []TaskRef
}

// TaskPhase is where a task stands at an agent.
type TaskPhase uint8

const (
	// TaskFenced is not run and never will be at this agent.
	TaskFenced TaskPhase = iota + 1
	// TaskQueued has been accepted and has not started.
	TaskQueued
	// TaskRunning has started; its result is fetched by Agent.Await.
	TaskRunning
	// TaskDone has finished; the status carries its result.
	TaskDone
)

var phaseNames = [...]string{"unknown", "fenced", "queued", "running", "done"}

// String returns the phase's name.
func (p TaskPhase) String() string {
	if int(p) >= len(phaseNames) {
		return phaseNames[0]
	}
	return phaseNames[p]
}

// TaskStatus is the state of one task at an agent.
type TaskStatus struct {
	Task     TaskID
	Attempt  uint32 // the newest attempt the agent knows, as asked if fenced
	Phase    TaskPhase
	JobTasks int      // tasks of the whole job; zero if fenced
	Content  [16]byte // of the job's submission; zero if fenced
	// Result is set if Phase is TaskDone. If Phase is TaskFenced, its Error may
	// tell why; CodeHomeFenced says that the task waited here when its home
	// was fenced.
	Result      TaskResult
	ServiceTime time.Duration
}

// SettleReply answers a SettleRequest. If the agent's incarnation is not the
// one asked, Statuses is empty and State.Incarnation tells the present one.
type SettleReply struct {
	Statuses []TaskStatus
	State    AgentState
	// Forgotten says, in the answer to a FenceRequest, that records of started
	// tasks of the job may have been dropped: a task without a status may have
	// run. Otherwise, and with Close, a task without a status is not run at
	// this agent and never will be.
	Forgotten bool
}

// AwaitRequest asks for the outcome of a task that the agent has accepted
// (Agent.Await); the reply is a RunReply. An unknown task is fenced.
type AwaitRequest struct {
	Agent   Incarnation
	Task    TaskID
	Attempt uint32
}

// FenceRequest asks an agent for the statuses of a job's tasks, on behalf of an
// entry that is not the job's home (Agent.Fence); the reply is a SettleReply.
// With Close, the home is closed first: nothing of it starts there any more,
// queued tasks are dropped, running ones go on.
type FenceRequest struct {
	Agent Incarnation
	Job   JobID
	Close bool
}

// HeartbeatRequest probes an agent (Agent.Heartbeat) and tells it of the entry.
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

// DocumentReply answers Agent.PutDocument (argument: DocumentRecord) with the
// newest record the agent holds; Agent.GetDocument (argument: the service's
// name) answers the same.
type DocumentReply struct {
	Record DocumentRecord
	State  AgentState
}

// AnnounceRequest tells an entry that an agent run exists, or of a change of its
// state that cannot wait, such as leaving (Entry.Announce).
type AnnounceRequest struct {
	Info  AgentInfo
	State AgentState
}

// AnnounceReply answers an AnnounceRequest: the entries the answering one knows,
// itself included, and the service's document if any.
type AnnounceReply struct {
	Entries  []EntryInfo
	Document DocumentRecord
}

// MembersReply answers Entry.Members (argument: the asking EntryInfo): what a
// newcomer needs to serve when it cannot read the log.
type MembersReply struct {
	Entries []EntryInfo
	Agents  []AgentInfo
	// Fold is an encoded fold.State; nil if there is none.
	Fold []byte
	// Closed are the last words of entries that ended gracefully.
	Closed []ClosedReport
}

// SeqRange is a range of a home's sequence numbers, both ends included.
type SeqRange struct{ First, Last uint64 }

// ClosedReport is the last word of an entry that ends gracefully (Entry.Closed,
// no reply): which of its job ids were never submitted, and never will start.
type ClosedReport struct {
	Home        Incarnation
	Next        uint64 // ids from here on were never reserved
	Unsubmitted []SeqRange
}

// Covers reports whether the job with the sequence certainly never started.
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

// ForwardRequest carries a caller's request to the job's home (Entry.Forward).
type ForwardRequest struct {
	Op   JobOp
	ID   JobID
	Spec *JobSpec      // set for OpSubmit
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

// ForwardReply is the home's answer: exactly one field is set.
type ForwardReply struct {
	Answer *JobAnswer
	Error  *Error
}
