package dispatch

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/places"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// candidate is an agent that may run tasks of a job. It is used within one step only.
type candidate struct {
	agent *agent
	// timeline is nil until a task may have to wait. Up to then, planned is the number of
	// tasks planned, and spare the capacity that is left if these, all queued tasks and all
	// unacknowledged placements have started; negative if they may have to wait.
	timeline   *capacity.Timeline
	spare      int
	planned    int
	dispatcher *Dispatcher
	within     time.Duration // see Dispatcher.overtakenWithin
	runTime    time.Duration
	overhead   time.Duration // expected time besides the work, see hopOverhead
	jobTasks   int           // tasks of the job placed there
	sameZone   bool          // in this entry's availability zone
	freeShare  float64       // see agent.unreservedShare, less the tasks planned so far
	onTime     float64       // see Dispatcher.onTimeProbability
	factor     float64       // of the run time, included in it; see awayFactor
	choice     *places.Choice
}

// finish returns the expected time from now to the end of another task of the
// given size. It reports false if the task never fits.
func (c *candidate) finish(cpu int) (time.Duration, bool) {
	start, ok := c.earliestStart(cpu)
	return start + c.runTime + c.overhead, ok
}

// earliestStart returns when a task of the given size can start. It reports false if the
// task never fits.
func (c *candidate) earliestStart(cpu int) (time.Duration, bool) {
	if c.startsAtOnce(cpu) {
		return 0, true
	}
	c.buildTimeline(cpu)
	return c.timeline.EarliestStart(cpu)
}

// startsAtOnce reports whether a task starts at once because no task has to wait. If it
// reports false, the timeline decides.
func (c *candidate) startsAtOnce(cpu int) bool {
	return c.timeline == nil && cpu >= 0 && cpu <= c.spare
}

// buildTimeline builds the timeline with the tasks planned so far, all of the given size.
func (c *candidate) buildTimeline(cpu int) {
	if c.timeline != nil {
		return
	}
	c.timeline = c.dispatcher.capacityTimeline(c.agent, c.dispatcher.queuedAhead(c.agent, c.within))
	for range c.planned {
		c.timeline.Reserve(cpu, c.runTime)
	}
}

// weightedFreeShare returns the free share of the candidate's capacity, weighted
// by what its choice saves: traffic between zones, and copies of the job's spec.
func (c *candidate) weightedFreeShare() float64 {
	weight := 1.0
	if c.sameZone {
		weight += sameZoneWeight
	}
	if c.jobTasks > 0 {
		weight += sameJobWeight
	}
	return c.freeShare * weight
}

// reserve reserves the candidate's capacity for a task of the job.
func (c *candidate) reserve(j *job) {
	if c.startsAtOnce(j.CPU) {
		c.spare -= j.CPU
		c.planned++
	} else {
		c.buildTimeline(j.CPU)
		c.timeline.Reserve(j.CPU, c.runTime)
	}
	c.jobTasks++
	c.freeShare -= float64(j.CPU) / float64(max(c.agent.identity.Capacity, 1))
}

// finishMargin returns the uncertainty of the finish of a task.
func finishMargin(runTime time.Duration) time.Duration {
	return minFinishMargin + time.Duration(finishMarginShare*float64(runTime))
}

// pickCandidate chooses the agent for one task that should end within the given
// time. Of the candidates that are expected to end it at least finishMargin
// before that, it prefers the one with the most weighted free capacity, whatever
// its speed, so that fast servers stay free for tasks that need them. If there is
// none, it chooses the candidate that would end the task first.
func pickCandidate(candidates []*candidate, j *job, within time.Duration) (*candidate, time.Duration) {
	var earliest, preferred *candidate
	var earliestFinish, preferredFinish time.Duration
	for _, c := range candidates {
		if j.MaxPerServer > 0 && c.jobTasks >= j.MaxPerServer {
			continue
		}
		finish, ok := c.finish(j.CPU)
		if !ok {
			continue
		}
		if earliest == nil || finish < earliestFinish {
			earliest, earliestFinish = c, finish
		}
		if finish+finishMargin(c.runTime) <= within && (preferred == nil || c.score() > preferred.score()) {
			preferred, preferredFinish = c, finish
		}
	}
	if preferred != nil {
		return preferred, preferredFinish
	}
	return earliest, earliestFinish
}

// score returns the candidate's weighted free share, less the more likely the job would be
// late there. Wide jobs thereby take the servers that are sure, and leave the others to
// narrow ones.
func (c *candidate) score() float64 {
	if share := c.weightedFreeShare(); share < 0 {
		return share / c.onTime
	}
	return c.weightedFreeShare() * c.onTime
}

