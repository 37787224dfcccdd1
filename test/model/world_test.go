package model_test

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	service = "faq"
	team    = "kariakoo"
)

// world is a whole system in one goroutine: reducers, wire, backend servers.
type world struct {
	wire
	now     time.Time
	nextRun structs.Incarnation
	entries []*entryNode
	agents  []*agentNode
	calls   []*call // entries' open RPCs
	callers []*pendingCall
	ids     []structs.JobID // reserved and known to callers
	byID    map[structs.JobID]*job
	judge   *judge
	record  structs.DocumentRecord // the newest revision
	// wrongDeath has entries take a home that does not answer for dead.
	wrongDeath bool
}

type entryNode struct {
	node
	index   int
	c       *coordinator.Coordinator
	nextID  coordinator.CallID
	waiting map[coordinator.CallID]*reply
	dials   map[structs.Incarnation]*agentNode // open links by the agent's run
	cut     map[*agentNode]bool                // no new connection can be made
	drained bool
}

// reply is where the answer to one event of a caller goes.
type reply struct {
	call   *pendingCall
	ids    func([]structs.JobID, *structs.Error)
	answer func(*structs.JobAnswer, *structs.Error)
}

type agentNode struct {
	node
	index   int
	slots   int
	x       *executor.Executor
	nextID  executor.CallID
	waiting map[executor.CallID]func(any)
	started map[structs.TaskID]*backendCall
	drained bool
}

// backendCall is a task on its way to, or at, the backend server.
type backendCall struct {
	run  structs.Incarnation
	over bool // the agent was told of its end
}

func newWorld(entries, agents int, total *tally) *world {
	w := &world{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byID:  make(map[structs.JobID]*job),
		judge: newJudge(total),
	}
	for i := range agents {
		a := &agentNode{index: i, slots: 1 + i%2}
		a.name = fmt.Sprintf("agent-%d", i)
		w.agents = append(w.agents, a)
	}
	for i := range entries {
		e := &entryNode{index: i, cut: make(map[*agentNode]bool)}
		e.name = fmt.Sprintf("entry-%d", i)
		w.entries = append(w.entries, e)
	}
	w.record = newRecord(1, "")
	for _, a := range w.agents {
		w.startAgent(a)
	}
	for _, e := range w.entries {
		w.startEntry(e)
	}
	return w
}

// newRecord returns a revision of the service's document with more TOML lines.
func newRecord(revision uint64, lines string) structs.DocumentRecord {
	return structs.DocumentRecord{
		Service:  service,
		Revision: revision,
		Offset:   revision * 10,
		EditID:   fmt.Sprintf("edit-%d", revision),
		Text:     fmt.Sprintf("service = %q\nowner = \"kilimo\"\n%s", service, lines),
	}
}

func (w *world) draw() structs.Incarnation {
	w.nextRun++
	return w.nextRun
}

func (w *world) startEntry(e *entryNode) {
	e.run = w.draw()
	e.up, e.paused, e.drained = true, false, false
	e.waiting = make(map[coordinator.CallID]*reply)
	e.dials = make(map[structs.Incarnation]*agentNode)
	e.c = newCoordinator(w.entryInfo(e), uint64(e.run))
	w.logf("start %s as %v", e.name, e.run)
	w.document(e, w.record)
	w.peers()
	for _, a := range w.agents {
		w.announce(a, e)
	}
}

func (w *world) startAgent(a *agentNode) {
	a.run = w.draw()
	a.up, a.paused, a.drained = true, false, false
	a.waiting = make(map[executor.CallID]func(any))
	a.started = make(map[structs.TaskID]*backendCall)
	a.x = newExecutor(w.agentInfo(a))
	w.logf("start %s as %v", a.name, a.run)
	for _, e := range w.entries {
		w.announce(a, e)
	}
}

func (w *world) entryInfo(e *entryNode) structs.EntryInfo {
	return structs.EntryInfo{
		Name: e.name, Incarnation: e.run, Zone: "zone-a", Region: "region-1",
		RPCAddr: e.name, HTTPAddr: e.name,
	}
}

