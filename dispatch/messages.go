package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// CallID identifies one pending request of a caller.
type CallID uint64

// SessionID identifies one session with an agent; a new session with the same
// agent has a new one.
type SessionID uint64

// Job is a submission: equal tasks that run in parallel.
type Job struct {
	Name  string // chosen by the caller; submissions of the same name are duplicates
	Queue routing.Queue
	Spec  string
	Tasks int
	CPU   int // thousandths of a core, of each task
	MemMB int
	GPU   int
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration
	// RequiredLabel is a label that the server must have; empty if none.
	RequiredLabel string
	// Rack is the label of the rack that holds the job's data; empty if none does. On
	// servers without the label its tasks take Options.FarFactor times as long.
	Rack string
	// OneRack means that the tasks take Options.FarFactor times as long if they run on
	// servers of more than one rack.
	OneRack bool
	// MaxPerServer bounds the job's tasks on one server; zero means no limit.
	MaxPerServer int
	// ConfigVersion is the version of the configuration that sent the job to its queue.
	ConfigVersion int64
	// Timeout is how long the caller still waits; zero if not given.
	Timeout time.Duration
	// Waited is the time from the arrival of the request to its submission. The job's
	// objective counts from the arrival.
	Waited time.Duration
}

// Status is the state of a job as reported to callers.
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

// String returns the name of the status as written to logs.
func (s Status) String() string { return statusNames[s] }

// CancelResult is the reply to a caller that has canceled a job.
type CancelResult uint8

// Results.
const (
	// CancelUnconfirmed means that another entry, which has not replied, may run the job.
	CancelUnconfirmed CancelResult = iota
	// CancelDone means that the job's tasks are stopped and none is started.
	CancelDone
	// CancelNoSuchJob means that no entry has the job. A submission that arrives later is
	// answered as canceled.
	CancelNoSuchJob
)

var cancelResultNames = [...]string{"unconfirmed", "canceled", "no_such_job"}

// String returns the name of the result as written to logs.
func (r CancelResult) String() string { return cancelResultNames[r] }

// JobElsewhere is a job that is open at another entry.
type JobElsewhere struct{ Job, Entry string }

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// SubmitCalled submits a job of a caller that is connected. Answered or Refused follows,
	// unless CallClosed comes first.
	SubmitCalled struct {
		Call CallID
		Job  Job
		// LastReceived is how long ago the last byte of the submission has arrived; zero if that is
		// not known.
		LastReceived time.Duration
	}
	// CallClosed reports that the caller closed its request before the answer.
	CallClosed struct{ Call CallID }
	// CallersChecked is the reply to CheckCallers: which of the callers are connected now, and
	// which have closed or reset their connections.
	CallersChecked struct{ Connected, Left []CallID }
	// CallersAcknowledged reports on callers of earlier ProbeCallers: whose side of the connection
	// has acknowledged the probe, and which have closed or reset their connections. In reply to
	// CheckProbes it also has the callers of which neither is known.
	CallersAcknowledged struct{ Calls, Left, Silent []CallID }
	// PeerJobs are jobs that are open at another entry. PeerJobsCompared follows.
	PeerJobs struct {
		From string
		Jobs []session.OpenJob
	}
	// PeersAsked is the reply to AskPeers, or the result of an announcement: jobs of which other entries
	// have newer submissions.
	PeersAsked struct {
		Jobs  []session.OpenJob // of AskPeers
		Newer []JobElsewhere
	}
	// CancelCalled cancels a job; NotifyPeers and CancelReplied follow.
	CancelCalled struct {
		Call  CallID
		Queue string
		Name  string
	}
	// PeersNotified reports how NotifyPeers went: whether another entry had the job, and how many
	// have not replied in time.
	PeersNotified struct {
		Call   CallID
		Known  bool
		Missed int
	}
	// CancelsLearned are jobs that were canceled at other entries, by a message from one of
	// them. CancelsRecorded follows.
	CancelsLearned struct {
		From    string
		Cancels []session.Cancel
		// All means that another entry has listed all that it knows, or that none replies.
		All bool
	}
	// SessionOpened reports that a session was opened. This entry's placements of
	// earlier sessions with the same agent have ended.
	SessionOpened struct {
		ID    SessionID
		Agent string // its name
		Zone  string
		State session.State
		AsOf  time.Time // the state is not older than that; zero means now
		// Cancels are the jobs that the agent knows to be canceled.
		Cancels []session.Cancel
	}
	// SessionEnded reports that a session has ended. LastHeard is when the last
	// message of its agent arrived.
	SessionEnded struct {
		ID        SessionID
		LastHeard time.Time
		Reason    string
	}
	// SessionRetired reports that a session is no longer wanted. If none of its
	// tasks is left, the session is given up and CloseSession follows.
	SessionRetired struct{ ID SessionID }
	// OrderReplied is the reply to the order with the given number.
	OrderReplied struct {
		ID      SessionID
		Number  uint64
		State   session.State
		AsOf    time.Time // as in SessionOpened
		Cancels int       // number of Order.Cancels that the agent has taken
	}
	// PollReplied is the reply to a poll.
	PollReplied struct {
		ID    SessionID
		Reply session.PollReply
		AsOf  time.Time // as in SessionOpened
	}
	// EvacuationChanged reports the availability zones in which no task may be started.
	// ExpectedRemaining is when the first of them is expected back; zero if unknown.
	EvacuationChanged struct {
		Zones             []string // sorted
		ExpectedRemaining time.Duration
	}
	// LeaveRequested starts a graceful shutdown. Jobs are admitted only if they
	// are expected to end before Until. Those still open then are abandoned, and
	// answered within verdictTimeout.
	LeaveRequested struct{ Until time.Time }
	// Ticked reports only that time has passed, see NextWake.
	Ticked struct{}
)

