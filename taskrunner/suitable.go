package taskrunner

import (
	"fmt"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// requirements are what a task needs of the server that starts it, besides its size.
type requirements struct {
	service      string
	label        string // that the server must have; empty if none
	maxPerServer int    // bounds the tasks of the job on one server; zero means no limit
}

// unsuitable returns why the current server must not start the task, whatever capacity is
// free, or an empty string if it may.
func (m *Runner) unsuitable(r *run) string {
	switch {
	case r.needs.service != m.server.Service:
		return fmt.Sprintf("the backend server belongs to another service: the task needs %q, server %s is of %q", r.needs.service, m.server.ID, m.server.Service)
	case !m.server.holds(r):
		return "the task exceeds the capacity of the backend server"
	case r.needs.label != "" && !slices.Contains(m.server.Labels, r.needs.label):
		return fmt.Sprintf("the backend server lacks a label: the task needs %q, server %s has %q", r.needs.label, m.server.ID, m.server.Labels)
	case r.needs.maxPerServer > 0 && m.tasksOf(r, isStarted) >= r.needs.maxPerServer:
		return overMaxPerServer(r)
	}
	return ""
}

func overMaxPerServer(r *run) string {
	return fmt.Sprintf("the backend server has %d tasks of the job, as many as it may have", r.needs.maxPerServer)
}

// tasksOf counts the other tasks of the job that are here and that the filter selects.
func (m *Runner) tasksOf(r *run, selects func(*run) bool) int {
	n := 0
	for _, other := range m.runs {
		if other != r && other.key.Job == r.key.Job && selects(other) {
			n++
		}
	}
	return n
}

func isStarted(r *run) bool { return r.phase != queued }
func isAny(*run) bool       { return true }

// returnUnsuitable refuses the queued tasks that the server must not start. It is called
// whenever the properties of the server may have changed.
func (m *Runner) returnUnsuitable() {
	for _, r := range slices.Clone(m.queue) {
		if reason := m.unsuitable(r); reason != "" {
			m.finish(r, session.NotStarted, reason)
		}
	}
}

// mayBeReplaced reports whether the task needs a label that the server may not have any
// more. Another incarnation, with other labels and the same ID, accepts a start before the
// agent learns of it. So the server has to be known to have run within the last two lease
// renewals, counted from when they were sent, because the agent may have been suspended
// before it received the replies. That is shorter than any server takes to start again.
func (m *Runner) mayBeReplaced(r *run) bool {
	if r.needs.label == "" {
		return false
	}
	return !m.failingSince.IsZero() || m.now.Sub(m.confirmedAt) > 2*m.opts.RenewalWait+renewalRetransmitAfter
}

// notAgain returns why a start must not be sent another time, or an empty string if it may
// be: the server may have been replaced since the last time.
func (m *Runner) notAgain(r *run) string {
	if m.server.Incarnation != m.clockIncarnation {
		return "the backend server was replaced"
	}
	if m.awaitsVerification() {
		return "the backend server may have been replaced"
	}
	if m.mayBeReplaced(r) {
		return "the backend server does not answer"
	}
	return m.unsuitable(r)
}

// sameProperties reports whether another state of the server has the same properties, as
// far as they are sent to entries: most heartbeats leave them unchanged.
func (s *ServerInfo) sameProperties(o *ServerInfo) bool {
	return s.Incarnation == o.Incarnation && s.ID == o.ID && s.Service == o.Service && s.capacity() == o.capacity() &&
		s.Rack == o.Rack && slices.Equal(s.Labels, o.Labels)
}
