// Package containment judges by the crashes of backend servers which tasks and which
// queues cause them. It says when a task has to be given up, and on how many servers
// the tasks of a queue may run.
//
// A Tracker is a state machine: Step applies an event and returns the changes. All
// evidence comes from the reports of agents, which name the tasks that a server had
// started when it crashed. So it covers the tasks of other entries, and of earlier
// submissions of a job.
package containment

import "time"

// Task identifies a task by the name of its job and its index in the job.
type Task struct {
	Job   string
	Index int
}

// Loss is a task that a server had started when it crashed.
type Loss struct {
	Task
	Queue string
	Ran   time.Duration // from its start to the crash
	// Started is set if the server has acknowledged the start.
	Started bool
}

// Rate is how many tasks of a queue a server starts per second.
type Rate struct {
	Queue     string
	PerSecond float64
}

// Event is an input of a Tracker.
type Event interface{ isEvent() }

// Events.
type (
	// ServerCrashed is an agent's report on a crash of its server. Reports that have
	// been processed already are ignored.
	ServerCrashed struct {
		Agent       string
		Service     string
		Servers     int   // of the service that the entry knows, running or not
		Incarnation int64 // of the server that crashed; higher for later ones
		At          time.Time
		Losses      []Loss
		Rates       []Rate // before the crash
	}
	// JobAdmitted reports that the tasks of a job were placed.
	JobAdmitted struct {
		Queue   string
		Service string
		Work    float64 // expected, in core-seconds
	}
	// JobCompleted reports that a job of the queue has ended well.
	JobCompleted struct{ Queue string }
	// Ticked reports only that time has passed.
	Ticked struct{}
)

func (ServerCrashed) isEvent() {}
func (JobAdmitted) isEvent()   {}
func (JobCompleted) isEvent()  {}
func (Ticked) isEvent()        {}

// Change is a change of the servers on which the tasks of a queue may run.
type Change struct {
	Queue string
	// Kind says what has changed.
	Kind ChangeKind
	// Share is the share of the servers on which the tasks of the queue may run now.
	Share  float64
	Reason string // for logs
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of a Change.
const (
	Confined ChangeKind = iota // to fewer servers than before
	Widened                    // to more servers than before
	Released                   // to all servers
)

// String returns the kind as written to logs.
func (k ChangeKind) String() string { return [...]string{"confined", "widened", "released"}[k] }

const (
	// youngAge is the time from its start within which a task is most likely to crash
	// its server, if it does.
	youngAge = 20 * time.Millisecond
	// maxAgents bounds the agents whose last crash is remembered.
	maxAgents = 10_000
)

// Tracker is the evidence that an entry has. It is not safe for concurrent use.
type Tracker struct {
	now      time.Time
	reported map[string]int64 // last incarnation whose crash was processed, by agent
	tasks    map[Task]*taskRecord
	expiry   []taskExpiry // oldest first
	queues   map[string]*queueRecord
	demands  map[string]*demand // by service
	// lastScored is the last crash that counted as evidence against queues.
	lastScored time.Time
	changes    []Change
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{reported: make(map[string]int64), tasks: make(map[Task]*taskRecord), queues: make(map[string]*queueRecord), demands: make(map[string]*demand)}
}

// Step applies an event and returns what has changed for queues.
func (t *Tracker) Step(now time.Time, ev Event) []Change {
	t.now = now
	t.changes = nil
	t.expireTasks()
	t.releaseQueues()
	switch e := ev.(type) {
	case ServerCrashed:
		if t.isNew(e) {
			t.recordLosses(e.Losses)
			t.weighQueues(e)
		}
	case JobAdmitted:
		t.recordDemand(e)
	case JobCompleted:
		t.recordSuccess(e.Queue)
	}
	return t.changes
}

// Knows reports whether a crash of an incarnation of an agent's server, or of a later
// one, was processed.
func (t *Tracker) Knows(agent string, incarnation int64) bool {
	return incarnation <= t.reported[agent]
}

// isNew records the report of a crash, and reports whether it is the first of this
// crash.
func (t *Tracker) isNew(e ServerCrashed) bool {
	if t.Knows(e.Agent, e.Incarnation) {
		return false
	}
	if len(t.reported) >= maxAgents {
		clear(t.reported)
	}
	t.reported[e.Agent] = e.Incarnation
	return true
}
