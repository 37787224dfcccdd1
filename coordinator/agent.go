package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// agent is one agent process as this entry sees it. A restarted agent is a new
// process with its own incarnation.
type agent struct {
	info        structs.AgentInfo
	service     *service
	state       structs.AgentState
	lastContact time.Time // when the agent last sent anything
	// unansweredSince is when the oldest heartbeat was sent since the agent was
	// last heard from; zero if there is none.
	unansweredSince time.Time
	// suspect reports that the last heartbeat failed or a Run could not be
	// sent.
	suspect           bool
	fenced            bool // the agent has fenced this entry and refuses its tasks
	replaced          bool // another process answers at its address
	leaving           bool // as last reported to the policy
	lastHeartbeat     time.Time
	heartbeatInFlight bool
	push              documentTransfer
	fetch             documentTransfer
	// attempts holds the attempts sent to the agent whose outcome it has not
	// reported yet, with the time of sending. Their jobs may already be final.
	attempts map[structs.TaskRef]time.Time
	// settlePending holds the attempts to settle next, settleInFlight those
	// whose settle is in flight.
	settlePending  map[structs.TaskRef]structs.SettleMode
	settleInFlight map[structs.TaskRef]structs.SettleMode
	nextSettle     time.Time
	lastRecall     time.Time // when waiting tasks were last recalled
}

// usable reports whether the agent may get new tasks.
func (a *agent) usable() bool { return !a.leaving }

// addAgent registers an agent process.
func (c *Coordinator) addAgent(info structs.AgentInfo) {
	if c.agents[info.Incarnation] != nil {
		return
	}
	c.probeAgentsAt(info)
	a := &agent{
		info:           info,
		service:        c.service(info.Service),
		lastContact:    c.now,
		attempts:       make(map[structs.TaskRef]time.Time),
		settlePending:  make(map[structs.TaskRef]structs.SettleMode),
		settleInFlight: make(map[structs.TaskRef]structs.SettleMode),
	}
	a.state.Slots = info.Slots
	c.agents[info.Incarnation] = a
	c.agentList = append(c.agentList, a)
	a.service.agents = append(a.service.agents, a)
	a.service.policy.Add(info)
	c.emit(ConnectAgent{Info: info})
	c.emit(LogEvent{Event: "agent_up", Task: noTask, Agent: info.Incarnation, Detail: info.Name})
	c.updateEligibility(a)
	c.sendHeartbeat(a)
}

// probeAgentsAt sends heartbeats to the earlier processes at the same address.
// If the new process answers, they have been replaced.
func (c *Coordinator) probeAgentsAt(info structs.AgentInfo) {
	for _, a := range c.agentList {
		if a.info.RPCAddr == info.RPCAddr {
			c.sendHeartbeat(a)
		}
	}
}

// agentStateReceived handles a state that came without the reply to a Run,
// Await or Settle.
func (c *Coordinator) agentStateReceived(id structs.Incarnation, s structs.AgentState) {
	a := c.agents[id]
	if a == nil {
		return
	}
	a.heartbeatInFlight = false
	c.updateState(a, s)
}

// updateState applies a state if it is newer than the last one. It returns
// false if the state is of another incarnation, which means that the agent
// process has been replaced.
func (c *Coordinator) updateState(a *agent, s structs.AgentState) bool {
	if s.Incarnation != a.info.Incarnation {
		c.replaceAgent(a)
		return false
	}
	a.lastContact = c.now
	a.unansweredSince = time.Time{}
	a.suspect = false
	if s.Seq <= a.state.Seq {
		c.updateEligibility(a)
		return true
	}
	a.state = s
	a.service.policy.Observe(c.now, a.info.Incarnation, s)
	c.updateEligibility(a)
	c.syncDocument(a)
	return true
}

// updateEligibility reports a change to the policy if the agent starts or stops
// being eligible for new tasks.
func (c *Coordinator) updateEligibility(a *agent) {
	leaving := a.state.Leaving || a.suspect || a.fenced || a.replaced
	if doc := a.service.doc; doc != nil {
		leaving = leaving || doc.Leaving(a.info.Name, c.now)
	}
	if leaving != a.leaving {
		a.leaving = leaving
		a.service.policy.SetLeaving(a.info.Incarnation, leaving)
	}
}

