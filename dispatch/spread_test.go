package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// loadPattern is a load on several entries that place on the same agents.
type loadPattern struct {
	name            string
	entries, agents int
	sessions        int                                       // agents of each entry
	load            float64                                   // mean share of the capacity that the jobs need
	weight          func(entry int, at time.Duration) float64 // of an entry's arrivals, 1 on average
	slowness        func(agent int) int
}

// loadResult counts what callers and agents saw of a pattern.
type loadResult struct {
	jobs, onTime, refused   int
	tasks, returned, remote int
	queued                  time.Duration
	queuedLong              int // tasks that waited for more than 20 ms
}

func (r *loadResult) String() string {
	share := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	return fmt.Sprintf("jobs=%d on_time=%.2f%% refused=%.2f%% returned=%.2f%% other_zone=%.1f%% wait_mean=%.2fms wait_over_20ms=%.2f%%", r.jobs,
		share(r.onTime, r.jobs), share(r.refused, r.jobs), share(r.returned, r.tasks), share(r.remote, r.tasks),
		r.queued.Seconds()*1000/float64(max(r.tasks, 1)), share(r.queuedLong, r.tasks))
}

// cluster steps several entries and fake agents with a simulated time.
type cluster struct {
	loadPattern
	loadResult
	now         time.Time
	events      eventHeap
	random      *rand.Rand
	dispatchers []*dispatch.Dispatcher
	arrivals    []*rand.Rand         // by entry
	submitted   map[string]time.Time // by job
	fakes       []*fakeAgent
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var eventSeq int

func (c *cluster) after(d time.Duration, run func()) {
	eventSeq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: eventSeq, run: run})
}

// fakeAgent runs tasks on a server and queues those that cannot start at once.
type fakeAgent struct {
	cluster        *cluster
	index          int
	capacity, free int
	slowness       int
	seq            uint64
	running, queue []*fakeTask
	admitted       []uint64    // by entry
	replied        []time.Time // by entry
}

