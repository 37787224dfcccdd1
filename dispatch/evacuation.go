package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxEvacuationRetryAfter bounds the retry hint during an evacuation. An operator may end
// one at any time, however long earlier ones lasted.
const maxEvacuationRetryAfter = 30 * time.Second

// evacuationChanged stops placing tasks in evacuated availability zones, and uses zones
// that are restored. Agents of an evacuated zone return their queued tasks by
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

// evacuatedError returns why a job cannot be placed if no agent of its service could run
// it but for those in evacuated zones; nil otherwise. The job is not held, because an
// evacuation lasts longer than the callers wait, unless this entry has just started, or
// has just lost an agent of another zone, as after a suspension.
func (d *Dispatcher) evacuatedError(j *job) *structs.Error {
	evacuated := 0
	for _, a := range d.sortedAgents {
		switch {
		case a.identity.Service != j.Queue.Service || !fits(j, &a.identity) || !hasLabel(a, j.RequiredLabel):
		case d.evacuated(a.zone):
			evacuated++
		default:
			return nil
		}
	}
	incompleteUntil := d.opts.Started.Add(HoldTimeout)
	if lost := d.usableAgentLost[j.Queue.Service].Add(HoldTimeout); lost.After(incompleteUntil) {
		incompleteUntil = lost
	}
	if evacuated == 0 || d.now.Before(incompleteUntil) {
		return nil
	}
	return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "all servers of service %s that could run the job are in evacuated availability zones (%s)",
		j.Queue.Service, strings.Join(d.evacuatedZones, ", ")).
		WithRetryAfter(min(max(d.zoneExpectedAt.Sub(d.now), unavailableRetryAfter), maxEvacuationRetryAfter))
}

// recordLostAgent records that an agent that was not evacuated has been lost.
func (d *Dispatcher) recordLostAgent(a *agent) {
	if !d.evacuated(a.zone) {
		d.usableAgentLost[a.identity.Service] = d.now
	}
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
	return capacity.Ramp(max(withheld, 0), time.Duration(a.state.ColdMs)*time.Millisecond-age)
}
