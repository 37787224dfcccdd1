package coordinator

import (
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ask notes an attempt to be settled with the agent. The strongest mode wins.
func (a *agent) ask(ref structs.TaskRef, mode structs.SettleMode) {
	if old, ok := a.settle[ref]; !ok || mode > old {
		a.settle[ref] = mode
	}
}

// sendSettles asks each agent about its noted attempts, one message per mode,
// unless an answer is under way.
func (c *Coordinator) sendSettles() {
	for _, a := range c.order {
		if len(a.settle) == 0 || len(a.asked) > 0 || c.now.Before(a.settleAt) {
			continue
		}
		a.asked, a.settle = a.settle, a.asked
		c.sendSettle(a)
	}
}

func (c *Coordinator) sendSettle(a *agent) {
	var byMode [structs.SettleStop + 1][]structs.TaskRef
	for _, ref := range sortedRefs(a.asked) {
		mode := a.asked[ref]
		byMode[mode] = append(byMode[mode], ref)
	}
	for mode, refs := range byMode {
		if len(refs) == 0 {
			continue
		}
		c.emit(Settle{
			Agent: a.info.Incarnation,
			Request: structs.SettleRequest{
				Agent: a.info.Incarnation,
				Home:  c.cfg.Self.Incarnation,
				Mode:  structs.SettleMode(mode),
				Tasks: refs,
			},
		})
	}
}

// settleReplied takes in what the agent says of the attempts asked about.
func (c *Coordinator) settleReplied(e SettleReplied) {
	a := c.agents[e.Agent]
	if a == nil || !c.observe(a, e.Reply.State) {
		return
	}
	for i := range e.Reply.Statuses {
		s := &e.Reply.Statuses[i]
		ref := structs.TaskRef{Task: s.Task, Attempt: s.Attempt}
		delete(a.asked, ref)
		c.settled(a, ref, s)
	}
	c.askAgain(a, e.Tasks)
}

// askAgain notes those attempts for another try that got no status.
func (c *Coordinator) askAgain(a *agent, refs []structs.TaskRef) {
	for _, ref := range refs {
		mode, open := a.asked[ref]
		if !open {
			continue
		}
		delete(a.asked, ref)
		if j, _ := c.holder(a.info.Incarnation, ref); j != nil {
			a.ask(ref, mode)
		}
	}
}

// settled takes in the state of one attempt.
func (c *Coordinator) settled(a *agent, ref structs.TaskRef, s *structs.TaskStatus) {
	switch s.Phase {
	case structs.TaskFenced:
		err := s.Result.Error
		if err == nil {
			err = structs.Errorf(structs.CodeUnavailable, structs.NotRun, "agent %s has not started it", a.info.Name)
		}
		c.taskEnded(a, ref, &structs.TaskResult{Verdict: structs.NotRun, Error: err}, placement.Outcome{})
	case structs.TaskDone:
		c.taskEnded(a, ref, &s.Result, placement.Outcome{ServiceTime: s.ServiceTime})
	case structs.TaskQueued, structs.TaskRunning:
		c.stillHeld(a, ref)
	}
}

// stillHeld takes a broken call up again for an attempt that waits or runs at
// the agent. So does a failing job: that the agent called its backend server
// does not show that the task started, its outcome does.
func (c *Coordinator) stillHeld(a *agent, ref structs.TaskRef) {
	j, t := c.holder(a.info.Incarnation, ref)
	if j == nil || t.phase != unsettled {
		return
	}
	t.phase = placed
	c.emit(Await{Agent: a.info.Incarnation, Ref: ref})
}

// settleFailed notes the attempts for another try after a pause.
func (c *Coordinator) settleFailed(e SettleFailed) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	a.settleAt = c.now.Add(c.cfg.SettleRetry)
	c.askAgain(a, e.Tasks)
}
