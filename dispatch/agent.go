package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/timeline"
)

// agent is a session with an agent and what it told last.
type agent struct {
	id       AgentID
	name     string
	zone     string
	state    session.State
	identity session.Identity
	// identityAt is the sequence of the state that told it: replies overtake
	// each other.
	identityAt uint64
	stateAt    time.Time
	lastOrder  uint64
	// pending are the placements that the state does not show yet.
	pending map[uint64]*placement
}

// knownSpeed is what is remembered of an agent's server beyond a session.
type knownSpeed struct {
	server   string // another server of the same agent may be of another speed
	slowness int
}

func (d *Dispatcher) agentUp(e AgentUp) {
	for _, old := range slices.Clone(d.order) {
		if old.name == e.Agent {
			d.dropAgent(old, "a new session was opened")
		}
	}
	a := &agent{id: e.ID, name: e.Agent, zone: e.Zone, state: e.State, stateAt: d.now, pending: make(map[uint64]*placement)}
	if e.State.Identity != nil {
		a.identity = *e.State.Identity
	}
	d.agents[e.ID] = a
	d.noteServing(a)
	d.agentCame = true
	i, _ := slices.BinarySearchFunc(d.order, a, func(x, y *agent) int { return cmp.Compare(x.name, y.name) })
	d.order = slices.Insert(d.order, i, a)
	d.emit(LogEvent{Event: "agent_joined", Agent: a.name, Detail: fmt.Sprintf("server=%s ready=%t capacity=%d", a.identity.Server, a.state.Ready, a.identity.Capacity)})
	for _, p := range d.sortedPlacements(func(p *placement) bool { return p.agent.name == e.Agent && p.agent != a }) {
		d.ended(p, session.Report{ID: p.id, Outcome: session.Lost, Reason: "its session ended"})
	}
}

// noteServing ends the outage of the agent's service, if it takes orders.
func (d *Dispatcher) noteServing(a *agent) {
	if a.state.Ready {
		d.noneSince[a.identity.Service] = time.Time{}
	}
}

// agentDown puts what the agent held in doubt until it must have ended.
func (d *Dispatcher) agentDown(e AgentDown) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	d.dropAgent(a, e.Reason)
	until := e.LastHeard.Add(d.opts.InDoubtTimeout)
	for _, p := range d.sortedPlacements(func(p *placement) bool { return p.agent == a }) {
		p.doubtEnds = until
		if j := p.job; !j.answered && !until.Add(d.expect(a, j.Estimate)).Before(j.deadline) {
			d.giveUp(j, structs.CodeAgentLost, "agent "+a.name+" is gone, and the task cannot end in time elsewhere")
		}
	}
}

func (d *Dispatcher) dropAgent(a *agent, reason string) {
	delete(d.agents, a.id)
	delete(d.orders, a.id)
	if i := slices.Index(d.order, a); i >= 0 {
		d.order = slices.Delete(d.order, i, i+1)
	}
	d.emit(LogEvent{Event: "agent_lost", Agent: a.name, Detail: fmt.Sprintf("reason=%q", reason)})
}

func (d *Dispatcher) orderReplied(e OrderReplied) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	for id, p := range a.pending {
		if p.number <= e.Number {
			delete(a.pending, id)
		}
	}
	d.observe(a, e.State)
}

func (d *Dispatcher) polled(e Polled) {
	a := d.agents[e.ID]
	if a == nil {
		return
	}
	d.observe(a, e.Reply.State)
	for _, r := range e.Reply.Reports {
		if p := d.placements[r.ID]; p != nil {
			d.ended(p, r)
		}
	}
}

// observe takes in a state, unless a newer one is known.
func (d *Dispatcher) observe(a *agent, s session.State) {
	if s.Identity != nil && s.Seq > a.identityAt {
		a.identity, a.identityAt = *s.Identity, s.Seq
	}
	if s.Seq <= a.state.Seq {
		return
	}
	if s.Ready != a.state.Ready || s.Identity != nil {
		d.agentCame = true
		d.emit(LogEvent{Event: "agent_changed", Agent: a.name, Detail: fmt.Sprintf("server=%s ready=%t capacity=%d", a.identity.Server, s.Ready, a.identity.Capacity)})
	}
	a.state = s
	a.stateAt = d.now
	d.noteServing(a)
	d.moveLaggards(a, s.Laggards)
	if s.Samples >= fewSamples {
		d.known[a.name] = knownSpeed{server: a.identity.Server, slowness: s.Slowness}
	}
}

// expect returns the run time of a task at an agent.
func (d *Dispatcher) expect(a *agent, estimate time.Duration) time.Duration {
	slow := a.state.Slowness
	if a.state.Samples < fewSamples {
		if k := d.known[a.name]; k.server == a.identity.Server && k.server != "" {
			slow = k.slowness
		}
	}
	return estimate * time.Duration(slow) / 1000
}

// notOvertaken selects what waits at the agent and could not be overtaken by a
// task that must end within the time without becoming late.
func (d *Dispatcher) notOvertaken(a *agent, within time.Duration) func(session.QueuedTask) bool {
	age := d.now.Sub(a.stateAt)
	return func(q session.QueuedTask) bool {
		return time.Duration(q.StartWithin)*time.Millisecond-age <= within
	}
}

// timeline returns when the agent has room: after what runs, what was sent to it
// since it told its state, and what waits there and goes first.
func (d *Dispatcher) timeline(a *agent, goesFirst func(session.QueuedTask) bool) *timeline.Timeline {
	age := d.now.Sub(a.stateAt)
	spans := make([]timeline.Release, 0, len(a.state.Running))
	for _, r := range a.state.Running {
		spans = append(spans, timeline.Release{At: time.Duration(r.Ms)*time.Millisecond - age, CPU: r.CPU})
	}
	t := timeline.New(a.state.FreeCPU, spans)
	for _, q := range a.state.Queue {
		if goesFirst(q) {
			t.Reserve(q.CPU, time.Duration(q.Ms)*time.Millisecond)
		}
	}
	for _, p := range sortedPending(a) {
		t.Reserve(p.job.CPU, d.expect(a, p.job.Estimate))
	}
	return t
}

func sortedPending(a *agent) []*placement {
	list := make([]*placement, 0, len(a.pending))
	for _, p := range a.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *placement) int { return cmp.Compare(x.id, y.id) })
	return list
}

// moveLaggards stops tasks that would make their job late where they run, and
// would not elsewhere. They are placed again when the agent reports their end.
func (d *Dispatcher) moveLaggards(a *agent, list []session.Straggler) {
	for _, l := range list {
		p := d.placements[l.ID]
		if p == nil || p.agent != a || p.stopped || p.job.answered || p.job.ending != nil || p.job.tasks[p.index].moves >= maxMoves {
			continue
		}
		j := p.job
		left := time.Duration(l.Ms) * time.Millisecond
		if !d.now.Add(left).After(j.objective) {
			continue
		}
		t := &j.tasks[p.index]
		t.avoid = append(t.avoid, a.name)
		plan, err := d.plan(j, []int{p.index}, j.deadline)
		if err != nil || plan[0].agent == a || plan[0].finish+moveMargin > left {
			t.avoid = t.avoid[:len(t.avoid)-1]
			continue
		}
		t.moves++
		d.emit(LogEvent{Event: "task_moved", Job: j.Name, Queue: j.Queue.Name, Agent: a.name,
			Detail: fmt.Sprintf("task=%d left_ms=%d elsewhere_ms=%d to=%s", p.index, l.Ms, plan[0].finish.Milliseconds(), plan[0].agent.name)})
		d.stopPlacement(p)
	}
}
