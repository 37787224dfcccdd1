package guard

import (
	"cmp"
	"fmt"
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
	// canceled holds the placements that were stopped while they had no run here,
	// mostly because the stop arrived before the start.
	canceled map[uint64]bool
	ended    bool
}

// serverIdentity identifies an incarnation of a server.
type serverIdentity struct {
	incarnation int64
	id          string
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
func (s *entrySession) ttl(g *Guard) time.Duration {
	if !s.open {
		return helloTTL
	}
	return g.opts.SessionTTL
}

// fresh reports whether the echoed clock reading of the session is recent enough
// for its orders to start tasks.
func (s *entrySession) fresh(g *Guard) bool {
	return !s.ended && s.echoed.Run == g.clockIncarnation && g.clock-s.echoed.Clock < g.opts.SessionTTL
}

// recordMessage extends the life of the session and keeps the newest echoed clock
// reading.
func (s *entrySession) recordMessage(g *Guard, reading session.ClockReading) {
	s.lastHeard = g.now
	if reading.Run > s.echoed.Run || reading.Run == s.echoed.Run && reading.Clock > s.echoed.Clock {
		s.echoed = reading
	}
}

// hello adds a session and ends an earlier one of the same entry. The session opens
// when answerHellos replies.
func (g *Guard) hello(e HelloCalled) {
	for _, id := range g.sortedSessions() {
		if s := g.sessions[id]; s.entry == e.Request.Incarnation && id != e.Session {
			g.endSession(id, "replaced by a new session")
		}
	}
	g.updateConfig(e.Request.Config)
	g.sessions[e.Session] = &entrySession{
		id: e.Session, entry: e.Request.Incarnation, name: e.Request.Entry, hello: &e,
		lastHeard: g.now, canceled: make(map[uint64]bool),
	}
}

// answerHellos replies to a pending Hello once no task of an earlier session of the
// entry is left, neither of this agent nor of an earlier agent of the server.
func (g *Guard) answerHellos() {
	if !g.noForeignRuns {
		return
	}
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		if s.hello == nil || g.hasRunsOf(s.entry, s) {
			continue
		}
		req := s.hello.Request
		reply := session.HelloReply{
			Agent: g.opts.Agent, Incarnation: g.opts.Incarnation, Zone: g.opts.Zone, State: g.state(s),
		}
		if g.config.Version > req.Config.Version {
			reply.Config = g.config
		}
		s.echoed = reply.State.Stamp
		s.lastHeard = g.now
		s.open = true
		g.emit(ReplyHello{Call: s.hello.Call, Reply: reply})
		s.hello = nil
		g.emit(LogEvent{Event: "session_opened", Entry: s.entry, Detail: fmt.Sprintf("entry=%s session=%d", s.name, id)})
	}
}

// hasRunsOf reports whether any session of the entry other than except has runs
// left.
func (g *Guard) hasRunsOf(entry structs.Incarnation, except *entrySession) bool {
	for _, r := range g.runs {
		if r.session != except && r.session.entry == entry {
			return true
		}
	}
	return false
}

