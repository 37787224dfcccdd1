// Package session holds the messages between an entry and an agent.
//
// A session is one connection from an entry to an agent. Tasks belong to the
// session in which they were ordered: when it ends, because the connection broke
// or no message arrived for the agent's SessionTTL, the agent stops them all. Each
// state that the agent sends carries the newest reading of the backend server's
// clock, and the entry echoes it in its next request. The agent starts tasks only
// while the newest reading echoed in their session is younger than SessionTTL by
// that clock, so that an order that was delayed, or whose sender or receiver was
// suspended, starts nothing.
package session

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ClockReading is a reading of the clock of a backend server's run.
type ClockReading struct {
	Run   int64         // incarnation of the backend server; higher after each restart, which resets its clock
	Clock time.Duration // by the server's own monotonic clock
}

// HelloRequest opens a session (Agent.Hello). The agent replies when no task of
// an earlier session with the same entry runs at its server any more.
type HelloRequest struct {
	Entry       string
	Incarnation structs.Incarnation
	// Config is the newest version that the entry has. Only entries of earlier
	// builds set it; newer ones set ConfigVersion, and the agent gets the text with
	// its next exchange.
	Config        Config
	ConfigVersion int64 // newest version that the entry has
	OmitConfig    bool  // HelloReply.Config is not wanted; the entry calls Agent.Config
	Evacuation    Evacuation
	// TopicUnheard is for how long the entry has had no reply to its reads of the
	// operators' topic if its view of the evacuations is stale, and zero otherwise.
	// Entries of earlier builds leave it zero.
	TopicUnheard time.Duration
}

// HelloReply answers a HelloRequest.
type HelloReply struct {
	Agent       string
	Incarnation structs.Incarnation
	Zone        string
	// Config is set only if it is newer than the entry's and the request does not
	// omit it. ConfigVersion is always set.
	Config        Config
	ConfigVersion int64
	Evacuation    Evacuation
	State         State
	// Cancels are all that the agent holds. Agents of earlier builds leave it empty.
	Cancels []Cancel
	Held    time.Duration // as in PollReply
}

// Cancel is a job that a caller has canceled: none of its tasks may be started.
type Cancel struct {
	Job   string // the caller's name of the job
	Queue string
	AgoMs int64 // time since the cancel, in ms
}

// CancelRequest notifies an entry of jobs that were canceled at another one (Entry.Cancel).
type CancelRequest struct {
	Entry   string // name of the sender
	Cancels []Cancel
}

// CancelReply answers a CancelRequest.
type CancelReply struct {
	// Known reports, for each of CancelRequest.Cancels, whether the entry had the job, open
	// or answered. Its tasks are being stopped.
	Known []bool
}

// OpenJob is a job that is open at an entry.
type OpenJob struct {
	Job   string // the caller's name of the job
	AgeMs int64  // time since the newest submission of it, in ms
}

// OpenJobsRequest announces to an entry jobs that are open at another one (Entry.OpenJobs). Of a job that both
// have, the one with the older submission stops its tasks. Entries of earlier builds lack the method.
type OpenJobsRequest struct {
	Entry string // name of the sender
	Jobs  []OpenJob
}

// JobState is what an entry knows of a job of another one.
type JobState uint8

// States.
const (
	// JobUnknown means that no task of the job runs or will be started, unless it is submitted there. An
	// entry whose submission has about the same age says so too.
	JobUnknown JobState = iota
	// JobNewer means that the entry has a newer submission of the job.
	JobNewer
	// JobEnding means that the entry has stopped the job, and tasks of it may still run.
	JobEnding
)

// OpenJobsReply answers an OpenJobsRequest.
type OpenJobsReply struct {
	States []JobState // for each of OpenJobsRequest.Jobs
}

// ConfigRequest asks an agent for its version of the configuration (Agent.Config).
type ConfigRequest struct {
	AcceptGzip bool
}

// ConfigReply answers a ConfigRequest.
type ConfigReply struct {
	Config Config
}

// Config is a version of the operators' configuration, as stored by the platform.
// Processes forward it to those that cannot read the store.
type Config struct {
	Version int64
	Text    []byte
	// Gzip is set instead of Text in replies to requests that accept it, see
	// Compress.
	Gzip []byte
}

// Evacuation is the set of availability zones in which no task may be started, by the
// operators' topic of the store. Processes forward the newest one they know.
type Evacuation struct {
	// Version is the offset on the topic after the last record that is included. Zero
	// means unknown.
	Version int64    `json:"version"`
	Zones   []string `json:"zones"` // sorted
}