// Effect is an output of the state machine.
type Effect interface{ isEffect() }

// Effects.
type (
	// Order is sent to an agent to start and stop tasks. OrderReplied follows
	// unless the session ends.
	Order struct {
		ID     SessionID
		Number uint64
		Start  []session.JobPart
		Stop   []uint64 // ids of placements
		Recall []uint64 // ids of placements to return if they have not been started
		// Cancels are jobs of which the agent has to stop all tasks and to start none.
		Cancels []session.Cancel
		// EchoBefore is set if the agents have to count from a time that has passed: the order echoes the
		// newest clock reading that was received before it.
		EchoBefore time.Time
	}
	// CheckCallers asks whether callers are still connected. CallersChecked follows at once; until
	// then no task of their jobs is placed.
	CheckCallers struct{ Calls []CallID }
	// ProbeCallers asks for signs of callers, which only their side of the connection can give.
	// CallersAcknowledged follows, unless a caller gives none.
	ProbeCallers struct{ Calls []CallID }
	// CheckProbes asks for what is known of probed callers now. CallersAcknowledged follows at once.
	CheckProbes struct{ Calls []CallID }
	// AskPeers asks whether other entries have newer submissions of jobs, and has them stop older ones;
	// only the one at Entry if that is set. PeersAsked follows within PeerJobsTimeout.
	AskPeers struct {
		Jobs  []session.OpenJob
		Entry string
	}
	// PeerJobsCompared is the reply to PeerJobs.
	PeerJobsCompared struct{ States []session.JobState }
	// CloseSession closes a session that has no tasks.
	CloseSession struct{ ID SessionID }
	// Answered is the final answer of a job: Completed, Failed or Canceled.
	Answered struct {
		Call   CallID
		Status Status
	}
	// Refused is the final answer of a job without a result. The error's verdict
	// says whether a task of the job may have run. Tasks that still run are being
	// stopped, or end with their agent's session.
	Refused struct {
		Call  CallID
		Error *structs.Error
	}
	// NotifyPeers has all other entries notified that a job was canceled. PeersNotified follows
	// within PeerCancelTimeout.
	NotifyPeers struct {
		Call   CallID
		Cancel session.Cancel
	}
	// CancelReplied is the reply to CancelCalled.
	CancelReplied struct {
		Call   CallID
		Result CancelResult
	}
	// CancelsRecorded is the reply to CancelsLearned. Known reports for each of the jobs
	// whether this entry had it, open or answered.
	CancelsRecorded struct{ Known []bool }
	// LogEvent is one line of the log.
	LogEvent struct {
		Event   string
		Job     string
		Queue   string
		Agent   string
		Verdict *structs.Verdict
		Detail  string
	}
	// CancelMetrics is counted in the metrics: cancels received from callers and learned
	// from other processes, entries that did not reply to one, cancels without a final
	// answer, and submissions of canceled jobs.
	CancelMetrics struct{ Received, Learned, EntriesMissed, Unconfirmed, Submitted int }
	// CallerMetrics is counted in the metrics: probes of callers, callers that were given up
	// because they did not acknowledge one, and those of jobs with a newer submission elsewhere.
	CallerMetrics struct{ Probed, Silent, Replaced int }
	// CrashMetrics is counted in the metrics: crashes of servers that were reported,
	// tasks given up because of them, and queues confined.
	CrashMetrics struct{ Servers, TasksGivenUp, QueuesConfined int }
	// PlanMetrics is counted in the metrics: one per admitted job.
	PlanMetrics struct {
		Queue     string
		Uncertain bool // a task is not sure enough to end within the job's objective
	}
	// PlaceMetrics is counted in the metrics: tasks placed at the place of their job, away
	// from it, and recalled from its queue.
	PlaceMetrics struct{ Kept, Away, GivenUp int }
	// PlacementMetrics is counted in the metrics with Scheduling.Spread: tasks placed, those
	// of them in other availability zones, and tasks that an agent has not started.
	PlacementMetrics struct{ Placed, OtherZone, Returned int }
	// RetryMetrics is counted in the metrics: tasks that were lost or not started, and not
	// placed again because too many had been.
	RetryMetrics struct{ Denied int }
	// ShareMetrics is counted in the metrics, if Scheduling.Shares is set: jobs that were
	// admitted because they were owed capacity, or refused because of their share.
	ShareMetrics struct {
		Queue   string
		Outcome string // owed if admitted; exceeds, late, displaces or full if refused
	}
	// JobMetrics is counted in the metrics: one per answered job, and one per
	// refused call.
	JobMetrics struct {
		Queue  string
		Status Status // zero if refused
		Took   time.Duration
		Late   bool // the job missed its objective; not set if refused
	}
)

