package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/spread"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// agent is a session with an agent and the agent's last known state.
type agent struct {
	id       SessionID
	name     string
	zone     string
	state    session.State
	identity session.Identity
	// identitySeq is the sequence number of the state that carried the identity:
	// replies may arrive out of order.
	identitySeq uint64
	// largest is the largest capacity that the server has had: one that has shrunk may
	// grow again.
	largest         session.Identity
	stateAsOf       time.Time // the state is not older than that
	crashedAt       time.Time // when its server crashed; zero if it is back
	lastOrderNumber uint64
	// unacknowledged are the placements whose order has no reply yet, so that the
	// state does not include them.
	unacknowledged map[uint64]*placement
	recallable     []*placement // of jobs that have a place, in the order of placing
	othersFlow     spread.Flow  // what other entries place there
}

// serverSlowness is the last known slowness of an agent's server, kept beyond the
// session.
type serverSlowness struct {
	server   string // its id; a replacement may differ in speed
	slowness int
}

func (d *Dispatcher) sessionOpened(e SessionOpened) {
	for _, old := range slices.Clone(d.sortedAgents) {
		if old.name == e.Agent {
			d.removeAgent(old, "a new session was opened")
		}
	}
	a := &agent{id: e.ID, name: e.Agent, zone: e.Zone, state: e.State, stateAsOf: d.stateTime(e.AsOf), unacknowledged: make(map[uint64]*placement)}
	if e.State.Identity != nil {
		a.setIdentity(*e.State.Identity)
	}
	a.othersFlow.Observe(a.stateAsOf, e.State.OthersCPU)
	d.agents[e.ID] = a
	d.recordCrashes(a, e.State.Crashes)
	d.runTimesOpened(a)
	d.endOutageIfReady(a)
	d.agentsChanged = true
	i, _ := slices.BinarySearchFunc(d.sortedAgents, a, func(x, y *agent) int { return cmp.Compare(x.name, y.name) })
	d.sortedAgents = slices.Insert(d.sortedAgents, i, a)
	d.cancelsLearned(a.name, e.Cancels)
	d.relayCancels(a)
	d.emit(LogEvent{Event: "agent_joined", Agent: a.name, Detail: fmt.Sprintf("server=%s ready=%t capacity=%d", a.identity.Server, a.state.Ready, a.identity.Capacity)})
	for _, p := range d.sortedPlacements(func(p *placement) bool { return p.agent.name == e.Agent && p.agent != a }) {
		d.placementEnded(p, session.Report{ID: p.id, Outcome: session.Lost, Reason: "its session ended"})
	}
}

func (a *agent) setIdentity(id session.Identity) {
	a.identity = id
	if a.largest.Server != id.Server {
		a.largest = id
		return
	}
	a.largest.Capacity = max(a.largest.Capacity, id.Capacity)
	a.largest.MemMB = max(a.largest.MemMB, id.MemMB)
	a.largest.GPU = max(a.largest.GPU, id.GPU)
}

// endOutageIfReady records that the agent's service is available if the agent is
// ready.
func (d *Dispatcher) endOutageIfReady(a *agent) {
	if a.state.Ready {
		d.noAgentSince[a.identity.Service] = time.Time{}
	}
}

// sessionEnded marks the agent's placements as in doubt until they must have ended.
// It abandons jobs that could not be run again in time after that.
func (d *Dispatcher) sessionEnded(e SessionEnded) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	d.removeAgent(a, e.Reason)
	until := e.LastHeard.Add(d.opts.InDoubtTimeout)
	for _, p := range d.sortedPlacements(func(p *placement) bool { return p.agent == a }) {
		p.inDoubtUntil = until
		d.inDoubt.Set(p)
		if j := p.job; !j.answered && !until.Add(d.expectedRunTime(a, j)).Before(j.deadline) {
			d.abandon(j, structs.CodeAgentLost, "agent "+a.name+" was lost, and the task cannot be run again before the job's deadline")
		}
	}
}

// sessionRetired gives up a session that is no longer wanted, unless it still has
// tasks.
func (d *Dispatcher) sessionRetired(id SessionID) {
	a := d.agents[id]
	if a == nil {
		return
	}
	for _, p := range d.placements {
		if p.agent == a {
			return
		}
	}
	d.removeAgent(a, "not in the subset of this entry")
	d.emit(CloseSession{ID: id})
}

func (d *Dispatcher) removeAgent(a *agent, reason string) {
	delete(d.agents, a.id)
	delete(d.orders, a.id)
	d.recordLostAgent(a)
	if i := slices.Index(d.sortedAgents, a); i >= 0 {
		d.sortedAgents = slices.Delete(d.sortedAgents, i, i+1)
	}
	d.emit(LogEvent{Event: "agent_lost", Agent: a.name, Detail: fmt.Sprintf("reason=%q", reason)})
}

func (d *Dispatcher) orderReplied(e OrderReplied) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	for id, p := range a.unacknowledged {
		if p.orderNumber <= e.Number {
			delete(a.unacknowledged, id)
		}
	}
	d.cancelsTaken(a, e)
	d.updateState(a, e.State, e.AsOf)
}

func (d *Dispatcher) pollReplied(e PollReplied) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	d.updateState(a, e.Reply.State, e.AsOf)
	// Before the reports: the tasks that the agent has stopped are not placed again.
	d.cancelsLearned(a.name, e.Reply.Cancels)
	for _, r := range e.Reply.Reports {
		if p := d.placements[r.ID]; p != nil {
			d.placementEnded(p, r)
		}
	}
}

