package guard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/timeline"
)

// entrySession is one entry's session.
type entrySession struct {
	id      uint64
	entry   structs.Incarnation
	name    string
	open    bool // Hello was answered
	hello   *HelloCalled
	echo    session.ClockReading
	heard   time.Time
	reports []session.Report // not seen by the entry yet
	lastRep uint64
	poll    *pendingPoll
	told    bool // toldID was told
	toldID  identity
	// canceled holds placements that were stopped before their start came.
	canceled map[uint64]bool
	ended    bool
}

// identity names a run of a server.
type identity struct {
	run int64
	id  string
}

type pendingPoll struct {
	call CallID
	due  time.Time
}

func (s *entrySession) report(r session.Report) {
	s.lastRep++
	r.Seq = s.lastRep
	s.reports = append(s.reports, r)
}

// ttl returns how long the session may stay quiet.
func (s *entrySession) ttl(g *Guard) time.Duration {
	if !s.open {
		return helloTTL
	}
	return g.opts.SessionTTL
}

// fresh reports whether an order of the session may still start a task.
func (s *entrySession) fresh(g *Guard) bool {
	return !s.ended && s.echo.Run == g.clockRun && g.clock-s.echo.Clock < g.opts.SessionTTL
}

func (s *entrySession) heardNow(g *Guard, echo session.ClockReading) {
	s.heard = g.now
	if echo.Run > s.echo.Run || echo.Run == s.echo.Run && echo.Clock > s.echo.Clock {
		s.echo = echo
	}
}

// hello opens a session; an earlier one of the same entry ends.
func (g *Guard) hello(e HelloCalled) {
	for _, id := range g.sortedSessions() {
		if s := g.sessions[id]; s.entry == e.Request.Incarnation && id != e.Session {
			g.endSession(id, "replaced by a new session")
		}
	}
	g.takeConfig(e.Request.Config)
	g.sessions[e.Session] = &entrySession{
		id: e.Session, entry: e.Request.Incarnation, name: e.Request.Entry, hello: &e,
		heard: g.now, canceled: make(map[uint64]bool),
	}
}

// answerHellos answers those whose earlier sessions left nothing behind, here
// or at an earlier agent of the server.
func (g *Guard) answerHellos() {
	if !g.clean {
		return
	}
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		if s.hello == nil || g.holdsOf(s.entry, s) {
			continue
		}
		req := s.hello.Request
		reply := session.HelloReply{
			Agent: g.opts.Agent, Incarnation: g.opts.Incarnation, Zone: g.opts.Zone, State: g.state(s),
		}
		if g.config.Version > req.Config.Version {
			reply.Config = g.config
		}
		s.echo = reply.State.Stamp
		s.heard = g.now
		s.open = true
		g.emit(ReplyHello{Call: s.hello.Call, Reply: reply})
		s.hello = nil
		g.emit(LogEvent{Event: "session_opened", Entry: s.entry, Detail: fmt.Sprintf("entry=%s session=%d", s.name, id)})
	}
}

