package taskrunner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// entrySession is the session of an entry.
type entrySession struct {
	id            uint64
	entry         structs.Incarnation
	name          string
	open          bool                 // the reply to Hello has been sent
	hello         *HelloCalled         // awaiting its reply; nil once it has been sent
	echoed        session.ClockReading // newest echoed clock reading
	lastHeard     time.Time            // when the last message was handled, or sent at the earliest
	reports       []session.Report     // not acknowledged by the entry yet
	lastReportSeq uint64
	poll          *pendingPoll
	answeredAt    time.Time // when the last reply to Hello or to a poll was sent
	// stamp is the clock reading in that reply, stampedAt when it was first sent.
	stamp     session.ClockReading
	stampedAt time.Time
	// topicUnheard is for how long the entry has not heard the operators' topic, by its last
	// message; zero if it hears it. evacuationKnown is the newest version of the evacuations
	// that the session has carried.
	topicUnheard    time.Duration
	evacuationKnown int64
	cancelsSent     uint64 // number of the last mark of a canceled job that was sent to the entry
	// identitySent means that the entry knows the server's properties of version
	// sentProperties.
	identitySent   bool
	sentProperties uint64
	crashSent      uint64 // number of the last crash that was sent to the entry
	runTimesSent   uint64 // version of the last run times that were sent to the entry
	// canceled holds the placements that were stopped while they had no run here,
	// mostly because the stop arrived before the start.
	canceled map[uint64]bool
	ended    bool
	// admittedCPU is the sum of the sizes of the admitted tasks, in thousandths of a core.
	admittedCPU uint64
}

func (s *entrySession) addReport(r session.Report) {
	s.lastReportSeq++
	r.Seq = s.lastReportSeq
	s.reports = append(s.reports, r)
}

// ttl returns how long the session stays open without a message.
func (s *entrySession) ttl(m *Runner) time.Duration {
	if !s.open {
		return helloTTL
	}
	return m.opts.SessionTTL
}

// fresh reports whether the echoed clock reading of the session is recent enough
// for its orders to start tasks.
func (s *entrySession) fresh(m *Runner) bool {
	return !s.ended && s.echoed.Run == m.clockIncarnation && m.clock-s.echoed.Clock < m.opts.SessionTTL
}

// recordMessage extends the life of the session and keeps the newest echoed clock
// reading.
func (s *entrySession) recordMessage(m *Runner, reading session.ClockReading) {
	s.lastHeard = m.now
	if reading.Run > s.echoed.Run || reading.Run == s.echoed.Run && reading.Clock > s.echoed.Clock {
		s.echoed = reading
	}
}

// heardBefore records, before sessions expire, when at the earliest the entry has sent the message
// that is about to be handled: a poll follows the reply to the one before it, and a clock reading is
// echoed after the reply that carried it. The message may have waited for an agent that is short
// of processor time. How old its clock reading is limits the session as before.
func (m *Runner) heardBefore(ev Event) {
	switch e := ev.(type) {
	case PollCalled:
		if s := m.openSession(e.Session); s != nil {
			s.heardAt(s.answeredAt)
		}
	case OrderCalled:
		if s := m.openSession(e.Session); s != nil && e.Request.Echo == s.stamp {
			s.heardAt(s.stampedAt)
		}
	}
}

func (s *entrySession) heardAt(t time.Time) {
	if t.After(s.lastHeard) {
		s.lastHeard = t
	}
}

// answered records a reply to Hello or to a poll.
func (s *entrySession) answered(m *Runner, stamp session.ClockReading) {
	s.answeredAt = m.now
	if stamp != s.stamp {
		s.stamp, s.stampedAt = stamp, m.now
	}
}

// hello adds a session and ends an earlier one of the same entry. The session opens
// when answerHellos replies.
func (m *Runner) hello(e HelloCalled) {
	for _, s := range slices.Clone(m.sortedSessions) {
		if s.entry == e.Request.Incarnation && s.id != e.Session {
			m.endSession(s.id, "replaced by a new session")
		}
	}
	m.updateEvacuation(e.Request.Evacuation, e.Request.Entry)
	m.updateConfig(e.Request.Config)
	m.newestConfig = max(m.newestConfig, e.Request.ConfigVersion)
	m.addSession(&entrySession{
		id: e.Session, entry: e.Request.Incarnation, name: e.Request.Entry, hello: &e,
		lastHeard: m.now, canceled: make(map[uint64]bool),
		topicUnheard: e.Request.TopicUnheard, evacuationKnown: e.Request.Evacuation.Version,
	})
}