func (w *world) agentInfo(a *agentNode) structs.AgentInfo {
	return structs.AgentInfo{
		Name: a.name, Incarnation: a.run, Service: service, Team: "kilimo",
		Zone: "zone-a", Region: "region-1", RPCAddr: a.name, Slots: a.slots,
	}
}

// peers tells every live entry of the present runs of all.
func (w *world) peers() {
	var infos []structs.EntryInfo
	for _, e := range w.entries {
		if e.up {
			infos = append(infos, w.entryInfo(e))
		}
	}
	for _, e := range w.entries {
		w.send(&packet{
			label: "peers to " + e.name, to: &e.node,
			deliver: func() { w.stepEntry(e, coordinator.PeersChanged{Entries: infos}) },
		})
	}
}

func (w *world) announce(a *agentNode, e *entryNode) {
	if !a.up || a.paused {
		return
	}
	info := w.agentInfo(a)
	w.send(&packet{
		label: fmt.Sprintf("announcement of %s (%v) to %s", a.name, a.run, e.name), to: &e.node,
		deliver: func() { w.stepEntry(e, coordinator.AgentAnnounced{Info: info}) },
	})
}

func (w *world) document(e *entryNode, r structs.DocumentRecord) {
	doc, err := document.Parse(r.Text)
	if err != nil {
		panic(err)
	}
	w.send(&packet{
		label: fmt.Sprintf("revision %d to %s", r.Revision, e.name), to: &e.node,
		deliver: func() { w.stepEntry(e, coordinator.DocumentChanged{Record: r, Document: doc}) },
	})
}

// stepEntry lets the entry's reducer take one event and carries out its effects.
func (w *world) stepEntry(e *entryNode, ev coordinator.Event) {
	for _, ef := range e.c.Step(w.now, ev) {
		w.entryEffect(e, ef)
	}
}

func (w *world) entryEffect(e *entryNode, ef coordinator.Effect) {
	switch ef := ef.(type) {
	case coordinator.ReplyIDs:
		if r := w.replyOf(e, ef.Call); r != nil {
			r.ids(ef.IDs, ef.Error)
		}
	case coordinator.Reply:
		if r := w.replyOf(e, ef.Call); r != nil {
			r.answer(ef.Answer, ef.Error)
		}
	case coordinator.Forward:
		w.forward(e, ef)
	case coordinator.Run:
		w.runTask(e, ef)
	case coordinator.Await:
		w.await(e, ef)
	case coordinator.Settle:
		w.settle(e, ef)
	case coordinator.Query:
		w.query(e, ef)
	case coordinator.QueryAwait:
		w.queryAwait(e, ef)
	case coordinator.Heartbeat:
		w.heartbeat(e, ef)
	case coordinator.ConnectAgent:
		e.dials[ef.Info.Incarnation] = w.agentAt(ef.Info.RPCAddr)
	case coordinator.DropAgent:
		delete(e.dials, ef.Agent)
		w.breakCalls(e, ef.Agent)
	case coordinator.PushDocument:
		w.push(e, ef.Agent, ef.Record)
	case coordinator.FetchDocument:
		w.push(e, ef.Agent, structs.DocumentRecord{})
	case coordinator.Drained:
		e.drained = true
	case coordinator.LogEvent:
	default:
		w.judge.faultf("%s: effect %T is unknown to the model", e.name, ef)
	}
}

func (w *world) replyOf(e *entryNode, id coordinator.CallID) *reply {
	r := e.waiting[id]
	if r == nil {
		w.judge.faultf("%s: reply to call %d, which is not pending", e.name, id)
		return nil
	}
	delete(e.waiting, id)
	return r
}

func (w *world) agentAt(addr string) *agentNode {
	for _, a := range w.agents {
		if a.name == addr {
			return a
		}
	}
	return nil
}

