package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// evacuationChanged stops placing tasks in evacuated availability zones, and uses zones
// that are back again. Agents of an evacuated zone return their queued tasks by
// themselves; what runs there ends.
func (d *Dispatcher) evacuationChanged(e EvacuationChanged) {
	d.evacuatedZones = e.Zones
	d.zoneExpectedAt = d.now.Add(e.ExpectedRemaining)
	d.agentsChanged = true
}

// evacuated reports whether no task may be placed in the availability zone.
func (d *Dispatcher) evacuated(zone string) bool {
	_, found := slices.BinarySearch(d.evacuatedZones, zone)
	return found
}

// evacuatedError returns why a job cannot be placed if all agents of its service are in
// evacuated zones; nil otherwise. The job is not held, because an evacuation lasts longer
// than the callers wait, unless this entry has just started and may not know all agents.
func (d *Dispatcher) evacuatedError(j *job) *structs.Error {
	evacuated := 0
	for _, a := range d.sortedAgents {
		if a.identity.Service != j.Queue.Service {
			continue
		}
		if !d.evacuated(a.zone) {
			return nil
		}
		evacuated++
	}
	if evacuated == 0 || d.now.Before(d.opts.Started.Add(HoldTimeout)) {
		return nil
	}
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "all servers of service %s are in evacuated availability zones (%s)",
		j.Queue.Service, strings.Join(d.evacuatedZones, ", ")).WithRetryAfter(max(d.zoneExpectedAt.Sub(d.now), unavailableRetryAfter))
}

// warmUpRelease returns the capacity that an agent withholds while its server is cold, and
// when it is used. Age is that of the agent's state.
func (a *agent) warmUpRelease(age time.Duration) []capacity.Release {
	if a.state.ColdMs <= 0 {
		return nil
	}
	withheld := a.identity.Capacity - a.state.FreeCPU
	for _, r := range a.state.Running {
		withheld -= r.CPU
	}
	return []capacity.Release{{At: time.Duration(a.state.ColdMs)*time.Millisecond - age, CPU: max(withheld, 0)}}
}