// OrderRequest starts and stops tasks (Agent.Order).
type OrderRequest struct {
	Echo  ClockReading // the newest that the entry has received
	Start []JobPart
	Stop  []uint64 // ids of placements
	// Recall are ids of placements that are reported as NotStarted if they have not been
	// started, and are not affected otherwise. Agents of earlier builds ignore it.
	Recall []uint64
	// Evacuation is set if it has changed since the session's last request.
	Evacuation Evacuation
	// Cancels are the jobs of which the agent has to stop all tasks, whoever ordered them,
	// and to start none. Agents of earlier builds ignore it.
	Cancels []Cancel
}

// JobPart contains the tasks of one job that are placed on one agent.
type JobPart struct {
	Job      string // the caller's name of the job
	Queue    string // name of the job's queue; empty if the entry is of an earlier build
	Spec     string
	Service  string
	CPU      int // thousandths of a core, of each task
	MemMB    int
	GPU      int
	Estimate time.Duration // run time of each task on a server of reference speed
	// Priority is a rank of package shares: 0 comes first. Entries that do not divide
	// capacity by priority leave it zero.
	Priority int
	// StartWithin bounds the time that each task waits at the agent. A task that
	// has not been started by then is reported as NotStarted.
	StartWithin time.Duration
	// RequiredLabel is a label that the server must have when a task starts. MaxPerServer
	// bounds the tasks of the job on one server. Either is not checked if it is zero, as
	// entries of earlier builds leave it; agents of earlier builds ignore both.
	RequiredLabel string
	MaxPerServer  int
	// ConfigVersion is the version of the configuration under which the job was
	// submitted; zero if the entry is of an earlier build.
	ConfigVersion int64
	Tasks         []Placement
}

// Placement is one attempt to run one task.
type Placement struct {
	ID      uint64 // unique among the entry's placements
	Index   int    // of the task in its job
	Attempt int    // from 1
}

// OrderReply answers an OrderRequest. The outcomes of the tasks are reported in
// PollReply.
type OrderReply struct {
	State State
	// Cancels is the number of OrderRequest.Cancels that the agent has taken. Agents of
	// earlier builds leave it zero.
	Cancels int
}

// PollRequest asks for reports (Agent.Poll). The agent replies when there are
// any, or after a short wait. Polling also keeps the session alive.
type PollRequest struct {
	Echo ClockReading // the newest that the entry has received
	Seen uint64       // sequence number of the newest report received
	// Evacuation is set if it has changed since the session's last request.
	Evacuation   Evacuation
	TopicUnheard time.Duration // as in HelloRequest
}

// PollReply answers a PollRequest.
type PollReply struct {
	Reports []Report // those after PollRequest.Seen, oldest first
	State   State
	// Evacuation is set if it is newer than all that this session has carried, in either
	// direction. Agents of earlier builds leave it unset.
	Evacuation Evacuation
	// Cancels are those that the agent has learned of since the session's last reply.
	Cancels []Cancel
	// Held is the time from the arrival of the request to the reply. It is positive; agents
	// of earlier builds leave it zero.
	Held time.Duration
}

// Outcome is how a placement ended.
type Outcome uint8

