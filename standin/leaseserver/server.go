// Package leaseserver is a stand-in of a backend server whose tasks run under a
// lease, as the users' platform has them. Server is the pure machine, on a clock
// that its user moves; handler.go serves it over HTTP.
package leaseserver

import (
	"slices"
	"time"
)

// TaskRun is a run of a task by its name on the wire.
type TaskRun struct {
	Name   string
	Number int
}

// Behavior is what a task needs.
type Behavior struct {
	Duration time.Duration
	Fails    bool
	Hangs    bool // makes no progress
}

// RunningTask is a task at work.
type RunningTask struct {
	TaskRun
	Started  time.Duration // on the server's clock
	Behavior Behavior
}

// Percent returns the progress at a clock reading.
func (r RunningTask) Percent(clock time.Duration) int {
	if r.Behavior.Hangs || r.Behavior.Duration <= 0 {
		return 0
	}
	return min(int(100*(clock-r.Started)/r.Behavior.Duration), 99)
}

// EndedTask is a task that has ended; N counts from 1.
type EndedTask struct {
	Index int64
	TaskRun
	Outcome string // done, failed, stopped or lapsed
}

// Reasons for which a start is refused.
const (
	ReasonFenced     = "fence"
	ReasonNumberUsed = "old"
	ReasonExpired    = "late"
)

// leaseMax is the longest lease that is granted.
const leaseMax = time.Second

// Server is the state of one run of a backend server. It is not safe for
// concurrent use.
type Server struct {
	Incarnation int64
	clock       time.Duration
	token       int64
	until       time.Duration // end of the lease
	running     []RunningTask
	ends        []EndedTask
	lastEnd     int64
	blocked     map[string]int // highest run that ended or was stopped, by name
	OnStart     func(TaskRun)
	OnEnd       func(TaskRun, string)
	Accepted    int // starts
}

// New returns a server that runs nothing, with its clock at the reading.
func New(born int64, clock time.Duration) *Server {
	return &Server{Incarnation: born, clock: clock, blocked: make(map[string]int)}
}

// Clock returns the reading of the server's clock.
func (s *Server) Clock() time.Duration { return s.clock }

// Running returns what is at work.
func (s *Server) Running() []RunningTask { return slices.Clone(s.running) }

// Advance moves the clock to a reading, and ends what ends on the way.
func (s *Server) Advance(to time.Duration) {
	for {
		at, i := s.nextEnd()
		if i < 0 || at > to {
			break
		}
		s.clock = max(s.clock, at)
		s.endAt(i)
	}
	s.clock = max(s.clock, to)
}

// nextEnd returns when a task ends by itself, and which; -1 if none does.
func (s *Server) nextEnd() (time.Duration, int) {
	best, which := time.Duration(0), -1
	for i, r := range s.running {
		at := s.until
		if end := r.Started + r.Behavior.Duration; !r.Behavior.Hangs && end <= s.until {
			at = end
		}
		if which < 0 || at < best {
			best, which = at, i
		}
	}
	return best, which
}

func (s *Server) endAt(i int) {
	r := s.running[i]
	how := "lapsed"
	if !r.Behavior.Hangs && r.Started+r.Behavior.Duration <= s.until {
		how = "done"
		if r.Behavior.Fails {
			how = "failed"
		}
	}
	s.end(i, how)
}

func (s *Server) end(i int, how string) {
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.lastEnd++
	s.ends = append(s.ends, EndedTask{Index: s.lastEnd, TaskRun: r.TaskRun, Outcome: how})
	s.blocked[r.Name] = max(s.blocked[r.Name], r.Number)
	if s.OnEnd != nil {
		s.OnEnd(r.TaskRun, how)
	}
}

// fenced takes in a token and reports whether a higher one was seen.
func (s *Server) fenced(token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

func (s *Server) renew(until time.Duration) {
	s.until = max(s.until, min(until, s.clock+leaseMax))
}

// Start begins a task and returns why not, or nothing.
func (s *Server) Start(t TaskRun, w Behavior, until time.Duration, token int64) string {
	if s.fenced(token) {
		return ReasonFenced
	}
	for _, r := range s.running {
		if r.TaskRun == t {
			return ""
		}
	}
	if t.Number <= s.blocked[t.Name] {
		s.renew(until)
		return ReasonNumberUsed
	}
	if until <= s.clock {
		return ReasonExpired
	}
	s.renew(until)
	s.running = append(s.running, RunningTask{TaskRun: t, Started: s.clock, Behavior: w})
	s.Accepted++
	if s.OnStart != nil {
		s.OnStart(t)
	}
	return ""
}

// Stop ends a task, or keeps the run from starting. It reports false if the
// token is too low.
func (s *Server) Stop(t TaskRun, token int64) bool {
	if s.fenced(token) {
		return false
	}
	s.blocked[t.Name] = max(s.blocked[t.Name], t.Number)
	for i, r := range s.running {
		if r.TaskRun == t {
			s.end(i, "stopped")
			return true
		}
	}
	return true
}

// RenewLease renews the lease, forgets ends and returns those left. It reports false
// if the token is too low.
func (s *Server) RenewLease(until time.Duration, token, seen int64) ([]EndedTask, bool) {
	if s.fenced(token) {
		return nil, false
	}
	s.ends = slices.DeleteFunc(s.ends, func(e EndedTask) bool { return e.Index <= seen })
	if until > s.clock {
		s.renew(until)
	}
	return slices.Clone(s.ends), true
}