// addSession adds a session, or replaces the one with the same ID.
func (m *Runner) addSession(s *entrySession) {
	m.topic.viewsChanged = true
	m.sessions[s.id] = s
	i, found := m.sessionIndex(s.id)
	if found {
		m.sortedSessions[i] = s
		return
	}
	m.sortedSessions = slices.Insert(m.sortedSessions, i, s)
}

// removeSession removes the session with the ID.
func (m *Runner) removeSession(id uint64) {
	m.topic.viewsChanged = true
	delete(m.sessions, id)
	if i, found := m.sessionIndex(id); found {
		m.sortedSessions = slices.Delete(m.sortedSessions, i, i+1)
	}
}

// sessionIndex returns the index in sortedSessions at which the session with the ID
// is or would be inserted, and whether it is there.
func (m *Runner) sessionIndex(id uint64) (int, bool) {
	return slices.BinarySearchFunc(m.sortedSessions, id, func(s *entrySession, id uint64) int { return cmp.Compare(s.id, id) })
}

// answerHellos replies to a pending Hello once no task of an earlier session of the
// entry is left, neither of this agent nor of an earlier agent of the server.
func (m *Runner) answerHellos() {
	if !m.noForeignRuns {
		return
	}
	for _, s := range m.sortedSessions {
		if s.hello == nil || m.hasRunsOf(s.entry, s) {
			continue
		}
		req := s.hello.Request
		reply := session.HelloReply{
			Agent: m.opts.Agent, Incarnation: m.opts.Incarnation, Zone: m.opts.Zone, State: m.state(s),
			Evacuation: m.evacuations.Current(), Cancels: m.unsentCancels(s),
			Held: max(m.now.Sub(s.lastHeard), time.Nanosecond),
		}
		reply.ConfigVersion = m.config.Version
		if !req.OmitConfig && m.config.Version > req.Config.Version {
			reply.Config = m.config
		}
		s.recordEvacuation(reply.Evacuation)
		s.echoed = reply.State.Stamp
		s.lastHeard = m.now
		s.answered(m, reply.State.Stamp)
		s.open, m.topic.viewsChanged = true, true
		m.emit(ReplyHello{Call: s.hello.Call, Reply: reply})
		s.hello = nil
		m.emit(LogEvent{Event: "session_opened", Entry: s.entry, Detail: fmt.Sprintf("entry=%s session=%d", s.name, s.id)})
	}
}

// hasRunsOf reports whether any session of the entry other than except has runs
// left.
func (m *Runner) hasRunsOf(entry structs.Incarnation, except *entrySession) bool {
	for _, r := range m.runs {
		if r.session != except && r.session.entry == entry {
			return true
		}
	}
	return false
}

// endSession closes a session and stops all of its tasks.
func (m *Runner) endSession(id uint64, reason string) {
	s := m.sessions[id]
	if s == nil {
		return
	}
	m.removeSession(id)
	s.ended = true
	stopped := 0
	for _, r := range m.sortedRuns() {
		if r.session == s {
			stopped++
			m.stop(r, session.Stopped, "its session ended")
		}
	}
	event := "session_ended"
	if !s.open {
		event = "session_not_opened"
	}
	m.emit(LogEvent{Event: event, Entry: s.entry, Detail: fmt.Sprintf("entry=%s session=%d reason=%q tasks=%d", s.name, id, reason, stopped)})
	m.emit(CloseSession{Session: id})
}

// OpenSessions returns the number of entries with an open session.
func (m *Runner) OpenSessions() int {
	n := 0
	for _, s := range m.sortedSessions {
		if s.open {
			n++
		}
	}
	return n
}

// InSession reports whether the entry has an open session.
func (m *Runner) InSession(entry structs.Incarnation) bool {
	for _, s := range m.sessions {
		if s.open && s.entry == entry {
			return true
		}
	}
	return false
}