// stateTime returns the time of a state that an event carries.
func (d *Dispatcher) stateTime(asOf time.Time) time.Time {
	if asOf.IsZero() || asOf.After(d.now) {
		return d.now
	}
	return asOf
}

// updateState stores a state that an agent reported, unless a newer one has
// arrived before.
func (d *Dispatcher) updateState(a *agent, s session.State, asOf time.Time) {
	if s.Identity != nil && s.Seq > a.identitySeq {
		a.setIdentity(*s.Identity)
		a.identitySeq = s.Seq
	}
	defer d.recordCrashes(a, s.Crashes)
	d.recordRunTimes(a, s.Seq, s.RunTimes)
	if s.Seq <= a.state.Seq {
		return
	}
	if s.Ready != a.state.Ready || s.Identity != nil {
		d.agentsChanged = true
		d.emit(LogEvent{Event: "agent_changed", Agent: a.name, Detail: fmt.Sprintf("server=%s ready=%t capacity=%d", a.identity.Server, s.Ready, a.identity.Capacity)})
	}
	a.state = s
	if t := d.stateTime(asOf); t.After(a.stateAsOf) {
		a.stateAsOf = t // otherwise the earlier state has the closer bound
	}
	a.othersFlow.Observe(a.stateAsOf, s.OthersCPU)
	d.endOutageIfReady(a)
	d.recordRecovery(a)
	d.moveStragglers(a, s.Laggards)
	d.recallWaiting(a)
	if s.Samples >= minSlownessSamples {
		d.lastSlowness[a.name] = serverSlowness{server: a.identity.Server, slowness: s.Slowness}
	}
}

// expectedRunTime returns the expected run time of a task of the job at an agent.
func (d *Dispatcher) expectedRunTime(a *agent, j *job) time.Duration {
	slowness := a.state.Slowness
	if a.state.Samples < minSlownessSamples {
		if last := d.lastSlowness[a.name]; last.server == a.identity.Server && last.server != "" {
			slowness = last.slowness
		}
	}
	return d.correctRunTime(j, j.Estimate*time.Duration(slowness)/1000)
}

// queuedAhead returns a filter for the agent's queued tasks that are assumed to
// start before a task that must end within the given time: those whose latest
// start is within that time too, because they could become late if the task
// overtook them.
func (d *Dispatcher) queuedAhead(a *agent, within time.Duration) func(session.QueuedTask) bool {
	age := d.now.Sub(a.stateAsOf)
	return func(q session.QueuedTask) bool {
		return time.Duration(q.StartWithin)*time.Millisecond-age <= within
	}
}

// capacityTimeline returns the free capacity of the agent over time, less what
// is reserved for queued tasks that isAhead selects and for placements that the
// agent has not acknowledged.
func (d *Dispatcher) capacityTimeline(a *agent, isAhead func(session.QueuedTask) bool) *capacity.Timeline {
	t := d.timelineAfter(a, func(_ int, q session.QueuedTask) bool { return isAhead(q) })
	for _, p := range sortedUnacknowledged(a) {
		t.Reserve(p.job.CPU, scale(d.expectedRunTime(a, p.job), p.place.runFactor()))
	}
	return t
}

// timelineAfter returns the free capacity of the agent over time, less what is reserved
// for queued tasks that isAhead selects by their position and size.
func (d *Dispatcher) timelineAfter(a *agent, isAhead func(int, session.QueuedTask) bool) *capacity.Timeline {
	age := d.now.Sub(a.stateAsOf)
	releases := make([]capacity.Release, 0, len(a.state.Running))
	for _, r := range a.state.Running {
		releases = append(releases, capacity.Release{At: time.Duration(r.Ms)*time.Millisecond - age, CPU: r.CPU})
	}
	releases = append(releases, a.warmUpRelease(age)...)
	t := capacity.New(a.state.FreeCPU, releases)
	for i, q := range a.state.Queue {
		if isAhead(i, q) {
			t.Reserve(q.CPU, time.Duration(q.Ms)*time.Millisecond)
		}
	}
	return t
}

func sortedUnacknowledged(a *agent) []*placement {
	list := make([]*placement, 0, len(a.unacknowledged))
	for _, p := range a.unacknowledged {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *placement) int { return cmp.Compare(x.id, y.id) })
	return list
}

// moveStragglers stops stragglers that are expected to miss their job's
// objective, if they are expected to end at least moveMargin earlier on another
// agent. They are placed again when the agent reports their end.
func (d *Dispatcher) moveStragglers(a *agent, stragglers []session.Straggler) {
	for _, s := range stragglers {
		p := d.placements[s.ID]
		if p == nil || p.agent != a || p.stopRequested || p.job.answered || p.job.abandonErr != nil || p.job.tasks[p.index].moves >= maxMoves {
			continue
		}
		j := p.job
		remaining := time.Duration(s.Ms) * time.Millisecond
		if !d.now.Add(remaining).After(j.objective) {
			continue
		}
		t := &j.tasks[p.index]
		t.avoidedAgents = append(t.avoidedAgents, a.name)
		plan, err := d.plan(j, []int{p.index}, j.deadline)
		if err != nil || plan[0].agent == a || plan[0].finish+moveMargin > remaining {
			t.avoidedAgents = t.avoidedAgents[:len(t.avoidedAgents)-1]
			continue
		}
		t.moves++
		d.emit(LogEvent{Event: "task_moved", Job: j.Name, Queue: j.Queue.Name, Agent: a.name,
			Detail: fmt.Sprintf("task=%d left_ms=%d elsewhere_ms=%d to=%s", p.index, s.Ms, plan[0].finish.Milliseconds(), plan[0].agent.name)})
		d.stopPlacement(p)
	}
}
