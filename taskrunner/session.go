package taskrunner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
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
	lastHeard     time.Time            // when the last message arrived
	reports       []session.Report     // not acknowledged by the entry yet
	lastReportSeq uint64
	poll          *pendingPoll
	identitySent  bool // sentIdentity has been sent to the entry
	sentIdentity  serverIdentity
	crashSent     uint64 // number of the last crash that was sent to the entry
	// canceled holds the placements that were stopped while they had no run here,
	// mostly because the stop arrived before the start.
	canceled map[uint64]bool
	ended    bool
}

// serverIdentity identifies an incarnation of a server and its capacity.
type serverIdentity struct {
	incarnation int64
	id          string
	capacity    usage
}

// pendingPoll is a call of Agent.Poll whose reply has not been sent.
type pendingPoll struct {
	call CallID
	due  time.Time // when the reply is sent even without reports
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

// hello adds a session and ends an earlier one of the same entry. The session opens
// when answerHellos replies.
func (m *Runner) hello(e HelloCalled) {
	for _, s := range slices.Clone(m.sortedSessions) {
		if s.entry == e.Request.Incarnation && s.id != e.Session {
			m.endSession(s.id, "replaced by a new session")
		}
	}
	m.updateConfig(e.Request.Config)
	m.newestConfig = max(m.newestConfig, e.Request.ConfigVersion)
	m.addSession(&entrySession{
		id: e.Session, entry: e.Request.Incarnation, name: e.Request.Entry, hello: &e,
		lastHeard: m.now, canceled: make(map[uint64]bool),
	})
}

// addSession adds a session, or replaces the one with the same ID.
func (m *Runner) addSession(s *entrySession) {
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
		}
		reply.ConfigVersion = m.config.Version
		if !req.OmitConfig && m.config.Version > req.Config.Version {
			reply.Config = m.config
		}
		s.echoed = reply.State.Stamp
		s.lastHeard = m.now
		s.open = true
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
	for _, id := range e.Request.Stop {
		m.stopPlacement(s, id)
	}
	for i := range e.Request.Start {
		m.admit(s, &e.Request.Start[i])
	}
	m.expireQueued()
	m.startQueued()
	m.emit(ReplyOrder{Call: e.Call, Reply: session.OrderReply{State: m.state(s)}})
}

// stopPlacement stops the run of a placement, or keeps a later start from running.
func (m *Runner) stopPlacement(s *entrySession, id uint64) {
	for _, r := range m.runs {
		if r.session == s && r.id == id {
			m.stop(r, session.Stopped, "stopped by the entry")
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
			estimate: part.Estimate, startBy: m.now.Add(part.StartWithin),
		}
		if reason := m.refusalReason(s, r, part.Service); reason != "" {
			m.finish(r, session.NotStarted, reason)
			continue
		}
		m.runs[r.key.TaskKey] = r
		m.enqueue(r)
	}
}

// refusalReason returns why a task must not be queued, or an empty string if it may
// be.
func (m *Runner) refusalReason(s *entrySession, r *run, service string) string {
	switch {
	case s.canceled[r.id]:
		delete(s.canceled, r.id)
		return "stopped by the entry"
	case m.leaving:
		return "agent is leaving"
	case m.server.ID == "":
		return "no backend server has registered"
	case service != m.server.Service:
		return "the backend server belongs to another service"
	case m.server.Draining:
		return "the backend server is draining"
	case !m.active():
		return "the backend server is not ready"
	case !s.fresh(m):
		return "the echoed clock reading is too old"
	case m.runs[r.key.TaskKey] != nil:
		return "an earlier run of the task has not ended"
	case !m.server.holds(r):
		return "the task exceeds the capacity of the backend server"
	case !m.startsInTime(r):
		return "no free capacity before the latest start time"
	}
	return ""
}

// startsInTime predicts whether a task added to the queue would start by its latest
// start time.
func (m *Runner) startsInTime(r *run) bool {
	if m.health.suspect && len(m.runs) > 0 {
		return false
	}
	t := m.timeline()
	for _, q := range m.queue {
		if q.startBy.Before(r.startBy) {
			t.Reserve(q.cpu, m.health.expectedRunTime(q.estimate))
		}
	}
	wait, ok := t.EarliestStart(r.cpu)
	return ok && !m.now.Add(wait).After(r.startBy)
}

// enqueue inserts a run into the queue, which is ordered by latest start time.
func (m *Runner) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(m.queue, r, func(a, b *run) int { return a.startBy.Compare(b.startBy) })
	m.queue = slices.Insert(m.queue, i, r)
}