// breakCalls breaks the entry's open RPCs to an agent's run, as a lost
// connection does.
func (w *world) breakCalls(e *entryNode, agent structs.Incarnation) {
	for _, c := range append([]*call(nil), w.calls...) {
		if c.entry == e && c.from == e.run && c.agent == agent {
			c.broken()
		}
	}
	w.sweep()
}

// sweep forgets calls that are over and those of runs that are gone.
func (w *world) sweep() {
	kept := w.calls[:0]
	for _, c := range w.calls {
		if !c.over && c.from == c.entry.run && c.entry.up {
			kept = append(kept, c)
		}
	}
	w.calls = kept
}

// event queues an event that the entry's own shell raises.
func (w *world) event(e *entryNode, run structs.Incarnation, ev coordinator.Event) {
	w.send(&packet{
		label: fmt.Sprintf("%T to %s", ev, e.name), to: &e.node, local: run, single: true,
		deliver: func() { w.stepEntry(e, ev) },
	})
}

// invoke sends an RPC of the entry to the agent's run: request is what the
// agent's reducer gets, done what the entry's reducer gets of the reply, and
// failed what it gets if there is none.
func (w *world) invoke(
	e *entryNode, agent structs.Incarnation, what string,
	request func(executor.CallID) executor.Event, done func(any) coordinator.Event, failed coordinator.Event,
) {
	run := e.run
	c := &call{label: what, entry: e, from: run, agent: agent}
	c.fail = func() {
		if failed != nil {
			w.event(e, run, failed)
		}
	}
	a := e.dials[agent]
	if a == nil || e.cut[a] {
		c.broken()
		return
	}
	w.calls = append(w.calls, c)
	w.send(&packet{
		label: fmt.Sprintf("%s from %s to %s", what, e.name, a.name), to: &a.node, lost: c.broken,
		deliver: func() { w.serve(a, c, request, done) },
	})
}

func (w *world) serve(
	a *agentNode, c *call, request func(executor.CallID) executor.Event, done func(any) coordinator.Event,
) {
	c.server, c.servedBy = a, a.run
	a.nextID++
	id := a.nextID
	a.waiting[id] = func(m any) {
		w.send(&packet{
			label: fmt.Sprintf("reply to %s from %s to %s", c.label, a.name, c.entry.name),
			to:    &c.entry.node, lost: c.broken, single: true,
			deliver: func() {
				if c.over || c.from != c.entry.run {
					return
				}
				c.over = true
				w.stepEntry(c.entry, done(m))
			},
		})
	}
	w.stepAgent(a, request(id))
}

func (w *world) runTask(e *entryNode, ef coordinator.Run) {
	q := ef.Request
	ref := structs.TaskRef{Task: q.Task, Attempt: q.Attempt}
	if q.Task.Job.Home != e.run {
		w.judge.faultf("%s (%v) places task %v of another home", e.name, e.run, q.Task)
	}
	if a := e.dials[ef.Agent]; a == nil || e.cut[a] {
		w.event(e, e.run, coordinator.RunNotSent{Agent: ef.Agent, Ref: ref})
		return
	}
	w.invoke(e, ef.Agent, fmt.Sprintf("Run %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.RunCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.RunReplied{Agent: ef.Agent, Ref: ref, Reply: *m.(*structs.RunReply)}
		},
		coordinator.RunInDoubt{Agent: ef.Agent, Ref: ref})
}

func (w *world) await(e *entryNode, ef coordinator.Await) {
	q := structs.AwaitRequest{Agent: ef.Agent, Task: ef.Ref.Task, Attempt: ef.Ref.Attempt}
	w.invoke(e, ef.Agent, fmt.Sprintf("Await %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.AwaitCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.RunReplied{Agent: ef.Agent, Ref: ef.Ref, Reply: *m.(*structs.RunReply)}
		},
		coordinator.RunInDoubt(ef))
}