// Outcomes.
const (
	Unknown Outcome = iota
	// Done means that the task has finished successfully.
	Done
	// Failed means that the backend server ended the task with a failure.
	Failed
	// Stopped means that the task was stopped by an order, or because its session
	// ended.
	Stopped
	// Lost means that the task no longer runs and has not finished: its lease
	// expired, its server was replaced, or it made no progress and was stopped.
	// An entry also uses it for tasks whose session has ended.
	Lost
	// NotStarted means that the task has not run under this placement and never
	// will.
	NotStarted
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lost", "not_started"}

// String returns the name of the outcome as written to logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// Report is the final result of a placement.
type Report struct {
	Seq     uint64 // sequence number in the session, from 1
	ID      uint64 // placement
	Outcome Outcome
	Reason  string        // for logs
	Ran     time.Duration // from the acknowledgement of the start to the end
}

// State is the state of an agent and its backend server, sent with each reply.
type State struct {
	Seq      uint64       // increases with each state sent by one incarnation of the agent
	Stamp    ClockReading // the newest that the agent has
	Identity *Identity    // only if it has changed since the session's last state
	Ready    bool         // accepts tasks
	FreeCPU  int          // thousandths of a core
	FreeMem  int          // MB
	// Slowness is the run time of tasks on this server relative to their
	// estimates, in thousandths. Samples is the number of tasks it was learned
	// from.
	Slowness int
	Samples  int
	// Failing is the recent share of tasks that failed or hung, in thousandths.
	Failing int
	// Broken is the recent share of calls that start tasks for which the server closed
	// the connection instead of replying, in thousandths. Agents of earlier builds leave it
	// zero.
	Broken  int
	Running []RunningTask
	Queue   []QueuedTask
	// OthersCPU is the sum of the sizes of all tasks that the agent has admitted from other
	// sessions since it started, in thousandths of a core. Agents of earlier builds leave
	// it zero.
	OthersCPU uint64
	// ColdMs is how much longer the server runs slowly after its start, in ms.
	ColdMs int
	// RunTimes are the distributions of run times of the queues whose tasks the server
	// runs, if they have changed since the session's last state.
	RunTimes []RunTimes
	// Crashes are the recent crashes of the server that the session's earlier states
	// did not contain, oldest first.
	Crashes []Crash
	// Laggards are the stragglers among the session's tasks. It is empty unless
	// the server as a whole is slow.
	Laggards []Straggler
}

// RunTimes is the distribution of run times of one queue's tasks at one server.
type RunTimes struct {
	Queue   string
	Samples int
	// Ratios are quantiles of the run time relative to the expected one, in thousandths,
	// at the probabilities that package runtimes states.
	Ratios []int
}

// Straggler is a task that runs far slower than expected on its server.
type Straggler struct {
	ID uint64 // placement
	Ms int    // expected remaining run time, in ms
}

// Identity contains the properties of a backend server that rarely change.
type Identity struct {
	Service  string
	Server   string // id of the backend server on the platform
	Labels   []string
	Rack     string // one of the labels; empty if the agent is of an earlier build
	Capacity int    // thousandths of a core
	MemMB    int    // zero if the agent is of an earlier build; GPU is then unknown too
	GPU      int
}

// Crash is a crash of a backend server. The tasks that it had started are reported as
// Lost later, when they can no longer run by their lease.
type Crash struct {
	Run    int64 // incarnation of the server that crashed; higher for later ones
	Ago    int   // ms since the crash
	Tasks  []LostTask
	Starts []StartRate // before the crash
}

// LostTask is a task that a server had started when it crashed.
type LostTask struct {
	Job   string
	Index int
	Queue string // empty if the entry that placed it is of an earlier build
	Ran   int    // ms from its start to the crash
	// Started is set if the server has acknowledged the start. Otherwise the task may
	// not have been there.
	Started bool
}

// StartRate is how often a server starts tasks of a queue.
type StartRate struct {
	Queue     string
	PerSecond float64
}

// RunningTask is the size and the expected remaining run time of a running task.
// To bound the size of a State, its last element may stand for several tasks: CPU
// is then their sum, and Ms the time until the last of them ends.
type RunningTask struct {
	CPU int // thousandths of a core
	Ms  int // expected remaining run time, in ms
}

// QueuedTask is a task in the agent's queue.
type QueuedTask struct {
	// ID is the placement if the task was ordered in the session that the state is sent
	// in; zero otherwise, and if the agent is of an earlier build.
	ID          uint64
	CPU         int // thousandths of a core
	Ms          int // expected run time, in ms
	StartWithin int // time left until its latest start, in ms
	// Priority is that of its JobPart. Agents of earlier builds leave it zero, so that
	// their queued tasks give way to no job.
	Priority int
}

// ExchangeRequest announces a process to an entry and asks for the processes that
// the entry knows (Entry.Exchange).
type ExchangeRequest struct {
	From          Process
	ConfigVersion int64
	// Digest is a hash of the set of processes that the sender knows; zero if the
	// sender is not an entry.
	Digest     uint64
	OmitConfig bool // ExchangeReply.Config is not wanted
	AcceptGzip bool
	Evacuation Evacuation
	// WantCancels is set by an entry that has just started. Entries of earlier builds
	// ignore it.
	WantCancels bool
}

// ExchangeReply answers an ExchangeRequest.
type ExchangeReply struct {
	// Known contains the processes that the entry knows: only entries if the
	// sender of the request is an agent, and none if the digests are equal.
	Known []Process
	// Config is set only if it is newer than the sender's and the request does not
	// omit it. ConfigVersion is always set; entries of earlier builds leave it zero.
	Config        Config
	ConfigVersion int64
	Evacuation    Evacuation
	// Cancels are those that the entry knows, if the request wants them.
	Cancels []Cancel
}

// Process is a process of the system with the address at which others reach it.
type Process struct {
	Name        string              `json:"name"`
	Role        string              `json:"role"` // RoleEntry or RoleAgent
	Addr        string              `json:"addr"` // net/rpc address
	Incarnation structs.Incarnation `json:"incarnation"`
	// Service is the service of an agent's backend server; empty for entries and for
	// agents of earlier builds.
	Service string `json:"service,omitempty"`
	// Rack is the rack of an agent's backend server; empty if it is not known yet, for
	// entries, and for agents of earlier builds.
	Rack string `json:"rack,omitempty"`
	// Zone and Processors are the availability zone and the processor time, in processors, of
	// an entry's instance; empty and zero for agents and for entries of earlier builds.
	Zone       string  `json:"zone,omitempty"`
	Processors float64 `json:"processors,omitempty"`
}

// Roles of a Process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)