// timeline returns when the capacity held by started tasks is expected to become
// free.
func (m *Runner) timeline() *capacity.Timeline {
	var releases []capacity.Release
	for _, r := range m.runs {
		if r.phase != queued {
			releases = append(releases, capacity.Release{At: m.remaining(r), CPU: r.cpu})
		}
	}
	return capacity.New(m.server.CPU-m.used.cpu, releases)
}

// remaining predicts the time until a run ends.
func (m *Runner) remaining(r *run) time.Duration {
	if r.phase == stopping {
		return m.opts.StopTimeout
	}
	if !r.confirmed {
		return m.health.expectedRunTime(r.estimate)
	}
	ran := m.now.Sub(r.startedAt)
	return max(m.totalRunTime(r)-ran, 0)
}

// totalRunTime predicts the total run time of a run from its progress, or from its
// estimate while there is too little progress.
func (m *Runner) totalRunTime(r *run) time.Duration {
	if r.percent >= minPredictivePercent {
		return r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(m.health.expectedRunTime(r.estimate), m.now.Sub(r.startedAt))
}

// stragglers returns the runs of the session that are far slower than expected. It
// returns none unless the server as a whole is slow: a single slow job more likely
// has too low an estimate.
func (m *Runner) stragglers(s *entrySession) []session.Straggler {
	if m.health.expectedSlowness() < slowServerFactor*m.health.baseline() {
		return nil
	}
	var list []session.Straggler
	for _, r := range m.sortedRuns() {
		if r.session != s || r.phase != running {
			continue
		}
		baselineRunTime := time.Duration(float64(r.estimate) * m.health.baseline())
		if left := m.remaining(r); left > minStragglerLeft && m.totalRunTime(r) > stragglerFactor*baselineRunTime {
			list = append(list, session.Straggler{ID: r.id, Ms: int(left.Milliseconds())})
		}
	}
	return list
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
	s.reports = slices.DeleteFunc(s.reports, func(r session.Report) bool { return r.Seq <= e.Request.Seen })
	s.poll = &pendingPoll{call: e.Call, due: m.now.Add(m.opts.PollWait)}
}

// answerPolls replies to the polls whose session has reports, or whose wait is over.
func (m *Runner) answerPolls() {
	for _, s := range m.sortedSessions {
		if s.poll == nil || len(s.reports) == 0 && m.now.Before(s.poll.due) {
			continue
		}
		m.emit(ReplyPoll{Call: s.poll.call, Reply: session.PollReply{Reports: slices.Clone(s.reports), State: m.state(s)}})
		s.poll = nil
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

// runningTasks returns the started tasks in the order of their expected ends. It
// returns at most maxRunningTasks elements, of which the last one combines all
// tasks that end later.
func (m *Runner) runningTasks() []session.RunningTask {
	var list []session.RunningTask
	for _, r := range m.runs {
		if r.phase != queued {
			list = append(list, session.RunningTask{CPU: r.cpu, Ms: int(m.remaining(r).Milliseconds())})
		}
	}
	slices.SortFunc(list, func(a, b session.RunningTask) int { return cmp.Or(cmp.Compare(a.Ms, b.Ms), cmp.Compare(a.CPU, b.CPU)) })
	for len(list) > maxRunningTasks {
		last, previous := list[len(list)-1], &list[len(list)-2]
		previous.CPU += last.CPU
		previous.Ms = last.Ms
		list = list[:len(list)-1]
	}
	return list
}

// state returns the agent's state for a reply to an entry.
func (m *Runner) state(s *entrySession) session.State {
	m.stateSeq++
	st := session.State{
		Seq:      m.stateSeq,
		Stamp:    session.ClockReading{Run: m.clockIncarnation, Clock: m.clock},
		Ready:    m.active(),
		FreeCPU:  m.server.CPU - m.used.cpu,
		FreeMem:  m.server.MemMB - m.used.mem,
		Slowness: m.health.slownessPerMille(),
		Samples:  m.health.samples,
		Failing:  m.health.failingPerMille(),
		Laggards: m.stragglers(s),
	}
	if id := (serverIdentity{m.server.Incarnation, m.server.ID, m.server.capacity()}); !s.identitySent || s.sentIdentity != id {
		s.identitySent, s.sentIdentity = true, id
		st.Identity = &session.Identity{Service: m.server.Service, Server: m.server.ID, Labels: m.server.Labels, Capacity: m.server.CPU, MemMB: m.server.MemMB, GPU: m.server.GPU}
	}
	st.Crashes = m.unsentCrashes(s)
	st.Running = m.runningTasks()
	for _, r := range m.queue {
		st.Queue = append(st.Queue, session.QueuedTask{
			CPU: r.cpu, Ms: int(m.health.expectedRunTime(r.estimate).Milliseconds()), StartWithin: int(r.startBy.Sub(m.now).Milliseconds()),
		})
	}
	return st
}