// fits reports whether a task of the job fits an idle server. Agents of earlier
// builds state the processor capacity only.
func fits(j *job, id *session.Identity) bool {
	return j.CPU <= id.Capacity && (id.MemMB == 0 || j.MemMB <= id.MemMB && j.GPU <= id.GPU)
}

// isReady reports whether an agent accepts tasks by a recent state and its availability
// zone is not evacuated.
func (d *Dispatcher) isReady(a *agent) bool {
	return a.state.Ready && d.now.Sub(a.stateAsOf) <= staleAfter && !d.evacuated(a.zone)
}

// eligible reports whether an agent is ready by a recent state, and its server is
// of the job's service, is large enough for a task and has the required label.
func (d *Dispatcher) eligible(a *agent, j *job) bool {
	return d.isReady(a) &&
		a.identity.Service == j.Queue.Service && fits(j, &a.identity) && hasLabel(a, j.RequiredLabel)
}

// hasLabel reports whether the agent's server has a label, if one is required.
func hasLabel(a *agent, required string) bool {
	return required == "" || slices.Contains(a.identity.Labels, required)
}

const (
	// candidatesPerChunk is the number of candidates that are allocated together.
	candidatesPerChunk = 16
	// maxKeptChunks bounds the chunks that are used again. The jobs held while there was
	// no agent are all planned in one step.
	maxKeptChunks = 32
)

// candidateMemory is the memory of the candidates of one step, which is used again for
// the next one.
type candidateMemory struct {
	chunks [][]candidate
	used   int
}

func (m *candidateMemory) next() *candidate {
	i := m.used / candidatesPerChunk
	if i >= maxKeptChunks {
		return new(candidate)
	}
	if i == len(m.chunks) {
		m.chunks = append(m.chunks, make([]candidate, candidatesPerChunk))
	}
	c := &m.chunks[i][m.used%candidatesPerChunk]
	m.used++
	return c
}

// reset gives the memory of all candidates free.
func (m *candidateMemory) reset() { m.used = 0 }

// candidates returns the agents that may run the tasks. Agents whose tasks often
// fail, and those that one of the tasks avoids, are used only if there is no
// other.
func (d *Dispatcher) candidates(j *job, tasks []int, limits *placementLimits) []*candidate {
	healthy, fallback := make([]*candidate, 0, len(d.sortedAgents)), []*candidate(nil)
	within := d.overtakenWithin(j)
	for _, a := range d.sortedAgents {
		if !d.eligible(a, j) || !limits.permits(a.name) {
			continue
		}
		factor := d.awayFactor(j, a)
		runTime := scale(d.expectedRunTime(a, j), factor)
		c := d.candidateMemory.next()
		*c = candidate{
			agent: a, spare: a.spareCPU(), dispatcher: d, within: within, runTime: runTime, overhead: hopOverhead,
			jobTasks: d.tasksAt(j, a), sameZone: a.zone == d.opts.Zone, freeShare: a.unreservedShare(), factor: factor,
		}
		if !c.sameZone {
			c.overhead += crossZoneOverhead
		}
		c.onTime = d.onTimeProbability(c, j)
		if a.state.Failing >= failingThreshold || avoidsAgent(j, tasks, a.name) {
			fallback = append(fallback, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return fallback
}

// spareCPU returns the capacity that is left if all queued tasks and unacknowledged
// placements have started; negative if it does not suffice for them.
func (a *agent) spareCPU() int {
	spare := a.state.FreeCPU
	for _, q := range a.state.Queue {
		if q.CPU > spare {
			return -1
		}
		spare -= max(q.CPU, 0)
	}
	for _, p := range a.unacknowledged {
		if p.job.CPU > spare {
			return -1
		}
		spare -= max(p.job.CPU, 0)
	}
	return spare
}

// unreservedShare returns the share of the capacity that is neither in use nor
// needed by queued tasks and unacknowledged placements.
func (a *agent) unreservedShare() float64 {
	free := a.state.FreeCPU
	for _, p := range a.unacknowledged {
		free -= p.job.CPU
	}
	for _, q := range a.state.Queue {
		free -= q.CPU
	}
	return float64(free) / float64(max(a.identity.Capacity, 1))
}

func (d *Dispatcher) tasksAt(j *job, a *agent) int {
	n := 0
	for i := range j.tasks {
		if p := j.tasks[i].current; p != nil && p.agent == a {
			n++
		}
	}
	return n
}

func avoidsAgent(j *job, tasks []int, name string) bool {
	for _, i := range tasks {
		if slices.Contains(j.tasks[i].avoidedAgents, name) {
			return true
		}
	}
	return false
}

func (a *agent) networkOverhead(d *Dispatcher) time.Duration {
	if a.zone != d.opts.Zone {
		return hopOverhead + crossZoneOverhead
	}
	return hopOverhead
}