// sendHeartbeat sends a heartbeat unless one is in flight.
func (c *Coordinator) sendHeartbeat(a *agent) {
	if a.heartbeatInFlight {
		return
	}
	a.heartbeatInFlight = true
	a.lastHeartbeat = c.now
	if a.unansweredSince.IsZero() {
		a.unansweredSince = c.now
	}
	c.emit(Heartbeat{
		Agent:     a.info.Incarnation,
		Watermark: c.ids.watermark,
		Revision:  a.service.record.Revision,
	})
}

// heartbeatFailed marks the agent suspect. It gets no tasks until it answers.
func (c *Coordinator) heartbeatFailed(id structs.Incarnation) {
	a := c.agents[id]
	if a == nil {
		return
	}
	a.heartbeatInFlight = false
	a.suspect = true
	c.updateEligibility(a)
}

// tickAgent sends due heartbeats and drops an agent that has been replaced or
// does not answer for AgentLostAfter.
func (c *Coordinator) tickAgent(a *agent) {
	if a.replaced && len(a.attempts) == 0 {
		c.dropAgent(a, "replaced")
		return
	}
	if !a.unansweredSince.IsZero() && c.now.Sub(a.unansweredSince) > c.opts.AgentLostAfter {
		c.dropAgent(a, "lost")
		return
	}
	c.updateEligibility(a)
	c.syncDocument(a)
	if c.now.Sub(a.lastHeartbeat) >= c.heartbeatInterval(a) {
		c.sendHeartbeat(a)
	}
}

// heartbeatInterval returns ProbeAfter if the agent is suspect or is silent
// with attempts outstanding, and HeartbeatInterval otherwise.
func (c *Coordinator) heartbeatInterval(a *agent) time.Duration {
	if a.suspect {
		return c.opts.ProbeAfter
	}
	if len(a.attempts) > 0 && c.now.Sub(a.lastContact) >= c.opts.ProbeAfter {
		return c.opts.ProbeAfter
	}
	return c.opts.HeartbeatInterval
}

// replaceAgent ends the in-doubt attempts of an agent process that another
// process has replaced: their records ended with the process. The other
// attempts end when their calls do, either refused by the new process or with a
// broken connection.
func (c *Coordinator) replaceAgent(a *agent) {
	a.replaced = true
	c.updateEligibility(a)
	clear(a.settlePending)
	clear(a.settleInFlight)
	for _, ref := range sortedRefs(a.attempts) {
		_, t := c.heldTask(a.info.Incarnation, ref)
		if t == nil || t.phase == inDoubt {
			c.attemptLost(a, ref, replacedError(a))
		}
	}
}

func replacedError(a *agent) *structs.Error {
	return structs.Errorf(structs.CodeAgentLost, structs.MayHaveRun, "agent %s was replaced by a new process before it reported the task's outcome", a.info.Name)
}

// dropAgent removes an agent process that was lost or replaced. Tasks that it
// held and did not answer may have run.
func (c *Coordinator) dropAgent(a *agent, reason string) {
	id := a.info.Incarnation
	delete(c.agents, id)
	c.agentList = withoutAgent(c.agentList, a)
	a.service.agents = withoutAgent(a.service.agents, a)
	a.service.policy.Remove(id)
	c.emit(DropAgent{Agent: id})
	c.removeFromRecoveries(id, a.replaced)
	c.emit(LogEvent{Event: "agent_gone", Task: noTask, Agent: id, Detail: a.info.Name + ": " + reason})
	for _, ref := range sortedRefs(a.attempts) {
		err := structs.Errorf(structs.CodeAgentLost, structs.MayHaveRun, "agent %s was %s before it reported the task's outcome", a.info.Name, reason)
		c.attemptLost(a, ref, err)
	}
}

// releaseAttempt removes an attempt from the agent and reports its outcome to
// the policy.
func (a *agent) releaseAttempt(now time.Time, ref structs.TaskRef, o placement.Outcome) {
	sentAt, ok := a.attempts[ref]
	if !ok {
		return
	}
	delete(a.attempts, ref)
	delete(a.settlePending, ref)
	o.Took = now.Sub(sentAt)
	a.service.throughput.taskEnded(now, o.ServiceTime)
	a.service.policy.Finished(now, a.info.Incarnation, o)
}

func withoutAgent(list []*agent, removed *agent) []*agent {
	for i, a := range list {
		if a == removed {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