type fakeTask struct {
	entry                    int
	id                       uint64
	cpu                      int
	estimate, took           time.Duration
	submitted, startBy, ends time.Time
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// oneWay is the time of a message between an entry and an agent, with the wait for
// processor time at both.
func oneWay(entry, agent int) time.Duration {
	if entry%3 == agent%3 {
		return 4 * time.Millisecond
	}
	return 5500 * time.Microsecond
}

func (a *fakeAgent) state(entry int) session.State {
	a.seq++
	st := session.State{Seq: a.seq, Ready: true, FreeCPU: a.free, FreeMem: 1 << 20, Slowness: a.slowness, Samples: 100,
		Identity: &session.Identity{Service: "booking", Server: fmt.Sprint(a.index), Capacity: a.capacity}}
	for e, cpu := range a.admitted {
		if e != entry {
			st.OthersCPU += cpu
		}
	}
	expected := func(t *fakeTask) int { return int(t.estimate.Milliseconds()) * a.slowness / 1000 }
	for _, t := range a.running {
		st.Running = append(st.Running, session.RunningTask{CPU: t.cpu, Ms: int(t.ends.Sub(a.cluster.now).Milliseconds())})
	}
	for _, t := range a.queue {
		st.Queue = append(st.Queue, session.QueuedTask{CPU: t.cpu, Ms: expected(t), StartWithin: int(t.startBy.Sub(a.cluster.now).Milliseconds())})
	}
	return st
}

// order admits the tasks of an order or returns those that cannot start in time.
func (a *fakeAgent) order(entry int, o dispatch.Order) {
	c := a.cluster
	var returned []session.Report
	for _, part := range o.Start {
		for _, p := range part.Tasks {
			t := &fakeTask{entry: entry, id: p.ID, cpu: part.CPU, estimate: part.Estimate, startBy: c.now.Add(part.StartWithin)}
			t.submitted = c.submitted[part.Job].Add(oneWay(entry, a.index))
			t.took = time.Duration(float64(part.Estimate) * float64(a.slowness) / 1000 * (0.7 + 0.6*uniform(part.Job, p.Index)))
			if wait, ok := a.timeline(t).EarliestStart(t.cpu); !ok || c.now.Add(wait).After(t.startBy) {
				c.returned++
				returned = append(returned, session.Report{ID: t.id, Outcome: session.NotStarted, Reason: "no free capacity"})
				continue
			}
			a.admitted[entry] += uint64(t.cpu)
			i, _ := slices.BinarySearchFunc(a.queue, t, func(x, y *fakeTask) int { return x.startBy.Compare(y.startBy) })
			a.queue = slices.Insert(a.queue, i, t)
		}
	}
	a.start()
	st := a.state(entry)
	c.after(oneWay(entry, a.index), func() {
		c.step(entry, dispatch.OrderReplied{ID: dispatch.SessionID(a.index + 1), Number: o.Number, State: st})
	})
	if len(returned) > 0 {
		a.reply(entry, returned)
	}
}

func (a *fakeAgent) timeline(t *fakeTask) *capacity.Timeline {
	var releases []capacity.Release
	for _, r := range a.running {
		releases = append(releases, capacity.Release{At: r.ends.Sub(a.cluster.now), CPU: r.cpu})
	}
	line := capacity.New(a.free, releases)
	for _, q := range a.queue {
		if q.startBy.Before(t.startBy) {
			line.Reserve(q.cpu, q.estimate*time.Duration(a.slowness)/1000)
		}
	}
	return line
}

func (a *fakeAgent) start() {
	c := a.cluster
	for i := 0; i < len(a.queue); {
		t := a.queue[i]
		if t.cpu > a.free {
			i++
			continue
		}
		a.queue = slices.Delete(a.queue, i, i+1)
		a.free -= t.cpu
		t.ends = c.now.Add(t.took)
		a.running = append(a.running, t)
		wait := c.now.Sub(t.submitted)
		c.queued += wait
		if wait > 20*time.Millisecond {
			c.queuedLong++
		}
		c.after(t.took, func() { a.end(t) })
	}
}

func (a *fakeAgent) end(t *fakeTask) {
	a.running = slices.DeleteFunc(a.running, func(r *fakeTask) bool { return r == t })
	a.free += t.cpu
	a.start()
	a.reply(t.entry, []session.Report{{ID: t.id, Outcome: session.Done}})
}

func (a *fakeAgent) reply(entry int, reports []session.Report) {
	c := a.cluster
	a.replied[entry] = c.now
	reply := session.PollReply{Reports: reports, State: a.state(entry)}
	c.after(oneWay(entry, a.index), func() { c.step(entry, dispatch.PollReplied{ID: dispatch.SessionID(a.index + 1), Reply: reply}) })
}

// keepPolling replies to the entry's polls when the agent has had nothing to report.
func (a *fakeAgent) keepPolling(entry int) {
	due := a.replied[entry].Add(200 * time.Millisecond)
	if !a.cluster.now.Before(due) {
		a.reply(entry, nil)
		due = a.cluster.now.Add(200 * time.Millisecond)
	}
	a.cluster.after(due.Sub(a.cluster.now), func() { a.keepPolling(entry) })
}

func (c *cluster) step(entry int, ev dispatch.Event) {
	for _, ef := range c.dispatchers[entry].Step(c.now, ev) {
		switch ef := ef.(type) {
		case dispatch.Order:
			a := c.fakes[ef.ID-1]
			for _, part := range ef.Start {
				c.tasks += len(part.Tasks)
				if zoneOf(entry) != zoneOf(a.index) {
					c.remote += len(part.Tasks)
				}
			}
			c.after(oneWay(entry, a.index), func() { a.order(entry, ef) })
		case dispatch.JobMetrics:
			c.jobs++
			if ef.Status == 0 {
				c.refused++
			} else if ef.Status == dispatch.Completed && !ef.Late {
				c.onTime++
			}
		}
	}
}

// uniform draws from 0 to 1, the same for a task in each run.
func uniform(job string, index int) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, job, index)
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}

const taskCPU = 5000

// kinds are the jobs of the load: short and wide, medium, and long.
var kinds = []struct {
	tasks    int
	estimate time.Duration
	share    float64
}{{8, 60 * time.Millisecond, 0.245}, {2, 200 * time.Millisecond, 0.71}, {4, 900 * time.Millisecond, 0.045}}

