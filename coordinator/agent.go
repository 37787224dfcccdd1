package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// agent is one run of an agent as its entries see it.
type agent struct {
	info    structs.AgentInfo
	service *service
	state   structs.AgentState
	heard   time.Time // last sign of life
	// unanswered is when the oldest heartbeat was sent that no sign of life has
	// followed; zero if there is none.
	unanswered time.Time
	// suspect says that the last heartbeat failed.
	suspect   bool
	fenced    bool // it takes nothing of this home any more
	replaced  bool // another run answers at its address
	leaving   bool // as last told to the policy
	heartbeat time.Time
	beating   bool // a heartbeat is under way
	push      exchange
	fetch     exchange
	// calls are the placed and unsettled attempts, with the time of sending.
	calls map[structs.TaskRef]time.Time
	// settle holds the attempts to ask about next, asked those under way.
	settle   map[structs.TaskRef]structs.SettleMode
	asked    map[structs.TaskRef]structs.SettleMode
	settleAt time.Time
	recalled time.Time // when waiting tasks were last asked back
}

// usable reports whether the agent may get new work.
func (a *agent) usable() bool { return !a.leaving }

// announced takes in an agent run.
func (c *Coordinator) announced(info structs.AgentInfo) {
	if c.agents[info.Incarnation] != nil {
		return
	}
	c.probeSameAddress(info)
	a := &agent{
		info:    info,
		service: c.service(info.Service),
		heard:   c.now,
		calls:   make(map[structs.TaskRef]time.Time),
		settle:  make(map[structs.TaskRef]structs.SettleMode),
		asked:   make(map[structs.TaskRef]structs.SettleMode),
	}
	a.state.Slots = info.Slots
	c.agents[info.Incarnation] = a
	c.order = append(c.order, a)
	a.service.agents = append(a.service.agents, a)
	a.service.policy.Add(info)
	c.emit(ConnectAgent{Info: info})
	c.emit(LogEvent{Event: "agent_up", Task: noTask, Agent: info.Incarnation, Detail: info.Name})
	c.refreshAgent(a)
	c.beat(a)
}

// probeSameAddress asks earlier runs at the same address for a sign of life: a
// reply of the new run shows that they are gone.
func (c *Coordinator) probeSameAddress(info structs.AgentInfo) {
	for _, a := range c.order {
		if a.info.RPCAddr == info.RPCAddr {
			c.beat(a)
		}
	}
}

// observed takes in a state that came by itself. An agent run that shows
// another incarnation has been replaced.
func (c *Coordinator) observed(id structs.Incarnation, s structs.AgentState) {
	a := c.agents[id]
	if a == nil {
		return
	}
	a.beating = false
	c.observe(a, s)
}

// observe reports whether the agent is still the run that was asked.
func (c *Coordinator) observe(a *agent, s structs.AgentState) bool {
	if s.Incarnation != a.info.Incarnation {
		c.replaceAgent(a)
		return false
	}
	a.heard = c.now
	a.unanswered = time.Time{}
	a.suspect = false
	if s.Seq <= a.state.Seq {
		c.refreshAgent(a)
		return true
	}
	a.state = s
	a.service.policy.Observe(c.now, a.info.Incarnation, s)
	c.refreshAgent(a)
	c.exchangeDocument(a)
	return true
}

// refreshAgent tells the policy whether the agent may get work.
func (c *Coordinator) refreshAgent(a *agent) {
	leaving := a.state.Leaving || a.suspect || a.fenced || a.replaced
	if doc := a.service.doc; doc != nil {
		leaving = leaving || doc.Leaving(a.info.Name, c.now)
	}
	if leaving != a.leaving {
		a.leaving = leaving
		a.service.policy.SetLeaving(a.info.Incarnation, leaving)
	}
}

// beat sends a heartbeat unless one is under way.
func (c *Coordinator) beat(a *agent) {
	if a.beating {
		return
	}
	a.beating = true
	a.heartbeat = c.now
	if a.unanswered.IsZero() {
		a.unanswered = c.now
	}
	c.emit(Heartbeat{
		Agent:     a.info.Incarnation,
		Watermark: c.ids.watermark,
		Revision:  a.service.record.Revision,
	})
}

// heartbeatFailed marks the agent suspect; it gets no work until it answers.
func (c *Coordinator) heartbeatFailed(id structs.Incarnation) {
	a := c.agents[id]
	if a == nil {
		return
	}
	a.beating = false
	a.suspect = true
	c.refreshAgent(a)
}

// tickAgent sends due heartbeats and gives up an agent that stays away.
func (c *Coordinator) tickAgent(a *agent) {
	if a.replaced && len(a.calls) == 0 {
		c.dropAgent(a, "replaced")
		return
	}
	if !a.unanswered.IsZero() && c.now.Sub(a.unanswered) > c.cfg.AgentLostAfter {
		c.dropAgent(a, "lost")
		return
	}
	c.refreshAgent(a)
	c.exchangeDocument(a)
	if c.now.Sub(a.heartbeat) >= c.heartbeatInterval(a) {
		c.beat(a)
	}
}

// heartbeatInterval is short while something depends on the answer.
func (c *Coordinator) heartbeatInterval(a *agent) time.Duration {
	if a.suspect {
		return c.cfg.ProbeAfter
	}
	if len(a.calls) > 0 && c.now.Sub(a.heard) >= c.cfg.ProbeAfter {
		return c.cfg.ProbeAfter
	}
	return c.cfg.HeartbeatEvery
}

// replaceAgent gives up the attempts whose call broke: the run that knew of
// them is gone. The other calls end by themselves, as refused by the new run or
// broken.
func (c *Coordinator) replaceAgent(a *agent) {
	a.replaced = true
	c.refreshAgent(a)
	clear(a.settle)
	clear(a.asked)
	for _, ref := range sortedRefs(a.calls) {
		_, t := c.holder(a.info.Incarnation, ref)
		if t == nil || t.phase == unsettled {
			c.taskFailed(a, ref, replacedError(a))
		}
	}
}

func replacedError(a *agent) *structs.Error {
	return structs.Errorf(structs.CodeAgentLost, structs.MayHaveRun, "agent %s was replaced", a.info.Name)
}

// dropAgent forgets an agent run that is gone or replaced. What it held and did
// not answer may have run.
func (c *Coordinator) dropAgent(a *agent, why string) {
	id := a.info.Incarnation
	delete(c.agents, id)
	c.order = without(c.order, a)
	a.service.agents = without(a.service.agents, a)
	a.service.policy.Remove(id)
	c.emit(DropAgent{Agent: id})
	c.dropFromRecoveries(id)
	c.emit(LogEvent{Event: "agent_gone", Task: noTask, Agent: id, Detail: a.info.Name + ": " + why})
	for _, ref := range sortedRefs(a.calls) {
		err := structs.Errorf(structs.CodeAgentLost, structs.MayHaveRun, "agent %s is %s", a.info.Name, why)
		c.taskFailed(a, ref, err)
	}
}

// release ends an attempt at an agent and tells the policy.
func (a *agent) release(now time.Time, ref structs.TaskRef, o placement.Outcome) {
	sent, ok := a.calls[ref]
	if !ok {
		return
	}
	delete(a.calls, ref)
	delete(a.settle, ref)
	o.Took = now.Sub(sent)
	a.service.drain.ended(now, o.ServiceTime)
	a.service.policy.Finished(now, a.info.Incarnation, o)
}

func without(list []*agent, gone *agent) []*agent {
	for i, a := range list {
		if a == gone {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
