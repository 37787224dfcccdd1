package coordinator

import (
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// requestSettle schedules an attempt to be settled with the agent. The
// strongest mode requested for it applies.
func (a *agent) requestSettle(ref structs.TaskRef, mode structs.SettleMode) {
	if old, ok := a.settlePending[ref]; !ok || mode > old {
		a.settlePending[ref] = mode
	}
}

// sendSettles sends each agent its scheduled attempts, one message per mode,
// unless an earlier settle with the agent is in flight or its retry delay has
// not passed.
func (c *Coordinator) sendSettles() {
	for _, a := range c.agentList {
		if len(a.settlePending) == 0 || len(a.settleInFlight) > 0 || c.now.Before(a.nextSettle) {
			continue
		}
		a.settleInFlight, a.settlePending = a.settlePending, a.settleInFlight
		c.sendSettle(a)
	}
}

func (c *Coordinator) sendSettle(a *agent) {
	var byMode [structs.SettleStop + 1][]structs.TaskRef
	for _, ref := range sortedRefs(a.settleInFlight) {
		mode := a.settleInFlight[ref]
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
				Home:  c.opts.Self.Incarnation,
				Mode:  structs.SettleMode(mode),
				Tasks: refs,
			},
		})
	}
}

// settleReplied handles the statuses that an agent returns.
func (c *Coordinator) settleReplied(e SettleReplied) {
	a := c.agents[e.Agent]
	if a == nil || !c.updateState(a, e.Reply.State) {
		return
	}
	for i := range e.Reply.Statuses {
		s := &e.Reply.Statuses[i]
		ref := structs.TaskRef{Task: s.Task, Attempt: s.Attempt}
		delete(a.settleInFlight, ref)
		c.settleStatus(a, ref, s)
	}
	c.retrySettle(a, e.Tasks)
}

// retrySettle schedules again those of the attempts that got no status.
func (c *Coordinator) retrySettle(a *agent, refs []structs.TaskRef) {
	for _, ref := range refs {
		mode, open := a.settleInFlight[ref]
		if !open {
			continue
		}
		delete(a.settleInFlight, ref)
		if j, _ := c.heldTask(a.info.Incarnation, ref); j != nil {
			a.requestSettle(ref, mode)
		}
	}
}

// settleStatus handles the status of one attempt.
func (c *Coordinator) settleStatus(a *agent, ref structs.TaskRef, s *structs.TaskStatus) {
	switch s.Phase {
	case structs.TaskFenced:
		err := s.Result.Error
		if err == nil {
			err = structs.Errorf(structs.CodeUnavailable, structs.NotRun, "agent %s has not started the task", a.info.Name)
		}
		c.attemptReported(a, ref, &structs.TaskResult{Verdict: structs.NotRun, Error: err}, placement.Outcome{})
	case structs.TaskDone:
		c.attemptReported(a, ref, &s.Result, placement.Outcome{ServiceTime: s.ServiceTime})
	case structs.TaskQueued, structs.TaskRunning:
		c.awaitHeld(a, ref)
	}
}

// awaitHeld sends Await for an in-doubt attempt that is queued or running at
// the agent. It does so for a failing job too: a task in phase running may not
// have started at the backend server, and only its outcome shows whether it
// did.
func (c *Coordinator) awaitHeld(a *agent, ref structs.TaskRef) {
	j, t := c.heldTask(a.info.Incarnation, ref)
	if j == nil || t.phase != inDoubt {
		return
	}
	t.phase = placed
	c.emit(Await{Agent: a.info.Incarnation, Ref: ref})
}

// settleFailed schedules the attempts again after a delay.
func (c *Coordinator) settleFailed(e SettleFailed) {
	a := c.agents[e.Agent]
	if a == nil {
		return
	}
	a.nextSettle = c.now.Add(c.opts.SettleRetryInterval)
	c.retrySettle(a, e.Tasks)
}
