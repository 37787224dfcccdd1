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

// simulation is a whole system in one goroutine: reducers, network and backend
// servers.
type simulation struct {
	network
	now             time.Time
	lastIncarnation structs.Incarnation
	entries         []*entryNode
	agents          []*agentNode
	rpcs            []*rpcCall // open RPCs from entries to agents
	callerRequests  []*pendingCall
	ids             []structs.JobID // reserved ids that callers have received
	byID            map[structs.JobID]*job
	checker         *checker
	latestRecord    structs.DocumentRecord // the latest revision
	// falseDeaths makes entries assume that a home that does not answer has
	// ended.
	falseDeaths bool
}

type entryNode struct {
	node
	c           *coordinator.Coordinator
	nextID      coordinator.CallID
	openCalls   map[coordinator.CallID]*replyHandler
	connections map[structs.Incarnation]*agentNode // open connections by the agent's incarnation
	blockRPCs   map[*agentNode]bool                // agents to which new RPCs fail
}

// replyHandler receives the reply to one call of a caller.
type replyHandler struct {
	call   *pendingCall
	ids    func([]structs.JobID, *structs.Error)
	answer func(*structs.JobAnswer, *structs.Error)
}

type agentNode struct {
	node
	slots     int
	x         *executor.Executor
	nextID    executor.CallID
	openCalls map[executor.CallID]func(any)
	started   map[structs.TaskID]*backendCall
}

// backendCall is a task in flight to, or running at, the backend server.
type backendCall struct {
	incarnation structs.Incarnation
	ended       bool // the agent has been sent its end
}

func newSimulation(entries, agents int, stats *statistics) *simulation {
	sim := &simulation{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byID:    make(map[structs.JobID]*job),
		checker: newChecker(stats),
	}
	for i := range agents {
		a := &agentNode{slots: 1 + i%2}
		a.name = fmt.Sprintf("agent-%d", i)
		sim.agents = append(sim.agents, a)
	}
	for i := range entries {
		e := &entryNode{blockRPCs: make(map[*agentNode]bool)}
		e.name = fmt.Sprintf("entry-%d", i)
		sim.entries = append(sim.entries, e)
	}
	sim.latestRecord = newRecord(1, "")
	for _, a := range sim.agents {
		sim.startAgent(a)
	}
	for _, e := range sim.entries {
		sim.startEntry(e)
	}
	return sim
}

// newRecord returns a revision of the service's document with additional TOML
// lines.
func newRecord(revision uint64, lines string) structs.DocumentRecord {
	return structs.DocumentRecord{
		Service:  service,
		Revision: revision,
		Offset:   revision * 10,
		EditID:   fmt.Sprintf("edit-%d", revision),
		Text:     fmt.Sprintf("service = %q\nowner = \"kilimo\"\n%s", service, lines),
	}
}

func (sim *simulation) nextIncarnation() structs.Incarnation {
	sim.lastIncarnation++
	return sim.lastIncarnation
}

func (sim *simulation) startEntry(e *entryNode) {
	e.incarnation = sim.nextIncarnation()
	e.up, e.paused = true, false
	e.openCalls = make(map[coordinator.CallID]*replyHandler)
	e.connections = make(map[structs.Incarnation]*agentNode)
	e.c = newCoordinator(sim.entryInfo(e), uint64(e.incarnation))
	sim.logf("start %s as %v", e.name, e.incarnation)
	sim.document(e, sim.latestRecord)
	sim.sendPeers()
	for _, a := range sim.agents {
		sim.announce(a, e)
	}
}

func (sim *simulation) startAgent(a *agentNode) {
	a.incarnation = sim.nextIncarnation()
	a.up, a.paused = true, false
	a.openCalls = make(map[executor.CallID]func(any))
	a.started = make(map[structs.TaskID]*backendCall)
	a.x = newExecutor(sim.agentInfo(a))
	sim.logf("start %s as %v", a.name, a.incarnation)
	for _, e := range sim.entries {
		sim.announce(a, e)
	}
}

func (sim *simulation) entryInfo(e *entryNode) structs.EntryInfo {
	return structs.EntryInfo{
		Name: e.name, Incarnation: e.incarnation, Zone: "zone-a", Region: "region-1",
		RPCAddr: e.name, HTTPAddr: e.name,
	}
}

