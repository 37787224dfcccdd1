package coordinator

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// recallPatience is how many mean service times a task may be at an agent
	// before it is taken to wait there.
	recallPatience = 2
	// messagePatience is how much longer that is if the service's document gives
	// messages their whole weight, as a factor less one.
	messagePatience = 4
)

// recallStragglers asks the agents that have fallen behind to give back what
// waits there, if nothing waits here and another agent would take it now.
func (c *Coordinator) recallStragglers(svc *service) {
	if c.cfg.NoRecall || svc.queue.Len() > 0 || svc.drain.placed == 0 {
		return
	}
	patience := recallPatience * svc.drain.meanService()
	if svc.doc != nil {
		patience += time.Duration(messagePatience * svc.doc.Policy.MessageWeight * float64(patience))
	}
	if patience == 0 {
		return
	}
	svc.policy.SetQueuePosition(1)
	if _, ok := svc.policy.Pick(c.now, &structs.TaskSpec{}); !ok {
		return
	}
	for _, a := range svc.agents {
		c.recall(a, patience)
	}
}

// recall asks for the attempts that are at the agent beyond its slots, those
// sent last; running ones among them go on.
func (c *Coordinator) recall(a *agent, patience time.Duration) {
	waiting := min(max(a.state.Queued, len(a.calls)-a.state.Slots), len(a.calls))
	if waiting <= 0 || c.now.Sub(a.recalled) < patience {
		return
	}
	var late []structs.TaskRef
	for _, ref := range sortedRefs(a.calls) {
		if c.now.Sub(a.calls[ref]) >= patience {
			late = append(late, ref)
		}
	}
	if len(late) == 0 {
		return
	}
	slices.SortStableFunc(late, func(x, y structs.TaskRef) int { return a.calls[y].Compare(a.calls[x]) })
	a.recalled = c.now
	for _, ref := range late[:min(waiting, len(late))] {
		a.ask(ref, structs.SettleRecall)
	}
}
