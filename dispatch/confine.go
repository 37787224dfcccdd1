package dispatch

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/containment"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// placementLimits are the agents on which tasks may be placed because of crashes. Unless
// the queue is confined, others are used if the tasks would end much later otherwise.
type placementLimits struct {
	confined bool     // the queue is confined to allowed
	allowed  []string // names of agents; nil if all are
	avoided  []string
}

// permits reports whether tasks may be placed on the agent.
func (l *placementLimits) permits(name string) bool {
	if l.allowed != nil {
		return slices.Contains(l.allowed, name)
	}
	return !slices.Contains(l.avoided, name)
}

// limitsOf returns the limits for tasks of a job:
//   - tasks of a confined queue run on its servers only;
//   - tasks that are suspected to have crashed a server, and so may crash another, run
//     on the servers to which their queue would be confined, if these can take them;
//   - other tasks stay away from the servers of queues that were confined recently, and
//     from those that run a suspect of another job.
func (d *Dispatcher) limitsOf(j *job, tasks []int) placementLimits {
	confinedQueues := d.containment.ConfinedQueues()
	if len(confinedQueues) == 0 && len(d.suspects) == 0 && !d.isSuspect(j, tasks) {
		return placementLimits{}
	}
	agents := d.agentsOf(j.Queue.Service)
	if allowed := d.containment.Servers(j.Queue.Name, agents); allowed != nil {
		return placementLimits{confined: true, allowed: allowed}
	}
	if d.isSuspect(j, tasks) {
		if allowed := containment.Quarantine(j.Queue.Name, agents); slices.ContainsFunc(allowed, d.isReadyAgent) {
			return placementLimits{allowed: allowed}
		}
	}
	var l placementLimits
	for _, queue := range confinedQueues {
		l.avoided = append(l.avoided, d.containment.Avoided(queue, agents)...)
	}
	for p := range d.suspects {
		if p.job != j {
			l.avoided = append(l.avoided, p.agent.name)
		}
	}
	return l
}

// agentsOf returns the names of the agents of a service, ready or not, except those in
// evacuated availability zones.
func (d *Dispatcher) agentsOf(service string) []string {
	var list []string
	for _, a := range d.sortedAgents {
		if a.identity.Service == service && !d.evacuated(a.zone) {
			list = append(list, a.name)
		}
	}
	return list
}

func (d *Dispatcher) isReadyAgent(name string) bool {
	return slices.ContainsFunc(d.sortedAgents, func(a *agent) bool { return a.name == name && d.isReady(a) })
}

// isSuspect reports whether one of the tasks had just been started on a server that
// crashed.
func (d *Dispatcher) isSuspect(j *job, tasks []int) bool {
	return slices.ContainsFunc(tasks, func(i int) bool {
		return d.containment.Suspicion(containment.Task{Job: j.Name, Index: i}).Young > 0
	})
}

// confinedError returns why a job of a confined queue cannot be placed now.
func (d *Dispatcher) confinedError(j *job, l *placementLimits) *structs.Error {
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun,
		"queue %s is confined to %d servers because its tasks have crashed servers, and none of them can run the job now", j.Queue.Name, len(l.allowed)).
		WithRetryAfter(d.recoveryOf(l.allowed))
}

// recoveryOf returns the expected time until one of the agents' servers that have
// crashed is back, at least a second.
func (d *Dispatcher) recoveryOf(agents []string) time.Duration {
	var earliest time.Duration
	for _, a := range d.sortedAgents {
		if a.crashedAt.IsZero() || !slices.Contains(agents, a.name) {
			continue
		}
		if left := a.crashedAt.Add(d.recoveryTime).Sub(d.now); earliest == 0 || left < earliest {
			earliest = left
		}
	}
	return max(earliest, time.Second)
}