func (sim *simulation) agentInfo(a *agentNode) structs.AgentInfo {
	return structs.AgentInfo{
		Name: a.name, Incarnation: a.incarnation, Service: service, Team: "kilimo",
		Zone: "zone-a", Region: "region-1", RPCAddr: a.name, Slots: a.slots,
	}
}

// sendPeers sends every entry the list of the live entries' current
// incarnations.
func (sim *simulation) sendPeers() {
	var infos []structs.EntryInfo
	for _, e := range sim.entries {
		if e.up {
			infos = append(infos, sim.entryInfo(e))
		}
	}
	for _, e := range sim.entries {
		sim.send(&packet{
			label: "peers to " + e.name, to: &e.node,
			deliver: func() { sim.stepEntry(e, coordinator.PeersChanged{Entries: infos}) },
		})
	}
}

func (sim *simulation) announce(a *agentNode, e *entryNode) {
	if !a.up || a.paused {
		return
	}
	info := sim.agentInfo(a)
	sim.send(&packet{
		label: fmt.Sprintf("announcement of %s (%v) to %s", a.name, a.incarnation, e.name), to: &e.node,
		deliver: func() { sim.stepEntry(e, coordinator.AgentAnnounced{Info: info}) },
	})
}

func (sim *simulation) document(e *entryNode, r structs.DocumentRecord) {
	doc, err := document.Parse(r.Text)
	if err != nil {
		panic(err)
	}
	sim.send(&packet{
		label: fmt.Sprintf("revision %d to %s", r.Revision, e.name), to: &e.node,
		deliver: func() { sim.stepEntry(e, coordinator.DocumentChanged{Record: r, Document: doc}) },
	})
}

// stepEntry applies one event to the entry's reducer and carries out the
// effects.
func (sim *simulation) stepEntry(e *entryNode, ev coordinator.Event) {
	for _, ef := range e.c.Step(sim.now, ev) {
		sim.entryEffect(e, ef)
	}
}

func (sim *simulation) entryEffect(e *entryNode, ef coordinator.Effect) {
	switch ef := ef.(type) {
	case coordinator.ReplyIDs:
		if r := sim.removeReplyHandler(e, ef.Call); r != nil {
			r.ids(ef.IDs, ef.Error)
		}
	case coordinator.Reply:
		if r := sim.removeReplyHandler(e, ef.Call); r != nil {
			r.answer(ef.Answer, ef.Error)
		}
	case coordinator.Forward:
		sim.forward(e, ef)
	case coordinator.Run:
		sim.runTask(e, ef)
	case coordinator.Await:
		sim.await(e, ef)
	case coordinator.Settle:
		sim.settle(e, ef)
	case coordinator.Query:
		sim.query(e, ef)
	case coordinator.QueryAwait:
		sim.queryAwait(e, ef)
	case coordinator.Heartbeat:
		sim.heartbeat(e, ef)
	case coordinator.ConnectAgent:
		e.connections[ef.Info.Incarnation] = sim.agentAt(ef.Info.RPCAddr)
	case coordinator.DropAgent:
		delete(e.connections, ef.Agent)
		sim.disconnectCalls(e, ef.Agent)
	case coordinator.PushDocument:
		sim.pushDocument(e, ef.Agent, ef.Record)
	case coordinator.FetchDocument:
		sim.pushDocument(e, ef.Agent, structs.DocumentRecord{})
	case coordinator.Drained, coordinator.LogEvent:
	default:
		sim.checker.violationf("%s: effect %T is not simulated", e.name, ef)
	}
}

func (sim *simulation) removeReplyHandler(e *entryNode, id coordinator.CallID) *replyHandler {
	r := e.openCalls[id]
	if r == nil {
		sim.checker.violationf("%s: reply to call %d, which has no open request", e.name, id)
		return nil
	}
	delete(e.openCalls, id)
	return r
}

func (sim *simulation) agentAt(addr string) *agentNode {
	for _, a := range sim.agents {
		if a.name == addr {
			return a
		}
	}
	return nil
}

// disconnectCalls fails the entry's open RPCs to an agent incarnation, as a
// lost connection does.
func (sim *simulation) disconnectCalls(e *entryNode, agent structs.Incarnation) {
	for _, c := range append([]*rpcCall(nil), sim.rpcs...) {
		if c.entry == e && c.entryIncarnation == e.incarnation && c.agent == agent {
			c.disconnect()
		}
	}
	sim.removeEndedCalls()
}

