package taskrunner

import (
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

// openSession returns the session with the ID, or nil if it is not open.
func (m *Runner) openSession(id uint64) *entrySession {
	if s := m.sessions[id]; s != nil && s.open {
		return s
	}
	return nil
}

// order carries out the stops and then the starts of an Agent.Order.
func (m *Runner) order(e OrderCalled) {
	s := m.openSession(e.Session)
	if s == nil {
		m.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.recordMessage(m, e.Request.Echo)
	s.recordEvacuation(e.Request.Evacuation)
	m.updateEvacuation(e.Request.Evacuation, s.name)
	m.cancelJobs(s, e.Request.Cancels)
	for _, id := range e.Request.Stop {
		m.stopPlacement(s, id, e.Request.Echo)
	}
	m.recall(s, e.Request.Recall)
	for i := range e.Request.Start {
		m.admit(s, &e.Request.Start[i])
	}
	m.expireQueued()
	m.startQueued()
	m.emit(ReplyOrder{Call: e.Call, Reply: session.OrderReply{State: m.state(s), Cancels: len(e.Request.Cancels)}})
}

// stopPlacement stops the run of a placement, or keeps a later start from running. The order
// to do so has echoed the given clock reading.
func (m *Runner) stopPlacement(s *entrySession, id uint64, echo session.ClockReading) {
	for _, r := range m.runs {
		if r.session == s && r.id == id {
			m.stop(r, session.Stopped, "stopped by the entry")
			r.stopOrdered(echo)
			return
		}
	}
	s.canceled[id] = true
	if len(s.canceled) > maxCanceled {
		maps.DeleteFunc(s.canceled, func(old uint64, _ bool) bool { return old+maxCanceled/2 < id })
	}
}

// admit adds the tasks to the queue, or refuses them at once.
func (m *Runner) admit(s *entrySession, part *session.JobPart) {
	for _, p := range part.Tasks {
		r := &run{
			key: RunKey{TaskKey: TaskKey{Job: part.Job, Index: p.Index}, Number: max(p.Attempt, 1)},
			id:  p.ID, session: s, queue: part.Queue, spec: part.Spec, cpu: part.CPU, mem: part.MemMB, gpu: part.GPU,
			needs:    requirements{service: part.Service, label: part.RequiredLabel, maxPerServer: part.MaxPerServer},
			estimate: part.Estimate, configVersion: part.ConfigVersion, startBy: m.now.Add(part.StartWithin), rank: shares.Rank(part.Priority),
		}
		if reason := m.refusalReason(s, r); reason != "" {
			m.finish(r, session.NotStarted, reason)
			continue
		}
		m.runs[r.key.TaskKey] = r
		m.enqueue(r)
		m.countAdmitted(s, r)
	}
}

// refusalReason returns why a task must not be queued, or an empty string if it may
// be.
func (m *Runner) refusalReason(s *entrySession, r *run) string {
	switch {
	case s.canceled[r.id]:
		delete(s.canceled, r.id)
		return "stopped by the entry"
	case m.canceled(r):
		return reasonCanceled
	case m.leaving:
		return "agent is leaving"
	case m.server.ID == "":
		return "no backend server has registered"
	case m.server.Draining:
		return "the backend server is draining"
	case m.zoneEvacuated():
		return reasonEvacuated
	case !m.active():
		return "the backend server is not ready"
	case !s.fresh(m):
		return "the echoed clock reading is too old"
	case m.runs[r.key.TaskKey] != nil:
		return "an earlier run of the task has not ended"
	case r.needs.maxPerServer > 0 && m.tasksOf(r, isAny) >= r.needs.maxPerServer:
		return overMaxPerServer(r)
	}
	if reason := m.unsuitable(r); reason != "" {
		return reason
	}
	switch {
	case !m.startsInTime(r):
		return "no free capacity before the latest start time"
	}
	return ""
}

// startsInTime predicts whether a task added to the queue would start by its latest
// start time, and leave those of lower ranks theirs.
func (m *Runner) startsInTime(r *run) bool {
	if m.health.suspect && len(m.runs) > 0 {
		return false
	}
	return shares.Admits(m.waiting(), m.asWaiting(r), m.timeline)
}

// enqueue inserts a run into the queue, which is ordered by latest start time.
func (m *Runner) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(m.queue, r, func(a, b *run) int { return a.startBy.Compare(b.startBy) })
	m.queue = slices.Insert(m.queue, i, r)
}