func (SubmitCalled) isEvent()        {}
func (CallClosed) isEvent()          {}
func (CallersChecked) isEvent()      {}
func (CallersAcknowledged) isEvent() {}
func (PeerJobs) isEvent()            {}
func (PeersAsked) isEvent()          {}
func (CancelCalled) isEvent()        {}
func (PeersNotified) isEvent()       {}
func (CancelsLearned) isEvent()      {}
func (SessionOpened) isEvent()       {}
func (SessionEnded) isEvent()        {}
func (SessionRetired) isEvent()      {}
func (OrderReplied) isEvent()        {}
func (PollReplied) isEvent()         {}
func (LeaveRequested) isEvent()      {}
func (EvacuationChanged) isEvent()   {}
func (Ticked) isEvent()              {}

func (Order) isEffect()            {}
func (CheckCallers) isEffect()     {}
func (AskPeers) isEffect()         {}
func (PeerJobsCompared) isEffect() {}
func (CheckProbes) isEffect()      {}
func (ProbeCallers) isEffect()     {}
func (CallerMetrics) isEffect()    {}
func (CloseSession) isEffect()     {}
func (Answered) isEffect()         {}
func (Refused) isEffect()          {}
func (NotifyPeers) isEffect()      {}
func (CancelReplied) isEffect()    {}
func (CancelsRecorded) isEffect()  {}
func (CancelMetrics) isEffect()    {}
func (LogEvent) isEffect()         {}
func (JobMetrics) isEffect()       {}
func (CrashMetrics) isEffect()     {}
func (PlacementMetrics) isEffect() {}
func (RetryMetrics) isEffect()     {}
func (PlaceMetrics) isEffect()     {}
func (ShareMetrics) isEffect()     {}
func (PlanMetrics) isEffect()      {}