func (w *world) settle(e *entryNode, ef coordinator.Settle) {
	q := ef.Request
	w.invoke(e, ef.Agent, fmt.Sprintf("Settle %v mode %d", q.Tasks, q.Mode),
		func(id executor.CallID) executor.Event { return executor.SettleCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.SettleReplied{Agent: ef.Agent, Tasks: q.Tasks, Reply: *m.(*structs.SettleReply)}
		},
		coordinator.SettleFailed{Agent: ef.Agent, Tasks: q.Tasks})
}

func (w *world) query(e *entryNode, ef coordinator.Query) {
	q := ef.Request
	w.invoke(e, ef.Agent, fmt.Sprintf("Fence %v close %v", q.Job, q.Close),
		func(id executor.CallID) executor.Event { return executor.FenceCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.QueryReplied{Call: ef.Call, Agent: ef.Agent, Reply: *m.(*structs.SettleReply)}
		},
		coordinator.QueryFailed{Call: ef.Call, Agent: ef.Agent})
}

func (w *world) queryAwait(e *entryNode, ef coordinator.QueryAwait) {
	q := structs.AwaitRequest{Agent: ef.Agent, Task: ef.Ref.Task, Attempt: ef.Ref.Attempt}
	w.invoke(e, ef.Agent, fmt.Sprintf("QueryAwait %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.AwaitCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.QueryAwaited{
				Call: ef.Call, Agent: ef.Agent, Ref: ef.Ref, Reply: *m.(*structs.RunReply),
			}
		},
		coordinator.QueryFailed(ef))
}

func (w *world) heartbeat(e *entryNode, ef coordinator.Heartbeat) {
	q := structs.HeartbeatRequest{
		Agent: ef.Agent, Entry: w.entryInfo(e), Watermark: ef.Watermark, Revision: ef.Revision,
	}
	w.invoke(e, ef.Agent, "Heartbeat",
		func(id executor.CallID) executor.Event { return executor.HeartbeatCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.AgentStateReceived{Agent: ef.Agent, State: m.(*structs.HeartbeatReply).State}
		},
		coordinator.HeartbeatFailed{Agent: ef.Agent})
}

// push hands the agent a revision, or asks for its newest if r is zero.
func (w *world) push(e *entryNode, agent structs.Incarnation, r structs.DocumentRecord) {
	w.invoke(e, agent, fmt.Sprintf("Document %d", r.Revision),
		func(id executor.CallID) executor.Event { return executor.DocumentCalled{Call: id, Record: r} },
		func(m any) coordinator.Event {
			newest := m.(*structs.DocumentReply).Record
			if newest.Revision > 0 {
				w.document(e, newest)
			}
			return coordinator.AgentStateReceived{Agent: agent, State: m.(*structs.DocumentReply).State}
		}, nil)
}

// stepAgent lets the agent's reducer take one event and carries out its effects.
func (w *world) stepAgent(a *agentNode, ev executor.Event) {
	for _, ef := range a.x.Step(w.now, ev) {
		w.agentEffect(a, ef)
	}
}

func (w *world) agentEffect(a *agentNode, ef executor.Effect) {
	switch ef := ef.(type) {
	case executor.StartTask:
		w.startBackend(a, ef)
	case executor.StopTask:
		w.stopBackend(a, ef.Task)
	case executor.Reply:
		answer := a.waiting[ef.Call]
		if answer == nil {
			w.judge.faultf("%s: reply to call %d, which is not pending", a.name, ef.Call)
			return
		}
		delete(a.waiting, ef.Call)
		answer(ef.Message)
	case executor.Announce:
		run, state := a.run, ef.State
		for _, e := range w.entries {
			w.send(&packet{
				label: fmt.Sprintf("state of %s to %s", a.name, e.name), to: &e.node,
				deliver: func() { w.stepEntry(e, coordinator.AgentStateReceived{Agent: run, State: state}) },
			})
		}
	case executor.Drained:
		a.drained = true
	case executor.LogEvent:
	default:
		w.judge.faultf("%s: effect %T is unknown to the model", a.name, ef)
	}
}
