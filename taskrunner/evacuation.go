package taskrunner

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// reasonEvacuated is the reason of the tasks that are not started during an evacuation.
const reasonEvacuated = "the availability zone is evacuated"

// topicWatch is whether the agent reads the operators' topic itself.
type topicWatch struct {
	watching      bool
	watchingSince time.Time
	// unheard and inSession are the result of topicUnheard, which is due again if
	// viewsChanged is set.
	unheard      time.Duration
	inSession    bool
	viewsChanged bool
	inSessionAt  time.Time // when a session was open last, or the first step
}

// updateEvacuation takes over newer evacuations of the process that source names in the log.
func (m *Runner) updateEvacuation(e session.Evacuation, source string) {
	before := m.zoneEvacuated()
	m.evacuations.Update(m.now, e)
	m.zoneChanged(before, source)
}

// topicRead applies a reply to a read of the operators' topic.
func (m *Runner) topicRead(b evacuation.Batch) {
	before := m.zoneEvacuated()
	m.evacuations.Apply(m.now, b)
	m.zoneChanged(before, "topic")
}

// zoneChanged puts changed evacuations in force; before states whether the agent's own
// availability zone was evacuated. While it is, the agent starts nothing, whoever ordered
// it: queued tasks are returned to their entries, and started ones run to their end.
func (m *Runner) zoneChanged(before bool, source string) {
	if m.zoneEvacuated() == before {
		return
	}
	detail := fmt.Sprintf("zone=%s version=%d source=%q", m.opts.Zone, m.evacuations.Current().Version, source)
	if before {
		m.log("zone_restored", detail)
	} else {
		m.log("zone_evacuated", fmt.Sprintf("%s queued=%d started=%d", detail, len(m.queue), len(m.runs)-len(m.queue)))
		m.dropAllQueued(reasonEvacuated)
	}
	m.wakePolls()
}

// topicUnheard returns the least time for which an entry in session has not heard the
// operators' topic, or zero if one hears it, and whether a session is open.
func (m *Runner) topicUnheard() (least time.Duration, inSession bool) {
	for _, s := range m.sortedSessions {
		if s.open && (!inSession || s.topicUnheard < least) {
			least, inSession = s.topicUnheard, true
		}
	}
	return least, inSession
}

// watchTopic reads the operators' topic while no entry in session hears it, or after none
// has been in session for some time: the first one may have an old view.
func (m *Runner) watchTopic() {
	if m.topic.viewsChanged {
		m.topic.viewsChanged = false
		m.topic.unheard, m.topic.inSession = m.topicUnheard()
	}
	unheard := m.topic.unheard
	watch := unheard > 0
	if m.topic.inSession || m.topic.inSessionAt.IsZero() {
		m.topic.inSessionAt = m.now
	}
	if !m.topic.inSession {
		unheard = m.now.Sub(m.topic.inSessionAt)
		watch = m.topic.watching || unheard > evacuation.StaleAfter
	}
	watch = watch && !m.leaving
	if watch == m.topic.watching {
		return
	}
	m.topic.watching = watch
	version := m.evacuations.Current().Version
	if !watch {
		m.emit(UnwatchTopic{})
		m.log("topic_watch_ended", fmt.Sprintf("sessions=%d version=%d took=%s", m.OpenSessions(), version, m.now.Sub(m.topic.watchingSince)))
		return
	}
	m.topic.watchingSince = m.now
	m.emit(WatchTopic{From: version})
	m.log("topic_watch_started", fmt.Sprintf("sessions=%d version=%d unheard=%s", m.OpenSessions(), version, unheard))
}

// WatchingTopic reports whether the agent reads the operators' topic.
func (m *Runner) WatchingTopic() bool { return m.topic.watching }

// recordEvacuation records that the session has carried the evacuations.
func (s *entrySession) recordEvacuation(e session.Evacuation) {
	s.evacuationKnown = max(s.evacuationKnown, e.Version)
}

// unsentEvacuation returns the newest evacuations if the session has not carried them.
func (m *Runner) unsentEvacuation(s *entrySession) session.Evacuation {
	e := m.evacuations.Current()
	if e.Version <= s.evacuationKnown {
		return session.Evacuation{}
	}
	s.recordEvacuation(e)
	return e
}

// zoneEvacuated reports whether the agent's availability zone is evacuated.
func (m *Runner) zoneEvacuated() bool { return m.evacuations.Evacuated(m.opts.Zone) }

// Evacuation returns the newest evacuations that the agent knows.
func (m *Runner) Evacuation() session.Evacuation { return m.evacuations.Current() }
