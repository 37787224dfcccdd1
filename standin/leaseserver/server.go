// Package leaseserver is a stand-in for a backend server of the users' platform,
// whose tasks run under a lease. Server is a state machine whose clock is advanced
// by its user. HTTPServer serves it over HTTP in real time.
package leaseserver

import (
	"slices"
	"time"
)

// TaskRun identifies a run of a task. Name is the task's name on the wire.
type TaskRun struct {
	Name   string
	Number int
}

// Behavior is how a task behaves when it runs.
type Behavior struct {
	Duration time.Duration
	Fails    bool
	Hangs    bool // makes no progress and never ends by itself
	Crashes  bool // crashes the server after Duration
	CPU      int  // thousandths of a core that it needs; the server does not limit it
}

// RunningTask is a task that is running.
type RunningTask struct {
	TaskRun
	Started  time.Duration // on the server's clock
	Behavior Behavior
}

// Percent returns the progress at a reading of the server's clock.
func (r RunningTask) Percent(clock time.Duration) int {
	if r.Behavior.Hangs || r.Behavior.Duration <= 0 {
		return 0
	}
	return min(int(100*(clock-r.Started)/r.Behavior.Duration), 99)
}

// EndedTask is a task that has ended. Index numbers the ended tasks from 1.
type EndedTask struct {
	Index int64
	TaskRun
	Outcome string // done, failed, stopped, lapsed (the lease expired) or crashed
}

// Reasons for refusing a start.
const (
	ReasonFenced     = "fence" // a higher fencing token has been seen
	ReasonNumberUsed = "old"   // the run, or a later one of the task, has ended or was stopped
	ReasonExpired    = "late"  // the lease has already expired
)

// maxLease is the longest lease that is granted.
const maxLease = time.Second

// Server is the state of one incarnation of a backend server. It is not safe for
// concurrent use.
type Server struct {
	Incarnation int64
	clock       time.Duration // current reading
	token       int64         // highest fencing token seen
	leaseEnd    time.Duration // end of the lease of all tasks
	running     []RunningTask
	ended       []EndedTask
	lastIndex   int64
	endedRuns   map[string]int        // highest number of a run that has ended or was stopped, by task name
	OnStart     func(TaskRun)         // called when a task starts; may be nil
	OnRunning   func(RunningTask)     // called after OnStart with all that is known of the task; may be nil
	OnEnd       func(TaskRun, string) // called with the outcome when a task ends; may be nil
	Accepted    int                   // number of tasks started
	Crashed     bool                  // a task has crashed the server, which does nothing any more
}

// New returns a server without tasks whose clock shows the given reading.
func New(incarnation int64, clock time.Duration) *Server {
	return &Server{Incarnation: incarnation, clock: clock, endedRuns: make(map[string]int)}
}

// Clock returns the reading of the server's clock.
func (s *Server) Clock() time.Duration { return s.clock }

// Running returns the running tasks.
func (s *Server) Running() []RunningTask { return slices.Clone(s.running) }

// Advance advances the clock to a reading and ends the tasks that end until then.
func (s *Server) Advance(to time.Duration) {
	for !s.Crashed {
		at, i := s.nextEnd()
		if i < 0 || at > to {
			break
		}
		s.clock = max(s.clock, at)
		s.endDue(i)
	}
	s.clock = max(s.clock, to)
}

// nextEnd returns when the next task ends without being stopped, and its position
// in s.running; -1 if no task is running.
func (s *Server) nextEnd() (time.Duration, int) {
	earliest, position := time.Duration(0), -1
	for i, r := range s.running {
		at := s.leaseEnd
		if end := r.Started + r.Behavior.Duration; !r.Behavior.Hangs && end <= s.leaseEnd {
			at = end
		}
		if position < 0 || at < earliest {
			earliest, position = at, i
		}
	}
	return earliest, position
}

// endDue ends a running task whose run time or lease is over.
func (s *Server) endDue(i int) {
	r := s.running[i]
	outcome := "lapsed"
	if !r.Behavior.Hangs && r.Started+r.Behavior.Duration <= s.leaseEnd {
		if r.Behavior.Crashes {
			s.crash()
			return
		}
		outcome = "done"
		if r.Behavior.Fails {
			outcome = "failed"
		}
	}
	s.endTask(i, outcome)
}

// endsByItself reports whether a task ends with this outcome without a call or a crash.
func endsByItself(outcome string) bool {
	return outcome == "done" || outcome == "failed" || outcome == "lapsed"
}

// crash ends all tasks.
func (s *Server) crash() {
	s.Crashed = true
	for len(s.running) > 0 {
		s.endTask(0, "crashed")
	}
}

func (s *Server) endTask(i int, outcome string) {
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.lastIndex++
	s.ended = append(s.ended, EndedTask{Index: s.lastIndex, TaskRun: r.TaskRun, Outcome: outcome})
	s.endedRuns[r.Name] = max(s.endedRuns[r.Name], r.Number)
	if s.OnEnd != nil {
		s.OnEnd(r.TaskRun, outcome)
	}
}

// fenced records a fencing token and reports whether a higher one has been seen.
func (s *Server) fenced(token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

// extendLease moves the end of the lease to until, but not beyond maxLease from now
// and never back.
func (s *Server) extendLease(until time.Duration) {
	s.leaseEnd = max(s.leaseEnd, min(until, s.clock+maxLease))
}

// Start starts a task run. It returns the reason if it refuses, or "". A run that is
// already running is not started again.
func (s *Server) Start(t TaskRun, b Behavior, until time.Duration, token int64) string {
	if s.fenced(token) {
		return ReasonFenced
	}
	for _, r := range s.running {
		if r.TaskRun == t {
			return ""
		}
	}
	if t.Number <= s.endedRuns[t.Name] {
		s.extendLease(until)
		return ReasonNumberUsed
	}
	if until <= s.clock {
		return ReasonExpired
	}
	s.extendLease(until)
	run := RunningTask{TaskRun: t, Started: s.clock, Behavior: b}
	s.running = append(s.running, run)
	s.Accepted++
	if s.OnStart != nil {
		s.OnStart(run.TaskRun)
	}
	if s.OnRunning != nil {
		s.OnRunning(run)
	}
	return ""
}

// Stop ends a task run. If it has not started, later starts of it are refused. Stop
// reports false if a higher fencing token has been seen.
func (s *Server) Stop(t TaskRun, token int64) bool {
	if s.fenced(token) {
		return false
	}
	s.endedRuns[t.Name] = max(s.endedRuns[t.Name], t.Number)
	for i, r := range s.running {
		if r.TaskRun == t {
			s.endTask(i, "stopped")
			return true
		}
	}
	return true
}

// RenewLease renews the lease, discards the ended tasks up to ackIndex and returns
// the remaining ones. It reports false if a higher fencing token has been seen.
func (s *Server) RenewLease(until time.Duration, token, ackIndex int64) ([]EndedTask, bool) {
	if s.fenced(token) {
		return nil, false
	}
	s.ended = slices.DeleteFunc(s.ended, func(e EndedTask) bool { return e.Index <= ackIndex })
	if until > s.clock {
		s.extendLease(until)
	}
	return slices.Clone(s.ended), true
}