// holdsOf reports whether a run of another session of the entry is left.
func (g *Guard) holdsOf(entry structs.Incarnation, except *entrySession) bool {
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

// endSession stops all that a session ordered.
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

// InSession reports whether an entry has an open session.
func (g *Guard) InSession(entry structs.Incarnation) bool {
	for _, s := range g.sessions {
		if s.open && s.entry == entry {
			return true
		}
	}
	return false
}

func (g *Guard) openSession(id uint64) *entrySession {
	if s := g.sessions[id]; s != nil && s.open {
		return s
	}
	return nil
}

func (g *Guard) order(e OrderCalled) {
	s := g.openSession(e.Session)
	if s == nil {
		g.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.heardNow(g, e.Request.Echo)
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

func (g *Guard) stopPlacement(s *entrySession, id uint64) {
	for _, r := range g.runs {
		if r.session == s && r.id == id {
			g.stop(r, session.Stopped, "stopped by its entry")
			return
		}
	}
	s.canceled[id] = true
}

// accept takes tasks into the queue, or refuses them at once.
func (g *Guard) accept(s *entrySession, part *session.JobPart) {
	for _, p := range part.Tasks {
		r := &run{
			key: RunKey{TaskKey: TaskKey{Job: part.Job, Index: p.Index}, Number: max(p.Attempt, 1)},
			id:  p.ID, session: s, spec: part.Spec, cpu: part.CPU, mem: part.MemMB, gpu: part.GPU,
			estimate: part.Estimate, startBy: g.now.Add(part.StartWithin),
		}
		if reason := g.refusal(s, r, part.Service); reason != "" {
			g.finish(r, session.NotStarted, reason)
			continue
		}
		g.runs[r.key.TaskKey] = r
		g.enqueue(r)
	}
}

// refusal says why a task may not wait here, or nothing.
func (g *Guard) refusal(s *entrySession, r *run, service string) string {
	switch {
	case s.canceled[r.id]:
		delete(s.canceled, r.id)
		return "stopped by its entry"
	case g.leaving:
		return "agent is leaving"
	case g.server.ID == "":
		return "no backend server is known"
	case service != g.server.Service:
		return "the backend server is of another service"
	case g.server.Draining:
		return "the backend server is leaving"
	case !g.active():
		return "the backend server is not ready"
	case !s.fresh(g):
		return "the order is too old"
	case g.runs[r.key.TaskKey] != nil:
		return "the task is still here"
	case r.cpu > g.server.CPU || r.mem > g.server.MemMB || r.gpu > g.server.GPU:
		return "larger than the backend server"
	case !g.startsInTime(r):
		return "no room in time"
	}
	return ""
}

// startsInTime predicts whether a task that joins the queue starts in time.
func (g *Guard) startsInTime(r *run) bool {
	if g.health.suspect && len(g.runs) > 0 {
		return false
	}
	t := g.timeline()
	for _, q := range g.queue {
		if q.startBy.Before(r.startBy) {
			t.Reserve(q.cpu, g.health.expect(q.estimate))
		}
	}
	wait, ok := t.EarliestStart(r.cpu)
	return ok && !g.now.Add(wait).After(r.startBy)
}

// enqueue keeps the queue in the order of the latest starts.
func (g *Guard) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(g.queue, r, func(a, b *run) int { return a.startBy.Compare(b.startBy) })
	g.queue = slices.Insert(g.queue, i, r)
}

// timeline returns when the capacity of the running tasks falls free.
func (g *Guard) timeline() *timeline.Timeline {
	var spans []timeline.Release
	for _, r := range g.runs {
		if r.phase != waiting {
			spans = append(spans, timeline.Release{At: g.remaining(r), CPU: r.cpu})
		}
	}
	return timeline.New(g.server.CPU-g.used.cpu, spans)
}

// remaining predicts the time to a run's end from its progress, or from its
// estimate while there is none.
func (g *Guard) remaining(r *run) time.Duration {
	if r.phase == stopping {
		return g.opts.StopTimeout
	}
	if !r.confirmed {
		return g.health.expect(r.estimate)
	}
	ran := g.now.Sub(r.startedAt)
	return max(g.total(r)-ran, 0)
}

// total predicts the whole run time of a run from its progress, or from its
// estimate while there is none.
func (g *Guard) total(r *run) time.Duration {
	if r.percent >= tellingPercent {
		return r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.percent)
	}
	return max(g.health.expect(r.estimate), g.now.Sub(r.startedAt))
}

// laggards returns the session's runs that are far slower than usual, while the
// server as a whole is. A single slow job only had too low an estimate.
func (g *Guard) laggards(s *entrySession) []session.Straggler {
	if g.health.slow() < slowServerFactor*g.health.usual() {
		return nil
	}
	var list []session.Straggler
	for _, r := range g.sortedRuns() {
		if r.session != s || r.phase != running {
			continue
		}
		usual := time.Duration(float64(r.estimate) * g.health.usual())
		if left := g.remaining(r); left > laggardLeft && g.total(r) > laggardFactor*usual {
			list = append(list, session.Straggler{ID: r.id, Ms: int(left.Milliseconds())})
		}
	}
	return list
}

func (g *Guard) poll(e PollCalled) {
	s := g.openSession(e.Session)
	if s == nil {
		g.emit(ReplyError{Call: e.Call, Reason: "the session has ended"})
		return
	}
	s.heardNow(g, e.Request.Echo)
	s.reports = slices.DeleteFunc(s.reports, func(r session.Report) bool { return r.Seq <= e.Request.Seen })
	s.poll = &pendingPoll{call: e.Call, due: g.now.Add(g.opts.PollWait)}
}

// answerPolls answers the polls that have reports or have waited long enough.
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

// wakePolls makes the pending polls due, for news that cannot wait.
func (g *Guard) wakePolls() {
	for _, s := range g.sessions {
		if s.poll != nil {
			s.poll.due = g.now
		}
	}
}

func (g *Guard) unseenReports() bool {
	for _, s := range g.sessions {
		if len(s.reports) > 0 {
			return true
		}
	}
	return false
}

// spans returns the running tasks by their expected ends; the last span stands
// for all that end later.
func (g *Guard) spans() []session.RunningTask {
	var list []session.RunningTask
	for _, r := range g.runs {
		if r.phase != waiting {
			list = append(list, session.RunningTask{CPU: r.cpu, Ms: int(g.remaining(r).Milliseconds())})
		}
	}
	slices.SortFunc(list, func(a, b session.RunningTask) int { return cmp.Or(cmp.Compare(a.Ms, b.Ms), cmp.Compare(a.CPU, b.CPU)) })
	for len(list) > maxSpans {
		last, before := list[len(list)-1], &list[len(list)-2]
		before.CPU += last.CPU
		before.Ms = last.Ms
		list = list[:len(list)-1]
	}
	return list
}

// state returns what the agent tells an entry of itself.
func (g *Guard) state(s *entrySession) session.State {
	g.stateSeq++
	st := session.State{
		Seq:      g.stateSeq,
		Stamp:    session.ClockReading{Run: g.clockRun, Clock: g.clock},
		Ready:    g.active(),
		FreeCPU:  g.server.CPU - g.used.cpu,
		FreeMem:  g.server.MemMB - g.used.mem,
		Slowness: g.health.slowness(),
		Samples:  g.health.samples,
		Failing:  g.health.failing(),
		Laggards: g.laggards(s),
	}
	if id := (identity{g.server.Run, g.server.ID}); !s.told || s.toldID != id {
		s.told, s.toldID = true, id
		st.Identity = &session.Identity{Service: g.server.Service, Server: g.server.ID, Labels: g.server.Labels, Capacity: g.server.CPU}
	}
	st.Running = g.spans()
	for _, r := range g.queue {
		st.Queue = append(st.Queue, session.QueuedTask{
			CPU: r.cpu, Ms: int(g.health.expect(r.estimate).Milliseconds()), StartWithin: int(r.startBy.Sub(g.now).Milliseconds()),
		})
	}
	return st
}