func (g *Guard) sortedSessions() []uint64 {
	ids := make([]uint64, 0, len(g.sessions))
	for id := range g.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endSession closes a session and stops all of its tasks.
func (g *Guard) endSession(id uint64, reason string) {
	s := g.sessions[id]
	if s == nil {
		return
	}
	delete(g.sessions, id)
	s.ended = true
	stopped := 0
	for _, r := range g.sortedRuns() {
		if r.session == s {
			stopped++
			g.stop(r, session.Stopped, "its session ended")
		}
	}
	event := "session_ended"
	if !s.open {
		event = "session_not_opened"
	}
	g.emit(LogEvent{Event: event, Entry: s.entry, Detail: fmt.Sprintf("entry=%s session=%d reason=%q tasks=%d", s.name, id, reason, stopped)})
	g.emit(CloseSession{Session: id})
}

// InSession reports whether the entry has an open session.
func (g *Guard) InSession(entry structs.Incarnation) bool {
	for _, s := range g.sessions {
		if s.open && s.entry == entry {
			return true
		}
	}
	return false
}

// openSession returns the session with the ID, or nil if it is not open.
func (g *Guard) openSession(id uint64) *entrySession {
	if s := g.sessions[id]; s != nil && s.open {
		return s
	}
	return nil
}

// order carries out the stops and then the starts of an Agent.Order.
func (g *Guard) order(e OrderCalled) {
	s := g.openSession(e.Session)
	if s == nil {
		g.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.recordMessage(g, e.Request.Echo)
	for _, id := range e.Request.Stop {
		g.stopPlacement(s, id)
	}
	for i := range e.Request.Start {
		g.accept(s, &e.Request.Start[i])
	}
	g.dropLateQueued()
	g.startQueued()
	g.emit(ReplyOrder{Call: e.Call, Reply: session.OrderReply{State: g.state(s)}})
}

// stopPlacement stops the run of a placement, or keeps a later start from running.
func (g *Guard) stopPlacement(s *entrySession, id uint64) {
	for _, r := range g.runs {
		if r.session == s && r.id == id {
			g.stop(r, session.Stopped, "stopped by the entry")
			return
		}
	}
	s.canceled[id] = true
}

// accept adds the tasks to the queue, or rejects them at once.
func (g *Guard) accept(s *entrySession, part *session.JobPart) {
	for _, p := range part.Tasks {
		r := &run{
			key: RunKey{TaskKey: TaskKey{Job: part.Job, Index: p.Index}, Number: max(p.Attempt, 1)},
			id:  p.ID, session: s, spec: part.Spec, cpu: part.CPU, mem: part.MemMB, gpu: part.GPU,
			estimate: part.Estimate, startBy: g.now.Add(part.StartWithin),
		}
		if reason := g.refusalReason(s, r, part.Service); reason != "" {
			g.finish(r, session.NotStarted, reason)
			continue
		}
		g.runs[r.key.TaskKey] = r
		g.enqueue(r)
	}
}

// refusalReason returns why a task must not be queued, or an empty string if it may
// be.
func (g *Guard) refusalReason(s *entrySession, r *run, service string) string {
	switch {
	case s.canceled[r.id]:
		delete(s.canceled, r.id)
		return "stopped by the entry"
	case g.leaving:
		return "agent is leaving"
	case g.server.ID == "":
		return "no backend server has registered"
	case service != g.server.Service:
		return "the backend server belongs to another service"
	case g.server.Draining:
		return "the backend server is draining"
	case !g.active():
		return "the backend server is not ready"
	case !s.fresh(g):
		return "the echoed clock reading is too old"
	case g.runs[r.key.TaskKey] != nil:
		return "an earlier run of the task has not ended"
	case r.cpu > g.server.CPU || r.mem > g.server.MemMB || r.gpu > g.server.GPU:
		return "the task exceeds the capacity of the backend server"
	case !g.startsInTime(r):
		return "no free capacity before the latest start time"
	}
	return ""
}

// startsInTime predicts whether a task added to the queue would start by its latest
// start time.
func (g *Guard) startsInTime(r *run) bool {
	if g.health.suspect && len(g.runs) > 0 {
		return false
	}
	t := g.timeline()
	for _, q := range g.queue {
		if q.startBy.Before(r.startBy) {
			t.Reserve(q.cpu, g.health.expectedRunTime(q.estimate))
		}
	}
	wait, ok := t.EarliestStart(r.cpu)
	return ok && !g.now.Add(wait).After(r.startBy)
}

// enqueue inserts a run into the queue, which is ordered by latest start time.
func (g *Guard) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(g.queue, r, func(a, b *run) int { return a.startBy.Compare(b.startBy) })
	g.queue = slices.Insert(g.queue, i, r)
}

// timeline returns when the capacity held by started tasks is expected to become
// free.
func (g *Guard) timeline() *capacity.Timeline {
	var releases []capacity.Release
	for _, r := range g.runs {
		if r.phase != waiting {
			releases = append(releases, capacity.Release{At: g.remaining(r), CPU: r.cpu})
		}
	}
	return capacity.New(g.server.CPU-g.used.cpu, releases)
}

// remaining predicts the time until a run ends.
func (g *Guard) remaining(r *run) time.Duration {
	if r.phase == stopping {
		return g.opts.StopTimeout
	}
	if !r.confirmed {
		return g.health.expectedRunTime(r.estimate)
	}
	ran := g.now.Sub(r.startedAt)
	return max(g.totalRunTime(r)-ran, 0)
}

// totalRunTime predicts the total run time of a run from its progress, or from its
// estimate while there is too little progress.
func (g *Guard) totalRunTime(r *run) time.Duration {
	if r.percent >= minPredictivePercent {
		return r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(g.health.expectedRunTime(r.estimate), g.now.Sub(r.startedAt))
}

// stragglers returns the runs of the session that are far slower than expected. It
// returns none unless the server as a whole is slow: a single slow job more likely
// has too low an estimate.
func (g *Guard) stragglers(s *entrySession) []session.Straggler {
	if g.health.expectedSlowness() < slowServerFactor*g.health.baseline() {
		return nil
	}
	var list []session.Straggler
	for _, r := range g.sortedRuns() {
		if r.session != s || r.phase != running {
			continue
		}
		baselineRunTime := time.Duration(float64(r.estimate) * g.health.baseline())
		if left := g.remaining(r); left > minStragglerLeft && g.totalRunTime(r) > stragglerFactor*baselineRunTime {
			list = append(list, session.Straggler{ID: r.id, Ms: int(left.Milliseconds())})
		}
	}
	return list
}

// poll removes the reports that the entry has acknowledged and keeps the call until
// answerPolls replies.
func (g *Guard) poll(e PollCalled) {
	s := g.openSession(e.Session)
	if s == nil {
		g.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.recordMessage(g, e.Request.Echo)
	s.reports = slices.DeleteFunc(s.reports, func(r session.Report) bool { return r.Seq <= e.Request.Seen })
	s.poll = &pendingPoll{call: e.Call, due: g.now.Add(g.opts.PollWait)}
}

// answerPolls replies to the polls whose session has reports, or whose wait is over.
func (g *Guard) answerPolls() {
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		if s.poll == nil || len(s.reports) == 0 && g.now.Before(s.poll.due) {
			continue
		}
		g.emit(ReplyPoll{Call: s.poll.call, Reply: session.PollReply{Reports: slices.Clone(s.reports), State: g.state(s)}})
		s.poll = nil
	}
}

// wakePolls makes all pending polls due, so that entries receive a changed state at
// once.
func (g *Guard) wakePolls() {
	for _, s := range g.sessions {
		if s.poll != nil {
			s.poll.due = g.now
		}
	}
}

func (g *Guard) hasUnseenReports() bool {
	for _, s := range g.sessions {
		if len(s.reports) > 0 {
			return true
		}
	}
	return false
}

// runningTasks returns the started tasks in the order of their expected ends. It
// returns at most maxRunningTasks elements, of which the last one combines all
// tasks that end later.
func (g *Guard) runningTasks() []session.RunningTask {
	var list []session.RunningTask
	for _, r := range g.runs {
		if r.phase != waiting {
			list = append(list, session.RunningTask{CPU: r.cpu, Ms: int(g.remaining(r).Milliseconds())})
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
func (g *Guard) state(s *entrySession) session.State {
	g.stateSeq++
	st := session.State{
		Seq:      g.stateSeq,
		Stamp:    session.ClockReading{Run: g.clockIncarnation, Clock: g.clock},
		Ready:    g.active(),
		FreeCPU:  g.server.CPU - g.used.cpu,
		FreeMem:  g.server.MemMB - g.used.mem,
		Slowness: g.health.slownessPerMille(),
		Samples:  g.health.samples,
		Failing:  g.health.failingPerMille(),
		Laggards: g.stragglers(s),
	}
	if id := (serverIdentity{g.server.Incarnation, g.server.ID}); !s.identitySent || s.sentIdentity != id {
		s.identitySent, s.sentIdentity = true, id
		st.Identity = &session.Identity{Service: g.server.Service, Server: g.server.ID, Labels: g.server.Labels, Capacity: g.server.CPU}
	}
	st.Running = g.runningTasks()
	for _, r := range g.queue {
		st.Queue = append(st.Queue, session.QueuedTask{
			CPU: r.cpu, Ms: int(g.health.expectedRunTime(r.estimate).Milliseconds()), StartWithin: int(r.startBy.Sub(g.now).Milliseconds()),
		})
	}
	return st
}
