package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/places"
)

// group is where the tasks of a job run that wants one rack. The zero value has none
// placed.
type group struct {
	rack   string // of all tasks; empty if none is placed or spread is set
	spread bool   // the tasks run on several racks
}

// isAway reports whether a task of the group takes longer at the agent.
func (g *group) isAway(a *agent) bool {
	return g.spread || g.rack != "" && g.rack != rackOf(a)
}

func (j *job) wantsOneRack() bool { return j.OneRack && j.Tasks > 1 }

// groupPlaced reports whether a task of the group is placed or done, so that the others
// belong to the same rack.
func (j *job) groupPlaced() bool { return j.livePlacements > 0 || j.unfinished < j.Tasks }

// bestRack returns the candidates of the rack on which all tasks end first; nil if they
// fit no rack.
func (d *Dispatcher) bestRack(j *job, tasks []int, candidates []*candidate) []*candidate {
	racks := make(map[string][]*candidate)
	var order []string
	for _, c := range candidates {
		rack := rackOf(c.agent)
		if racks[rack] == nil {
			order = append(order, rack)
		}
		racks[rack] = append(racks[rack], c)
	}
	var best []*candidate
	earliest := time.Duration(places.Never)
	for _, rack := range order {
		if end := d.trial(j, tasks, racks[rack]).End(); end < earliest {
			best, earliest = racks[rack], end
		}
	}
	return best
}

// spread returns the candidates with the run times of tasks on several racks.
func (d *Dispatcher) spread(candidates []*candidate) []*candidate {
	list := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		s := *c
		s.factor *= d.opts.FarFactor
		s.runTime = scale(s.runTime, d.opts.FarFactor)
		list = append(list, &s)
	}
	return list
}

// updateGroup records where the planned tasks of a group run from now on.
func (d *Dispatcher) updateGroup(j *job, plan []assignment) {
	if !d.servesPlaces() || !j.wantsOneRack() {
		return
	}
	if !j.groupPlaced() {
		j.group = group{rack: rackOf(plan[0].agent)}
	}
	for _, as := range plan {
		if j.group.isAway(as.agent) {
			j.group = group{spread: true}
		}
	}
}