// removeEndedCalls removes RPCs that have ended and those of entry incarnations
// that have ended.
func (sim *simulation) removeEndedCalls() {
	kept := sim.rpcs[:0]
	for _, c := range sim.rpcs {
		if !c.ended && c.entryIncarnation == c.entry.incarnation && c.entry.up {
			kept = append(kept, c)
		}
	}
	sim.rpcs = kept
}

// enqueueEvent queues an event that the entry's own process raises.
func (sim *simulation) enqueueEvent(e *entryNode, incarnation structs.Incarnation, ev coordinator.Event) {
	sim.send(&packet{
		label: fmt.Sprintf("%T to %s", ev, e.name), to: &e.node, local: incarnation, single: true,
		deliver: func() { sim.stepEntry(e, ev) },
	})
}

// invoke sends an RPC from the entry to the agent incarnation. request returns
// the event for the agent's reducer, and done the event for the entry's reducer
// made of the reply. If there is no reply, the entry's reducer gets failed,
// unless it is nil.
func (sim *simulation) invoke(
	e *entryNode, agent structs.Incarnation, description string,
	request func(executor.CallID) executor.Event, done func(any) coordinator.Event, failed coordinator.Event,
) {
	incarnation := e.incarnation
	c := &rpcCall{label: description, entry: e, entryIncarnation: incarnation, agent: agent}
	c.onDisconnect = func() {
		if failed != nil {
			sim.enqueueEvent(e, incarnation, failed)
		}
	}
	a := e.connections[agent]
	if a == nil || e.blockRPCs[a] {
		c.disconnect()
		return
	}
	sim.rpcs = append(sim.rpcs, c)
	sim.send(&packet{
		label: fmt.Sprintf("%s from %s to %s", description, e.name, a.name), to: &a.node, lost: c.disconnect,
		deliver: func() { sim.serve(a, c, request, done) },
	})
}

func (sim *simulation) serve(
	a *agentNode, c *rpcCall, request func(executor.CallID) executor.Event, done func(any) coordinator.Event,
) {
	c.server, c.serverIncarnation = a, a.incarnation
	a.nextID++
	id := a.nextID
	a.openCalls[id] = func(m any) {
		sim.send(&packet{
			label: fmt.Sprintf("reply to %s from %s to %s", c.label, a.name, c.entry.name),
			to:    &c.entry.node, lost: c.disconnect, single: true,
			deliver: func() {
				if c.ended || c.entryIncarnation != c.entry.incarnation {
					return
				}
				c.ended = true
				sim.stepEntry(c.entry, done(m))
			},
		})
	}
	sim.stepAgent(a, request(id))
}

func (sim *simulation) runTask(e *entryNode, ef coordinator.Run) {
	q := ef.Request
	ref := structs.TaskRef{Task: q.Task, Attempt: q.Attempt}
	if q.Task.Job.Home != e.incarnation {
		sim.checker.violationf("%s (%v) places task %v of another home", e.name, e.incarnation, q.Task)
	}
	if a := e.connections[ef.Agent]; a == nil || e.blockRPCs[a] {
		sim.enqueueEvent(e, e.incarnation, coordinator.RunNotSent{Agent: ef.Agent, Ref: ref})
		return
	}
	sim.invoke(e, ef.Agent, fmt.Sprintf("Run %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.RunCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.RunReplied{Agent: ef.Agent, Ref: ref, Reply: *m.(*structs.RunReply)}
		},
		coordinator.RunInDoubt{Agent: ef.Agent, Ref: ref})
}

func (sim *simulation) await(e *entryNode, ef coordinator.Await) {
	q := structs.AwaitRequest{Agent: ef.Agent, Task: ef.Ref.Task, Attempt: ef.Ref.Attempt}
	sim.invoke(e, ef.Agent, fmt.Sprintf("Await %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.AwaitCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.RunReplied{Agent: ef.Agent, Ref: ef.Ref, Reply: *m.(*structs.RunReply)}
		},
		coordinator.RunInDoubt(ef))
}

