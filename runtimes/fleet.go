package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Fleet combines the distributions that the agents of an entry send.
type Fleet struct {
	agents []*agentQueues           // sorted by name
	queues map[string]*combinedRows // by name
}

type agentQueues struct {
	name       string
	receivedAt time.Time
	queues     map[string]received
}

type received struct {
	seq          uint64 // of the state; replies may arrive out of order
	distribution Distribution
}

type combinedRows struct {
	distribution Distribution
	changed      bool // since the last combination
	combinedAt   time.Time
}

// NewFleet returns a Fleet that knows nothing.
func NewFleet() *Fleet { return &Fleet{queues: make(map[string]*combinedRows)} }

// Open prepares for the states of a new session with an agent, whose sequence numbers may
// start again. What the agent sent before is kept until it sends it anew.
func (f *Fleet) Open(agent string) {
	if i, found := f.find(agent); found {
		for name, r := range f.agents[i].queues {
			f.agents[i].queues[name] = received{distribution: r.distribution}
		}
	}
}

// Update takes over the distributions of an agent's state. Invalid ones are left out, and
// counted in the result.
func (f *Fleet) Update(now time.Time, agent string, seq uint64, list []session.RunTimes) (invalid int) {
	if len(list) == 0 {
		return 0
	}
	a := f.agent(now, agent)
	for _, m := range list {
		d, ok := FromMessage(m)
		old, known := a.queues[m.Queue]
		if !ok || !known && len(a.queues) >= maxQueues {
			invalid++
			continue
		}
		if seq < old.seq {
			continue
		}
		if f.queues[m.Queue] == nil {
			if len(f.queues) >= maxFleetQueues {
				invalid++
				continue
			}
			f.queues[m.Queue] = &combinedRows{}
		}
		a.queues[m.Queue] = received{seq: seq, distribution: d}
		f.queues[m.Queue].changed = true
	}
	return invalid
}

func (f *Fleet) find(agent string) (int, bool) {
	return slices.BinarySearchFunc(f.agents, agent, func(a *agentQueues, name string) int { return cmp.Compare(a.name, name) })
}

// agent returns the entry of an agent. If there are too many, it replaces the one that
// was updated the longest ago.
func (f *Fleet) agent(now time.Time, name string) *agentQueues {
	i, found := f.find(name)
	if !found {
		if len(f.agents) >= maxAgents {
			f.removeOldest()
			i, _ = f.find(name)
		}
		f.agents = slices.Insert(f.agents, i, &agentQueues{name: name, queues: make(map[string]received)})
	}
	f.agents[i].receivedAt = now
	return f.agents[i]
}

func (f *Fleet) removeOldest() {
	oldest := slices.MinFunc(f.agents, func(a, b *agentQueues) int { return a.receivedAt.Compare(b.receivedAt) })
	f.agents = slices.DeleteFunc(f.agents, func(a *agentQueues) bool { return a == oldest })
	for name, c := range f.queues {
		if !slices.ContainsFunc(f.agents, func(a *agentQueues) bool { _, ok := a.queues[name]; return ok }) {
			delete(f.queues, name)
		}
		c.changed = true
	}
}

// Of returns the distribution of a queue over all servers. It is unknown while there are
// too few samples.
func (f *Fleet) Of(now time.Time, queue string) Distribution {
	c := f.queues[queue]
	if c == nil {
		return Distribution{}
	}
	if c.changed && (!c.distribution.Known() || now.Sub(c.combinedAt) >= combineInterval) {
		c.distribution, c.combinedAt, c.changed = f.combine(queue), now, false
	}
	if !c.distribution.Known() {
		return Distribution{}
	}
	return c.distribution
}

func (f *Fleet) combine(queue string) Distribution {
	var h histogram
	for _, a := range f.agents {
		if r, ok := a.queues[queue]; ok {
			h.addDistribution(&r.distribution)
		}
	}
	return h.distribution()
}

const (
	// minServerSamples is the weight from which on a server's own distribution may be
	// used instead of that of all servers, and maxSimilar how far its median and its
	// quantile at bodyProbability may then differ without it being used.
	minServerSamples = 200
	maxSimilar       = 0.2
)

// At returns the distribution of a queue at the server of an agent: its own where that
// differs, else that of all servers.
func (f *Fleet) At(now time.Time, agent, queue string) Distribution {
	all := f.Of(now, queue)
	i, found := f.find(agent)
	if !found {
		return all
	}
	own := f.agents[i].queues[queue].distribution
	if own.Samples < minServerSamples || !all.Known() {
		return all
	}
	differs := func(p float64) bool { return math.Abs(own.Quantile(p)/all.Quantile(p)-1) > maxSimilar }
	if differs(0.5) || differs(bodyProbability) {
		return own
	}
	return all
}

// Known returns the last combined distribution of a queue.
func (f *Fleet) Known(queue string) Distribution {
	if c := f.queues[queue]; c != nil {
		return c.distribution
	}
	return Distribution{}
}

// Queues returns the sorted names of the queues whose distribution is known.
func (f *Fleet) Queues() []string {
	var names []string
	for name, c := range f.queues {
		if c.distribution.Known() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
