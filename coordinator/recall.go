package coordinator

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// recallThreshold is how many mean service times a task may be at an agent
	// before it counts as waiting there rather than running.
	recallThreshold = 2
	// messageWeightFactor scales how much the MessageWeight of the service's
	// document raises the threshold. At the full weight of 1 the threshold is
	// 1+messageWeightFactor times as long, which saves recall messages.
	messageWeightFactor = 4
)

// recallFromSlowAgents recalls the tasks that wait at slow agents, if no task
// waits at this entry and the policy has an agent for one more.
func (c *Coordinator) recallFromSlowAgents(svc *service) {
	if c.opts.NoRecall || svc.queue.Len() > 0 || svc.throughput.inFlight == 0 {
		return
	}
	threshold := recallThreshold * svc.throughput.meanServiceTime()
	if svc.doc != nil {
		threshold += time.Duration(messageWeightFactor * svc.doc.Policy.MessageWeight * float64(threshold))
	}
	if threshold == 0 {
		return
	}
	svc.policy.SetQueuePosition(1)
	if _, ok := svc.policy.Pick(c.now, &structs.TaskSpec{}); !ok {
		return
	}
	for _, a := range svc.agents {
		c.recall(a, threshold)
	}
}

// recall asks the agent to give back the attempts that exceed its slots, the
// ones sent last first. Tasks among them that already run continue.
func (c *Coordinator) recall(a *agent, threshold time.Duration) {
	excess := min(max(a.state.Queued, len(a.attempts)-a.state.Slots), len(a.attempts))
	if excess <= 0 || c.now.Sub(a.lastRecall) < threshold {
		return
	}
	var overdue []structs.TaskRef
	for _, ref := range sortedRefs(a.attempts) {
		if c.now.Sub(a.attempts[ref]) >= threshold {
			overdue = append(overdue, ref)
		}
	}
	if len(overdue) == 0 {
		return
	}
	slices.SortStableFunc(overdue, func(x, y structs.TaskRef) int { return a.attempts[y].Compare(a.attempts[x]) })
	a.lastRecall = c.now
	for _, ref := range overdue[:min(excess, len(overdue))] {
		a.requestSettle(ref, structs.SettleRecall)
	}
}