func (sim *simulation) settle(e *entryNode, ef coordinator.Settle) {
	q := ef.Request
	sim.invoke(e, ef.Agent, fmt.Sprintf("Settle %v mode %d", q.Tasks, q.Mode),
		func(id executor.CallID) executor.Event { return executor.SettleCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.SettleReplied{Agent: ef.Agent, Tasks: q.Tasks, Reply: *m.(*structs.SettleReply)}
		},
		coordinator.SettleFailed{Agent: ef.Agent, Tasks: q.Tasks})
}

func (sim *simulation) query(e *entryNode, ef coordinator.Query) {
	q := ef.Request
	sim.invoke(e, ef.Agent, fmt.Sprintf("Fence %v close %v", q.Job, q.Close),
		func(id executor.CallID) executor.Event { return executor.FenceCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.QueryReplied{Call: ef.Call, Agent: ef.Agent, Reply: *m.(*structs.SettleReply)}
		},
		coordinator.QueryFailed{Call: ef.Call, Agent: ef.Agent})
}

func (sim *simulation) queryAwait(e *entryNode, ef coordinator.QueryAwait) {
	q := structs.AwaitRequest{Agent: ef.Agent, Task: ef.Ref.Task, Attempt: ef.Ref.Attempt}
	sim.invoke(e, ef.Agent, fmt.Sprintf("QueryAwait %v#%d", q.Task, q.Attempt),
		func(id executor.CallID) executor.Event { return executor.AwaitCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.QueryAwaitReplied{
				Call: ef.Call, Agent: ef.Agent, Ref: ef.Ref, Reply: *m.(*structs.RunReply),
			}
		},
		coordinator.QueryFailed(ef))
}

func (sim *simulation) heartbeat(e *entryNode, ef coordinator.Heartbeat) {
	q := structs.HeartbeatRequest{
		Agent: ef.Agent, Entry: sim.entryInfo(e), Watermark: ef.Watermark, Revision: ef.Revision,
	}
	sim.invoke(e, ef.Agent, "Heartbeat",
		func(id executor.CallID) executor.Event { return executor.HeartbeatCalled{Call: id, Request: q} },
		func(m any) coordinator.Event {
			return coordinator.AgentStateReceived{Agent: ef.Agent, State: m.(*structs.HeartbeatReply).State}
		},
		coordinator.HeartbeatFailed{Agent: ef.Agent})
}

// pushDocument sends the agent a revision, or asks for its latest if r is zero.
func (sim *simulation) pushDocument(e *entryNode, agent structs.Incarnation, r structs.DocumentRecord) {
	sim.invoke(e, agent, fmt.Sprintf("Document %d", r.Revision),
		func(id executor.CallID) executor.Event { return executor.DocumentCalled{Call: id, Record: r} },
		func(m any) coordinator.Event {
			newest := m.(*structs.DocumentReply).Record
			if newest.Revision > 0 {
				sim.document(e, newest)
			}
			return coordinator.AgentStateReceived{Agent: agent, State: m.(*structs.DocumentReply).State}
		}, nil)
}

// stepAgent applies one event to the agent's reducer and carries out the
// effects.
func (sim *simulation) stepAgent(a *agentNode, ev executor.Event) {
	for _, ef := range a.x.Step(sim.now, ev) {
		sim.agentEffect(a, ef)
	}
}

func (sim *simulation) agentEffect(a *agentNode, ef executor.Effect) {
	switch ef := ef.(type) {
	case executor.StartTask:
		sim.startBackend(a, ef)
	case executor.StopTask:
		sim.stopBackend(a, ef.Task)
	case executor.Reply:
		answer := a.openCalls[ef.Call]
		if answer == nil {
			sim.checker.violationf("%s: reply to call %d, which has no open request", a.name, ef.Call)
			return
		}
		delete(a.openCalls, ef.Call)
		answer(ef.Message)
	case executor.Announce:
		incarnation, state := a.incarnation, ef.State
		for _, e := range sim.entries {
			sim.send(&packet{
				label: fmt.Sprintf("state of %s to %s", a.name, e.name), to: &e.node,
				deliver: func() { sim.stepEntry(e, coordinator.AgentStateReceived{Agent: incarnation, State: state}) },
			})
		}
	case executor.Drained, executor.LogEvent:
	default:
		sim.checker.violationf("%s: effect %T is not simulated", a.name, ef)
	}
}
