package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnuthollow/chestnuthollow/spread"
)

// choose chooses the agent for one task that should end within the given time. With
// Scheduling.Spread, these are the candidates that are expected to start it at once and to
// end it at least finishMargin before that. If there is none, see pickCandidate.
func (d *Dispatcher) choose(candidates []*candidate, j *job, within time.Duration) (*candidate, time.Duration) {
	if d.opts.Scheduling.Spread {
		if c := d.chooseIdle(candidates, j, within); c != nil {
			return c, c.runTime + c.overhead
		}
	}
	return pickCandidate(candidates, j, within)
}

// chooseIdle chooses among the candidates that are expected to start the task at once and
// end it in time; nil if there is none. Those with a higher product of free share and
// time left are preferred. The root keeps fast servers free for tasks that need them.
func (d *Dispatcher) chooseIdle(candidates []*candidate, j *job, within time.Duration) *candidate {
	d.inTime, d.servers = d.inTime[:0], d.servers[:0]
	for _, c := range candidates {
		if j.MaxPerServer > 0 && c.jobTasks >= j.MaxPerServer || c.runTime+c.overhead+finishMargin(c.runTime) > within {
			continue
		}
		if start, ok := c.earliestStart(j.CPU); !ok || start > 0 {
			continue
		}
		untilArrival := d.now.Sub(c.agent.stateAsOf) + c.overhead
		timeLeft := 1 - float64(c.runTime+c.overhead)/float64(within)
		d.inTime = append(d.inTime, c)
		d.servers = append(d.servers, spread.Server{
			Local:      c.sameZone,
			Unreliable: c.agent.state.Broken >= unreliableThreshold,
			Spare:      c.freeShare*float64(c.agent.identity.Capacity) - float64(j.CPU) - c.agent.othersFlow.Expected(untilArrival),
			Weight:     c.score() * math.Sqrt(timeLeft),
		})
	}
	if i, ok := d.chooser.Choose(d.servers); ok {
		return d.inTime[i]
	}
	return nil
}

// unreliableThreshold is the share of broken calls, in thousandths, from which on a server
// is used only if no other has spare capacity. One broken call counts 200, and is
// forgotten after two seconds.
const unreliableThreshold = 100

// maxImpatientPlacements is how often a task is returned rather than kept waiting. After
// that it waits, so that tasks are not passed around while all servers are full.
const maxImpatientPlacements = 2

// maxWait bounds how long the agent may keep a task waiting. One that is expected to
// start at once, and finds that others were placed there first, is returned if it would
// wait for longer than placing it again takes.
func (d *Dispatcher) maxWait(as *assignment, t *task, startWithin time.Duration) time.Duration {
	if !d.opts.Scheduling.Spread || t.placements > maxImpatientPlacements || !as.startsNow(d) {
		return startWithin
	}
	return min(startWithin, as.agent.networkOverhead(d))
}

// countPlacements counts planned tasks by availability zone.
func (d *Dispatcher) countPlacements(plan []assignment) {
	if !d.opts.Scheduling.Spread {
		return
	}
	d.emit(PlacementMetrics{Placed: len(plan), OtherZone: d.inOtherZones(plan)})
}

// countReturned counts a task that an agent has not started.
func (d *Dispatcher) countReturned() {
	if d.opts.Scheduling.Spread {
		d.emit(PlacementMetrics{Returned: 1})
	}
}

func (d *Dispatcher) inOtherZones(plan []assignment) int {
	n := 0
	for _, as := range plan {
		if as.agent.zone != d.opts.Zone {
			n++
		}
	}
	return n
}

// spreadDetail is the part of the log line of a plan that says how its tasks were spread.
func (d *Dispatcher) spreadDetail(plan []assignment) string {
	if !d.opts.Scheduling.Spread {
		return ""
	}
	atOnce := 0
	for _, as := range plan {
		if as.startsNow(d) {
			atOnce++
		}
	}
	return fmt.Sprintf(" at_once=%d other_zone=%d", atOnce, d.inOtherZones(plan))
}
