package taskrunner

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// pendingPoll is a call of Agent.Poll whose reply has not been sent.
type pendingPoll struct {
	call  CallID
	due   time.Time // when the reply is sent even without reports
	since time.Time // when the call arrived
}

// poll removes the reports that the entry has acknowledged and keeps the call until
// answerPolls replies.
func (m *Runner) poll(e PollCalled) {
	s := m.openSession(e.Session)
	if s == nil {
		m.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.recordMessage(m, e.Request.Echo)
	m.topic.viewsChanged = m.topic.viewsChanged || s.topicUnheard != e.Request.TopicUnheard
	s.topicUnheard = e.Request.TopicUnheard
	s.recordEvacuation(e.Request.Evacuation)
	m.updateEvacuation(e.Request.Evacuation, s.name)
	s.reports = slices.DeleteFunc(s.reports, func(r session.Report) bool { return r.Seq <= e.Request.Seen })
	s.poll = &pendingPoll{call: e.Call, due: m.now.Add(m.pollWait(s)), since: m.now}
}

// pollWait returns how long a poll that has just arrived waits for reports. The time since
// the last reply is taken off, so that an entry that handles its messages late polls with the
// same period, and its next echo is not older for the wait.
func (m *Runner) pollWait(s *entrySession) time.Duration {
	return max(m.opts.PollWait-m.now.Sub(s.answeredAt), min(minPollWait, m.opts.PollWait))
}

// answerPolls replies to the polls whose session has reports, or whose wait is over.
func (m *Runner) answerPolls() {
	for _, s := range m.sortedSessions {
		if s.poll == nil || len(s.reports) == 0 && m.now.Before(s.poll.due) {
			continue
		}
		reply := session.PollReply{
			Reports: slices.Clone(s.reports), State: m.state(s), Evacuation: m.unsentEvacuation(s), Cancels: m.unsentCancels(s),
			Held: max(m.now.Sub(s.poll.since), time.Nanosecond),
		}
		m.emit(ReplyPoll{Call: s.poll.call, Reply: reply})
		s.poll = nil
		s.answered(m, reply.State.Stamp)
	}
}

// wakePolls makes all pending polls due, so that entries receive a changed state at
// once.
func (m *Runner) wakePolls() {
	for _, s := range m.sessions {
		if s.poll != nil {
			s.poll.due = m.now
		}
	}
}

func (m *Runner) hasUnseenReports() bool {
	for _, s := range m.sessions {
		if len(s.reports) > 0 {
			return true
		}
	}
	return false
}

// state returns the agent's state for a reply to an entry.
func (m *Runner) state(s *entrySession) session.State {
	m.stateSeq++
	st := session.State{
		Seq:      m.stateSeq,
		Stamp:    session.ClockReading{Run: m.clockIncarnation, Clock: m.clock},
		Ready:    m.active(),
		FreeCPU:  m.freeCPU(),
		FreeMem:  m.server.MemMB - m.used.mem,
		Slowness: m.health.slownessPerMille(),
		Samples:  m.health.samples,
		ColdMs:   int(m.warmUp.remaining(m.now).Milliseconds()),
		Failing:  m.health.failingPerMille(),
		Broken:   m.health.brokenPerMille(),
		Laggards: m.stragglers(s),
	}
	if !s.identitySent || s.sentProperties != m.properties {
		s.identitySent, s.sentProperties = true, m.properties
		st.Identity = &session.Identity{Service: m.server.Service, Server: m.server.ID, Labels: m.server.Labels, Rack: m.server.Rack, Capacity: m.server.CPU, MemMB: m.server.MemMB, GPU: m.server.GPU}
	}
	st.OthersCPU = m.othersCPU(s)
	st.Crashes = m.unsentCrashes(s)
	st.RunTimes = m.unsentRunTimes(s)
	st.Running = m.runningTasks()
	for _, r := range m.queue {
		st.Queue = append(st.Queue, session.QueuedTask{
			ID: r.idFor(s), CPU: r.cpu, Ms: int(m.expectedRunTime(r).Milliseconds()), StartWithin: int(r.startBy.Sub(m.now).Milliseconds()), Priority: int(r.rank),
		})
	}
	return st
}