// play runs a pattern for a simulated time.
func (p loadPattern) play(length time.Duration, scheduling dispatch.Scheduling) *loadResult {
	c := &cluster{loadPattern: p, now: start, random: rand.New(rand.NewPCG(1, 2)), submitted: make(map[string]time.Time)}
	var served, work float64 // cores, core seconds of a mean job
	for i := range p.agents {
		a := &fakeAgent{cluster: c, index: i, capacity: 64_000, slowness: []int{600, 1000, 1600}[i/3%3],
			admitted: make([]uint64, p.entries), replied: make([]time.Time, p.entries)}
		if i%5 == 4 {
			a.capacity = 96_000
		}
		served += float64(a.capacity) / float64(a.slowness)
		if p.slowness != nil {
			a.slowness = a.slowness * p.slowness(i) / 1000
		}
		a.free = a.capacity
		c.fakes = append(c.fakes, a)
	}
	for _, k := range kinds {
		work += k.share * float64(k.tasks*taskCPU) / 1000 * k.estimate.Seconds()
	}
	for e := range p.entries {
		c.dispatchers = append(c.dispatchers, dispatch.New(dispatch.Options{Entry: fmt.Sprint("entry-", e), Incarnation: structs.Incarnation(e + 1), Zone: zoneOf(e),
			InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention, Scheduling: scheduling}))
		for _, i := range c.random.Perm(p.agents)[:p.sessions] {
			a := c.fakes[i]
			c.step(e, dispatch.SessionOpened{ID: dispatch.SessionID(i + 1), Agent: fmt.Sprintf("agent-%03d", i), Zone: zoneOf(i), State: a.state(e)})
			c.after(time.Duration(c.random.IntN(200))*time.Millisecond, func() { a.keepPolling(e) })
		}
		c.arrivals = append(c.arrivals, rand.New(rand.NewPCG(uint64(e), 3)))
		c.submit(e, p.load*served/work/float64(p.entries))
	}
	for len(c.events) > 0 && c.now.Before(start.Add(length)) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	return &c.loadResult
}

// submit submits a job and schedules the next one. The rate is per second.
func (c *cluster) submit(entry int, rate float64) {
	random := c.arrivals[entry]
	wait := random.ExpFloat64() / (rate * c.weight(entry, c.now.Sub(start)))
	c.after(time.Duration(min(wait, 0.2)*float64(time.Second)), func() {
		if wait < 0.2 {
			x, k := random.Float64(), 0
			for ; k < len(kinds)-1 && x > kinds[k].share; k++ {
				x -= kinds[k].share
			}
			name := fmt.Sprintf("job-%d-%d", entry, c.now.Sub(start))
			c.submitted[name] = c.now
			c.step(entry, dispatch.SubmitCalled{Call: dispatch.CallID(eventSeq), Job: dispatch.Job{Name: name,
				Queue: routing.Queue{Name: fmt.Sprint(k), Service: "booking", Attempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
				Tasks: kinds[k].tasks, CPU: taskCPU, MemMB: 1, Estimate: kinds[k].estimate, Timeout: 1500*time.Millisecond + 2*kinds[k].estimate}})
		}
		c.submit(entry, rate)
	})
}

func even(int, time.Duration) float64 { return 1 }

// unequal gives a third of the entries ten times the arrivals of the others.
func unequal(entry int, _ time.Duration) float64 {
	if entry/3%3 == 0 {
		return 2.5
	}
	return 0.25
}

// swing varies the arrivals of each zone by 55 % in 13 s, one zone after another.
func swing(entry int, at time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+float64(entry%3)/3))
}

// surge doubles the arrivals of one zone after 2 s.
func surge(entry int, at time.Duration) float64 {
	if entry%3 == 0 && at > 2*time.Second {
		return 2
	}
	return 0.8
}

func thirdSlow(agent int) int {
	agent += agent / 3
	if agent%3 == 1 {
		return 2000
	}
	return 1000
}

var patterns = []loadPattern{
	{name: "even entries", entries: 8, agents: 53, sessions: 53, load: 0.7, weight: even},
	{name: "entries of unequal load", entries: 8, agents: 53, sessions: 53, load: 0.7, weight: unequal},
	{name: "a swing of 55 % with zones out of phase", entries: 8, agents: 53, sessions: 53, load: 0.8, weight: swing},
	{name: "a surge from one zone", entries: 8, agents: 53, sessions: 53, load: 0.7, weight: surge},
	{name: "a third of the servers slow", entries: 8, agents: 53, sessions: 53, load: 0.6, weight: even, slowness: thirdSlow},
	{name: "more than the capacity", entries: 8, agents: 53, sessions: 53, load: 1.05, weight: even},
	{name: "3 entries", entries: 3, agents: 11, sessions: 11, load: 0.75, weight: swing},
	{name: "35 entries", entries: 35, agents: 160, sessions: 37, load: 0.8, weight: unequal},
}

func TestSpreadFigures(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			t.Log("off", p.play(6*time.Second, dispatch.Scheduling{}))
			t.Log("on ", p.play(6*time.Second, dispatch.Scheduling{Spread: true}))
		})
	}
}
