package sessions_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// resendAfter is how long after its connection broke a caller submits its job again,
// as agreed with the users.
const resendAfter = 1300 * time.Millisecond

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a complete system that runs in virtual time.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       int
	entries   []*entryProc
	agents    []*agentProc
	fail      func(format string, args ...any)
	trace     func(format string, args ...any) // nil if nothing is traced
	tracedJob string                           // prefix of the names of traced jobs

	// delayedCallShare is the share of calls to servers that are carried out late.
	// The same share of replies and of lease renewals is lost.
	delayedCallShare float64
	running          map[string][]string // servers that currently run a task, by task name
	started          map[string]bool     // tasks that have ever started, by task name
	refused          map[string]bool     // jobs whose last submission was refused as not run, by name
	crashes          map[string]int      // servers that crashed while they ran the task, by task name
	startsAfter      map[string]int      // starts after maxCrashes, by task name
	// acknowledged is when the cancel of a job was acknowledged first, by its name; nil if
	// no jobs are canceled.
	acknowledged map[string]time.Duration
	jobs         map[string]dispatch.Job // submitted ones, by name
	counts       map[string]int          // what the cases covered

	lastAttempt int // id of the newest one
	attempts    map[attemptKey]*attemptState
	owners      map[string]string // entries that have ordered the tasks, by task name, "@" and server
	// callerLoss is the share of segments between callers and entries that are lost.
	callerLoss float64
	// delayedSubmissionShare is the share of submissions that are lost after the connection was opened, and
	// arrive when they are sent again.
	delayedSubmissionShare float64
	// maxReadDelay is by how much entries that run may read submissions late.
	maxReadDelay time.Duration
	// pauseAfterProbeShare is the share of probes after which the entry is suspended before it looks for
	// acknowledgements.
	pauseAfterProbeShare float64
	// peersReply means that entries reply to each other's questions about jobs. Callers' signs have to
	// suffice without that.
	peersReply bool
	// lastReceivedUnknown means that the entries' systems do not tell when a submission has arrived.
	lastReceivedUnknown bool
	// callersDisturbed means that callers may be given up as silent.
	callersDisturbed bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules do after a delay. Events at the same time keep their order.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + max(d, 0), seq: sim.seq, do: do})
}

// run processes the events up to a time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// draw draws a duration between low and high, both included.
func (sim *simulation) draw(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int63n(int64(high-low)+1))
}

// traceEvent traces an event that concerns the traced job, or no job.
func (sim *simulation) traceEvent(source, event, job, detail string) {
	if sim.trace != nil && (job == "" || strings.HasPrefix(job, sim.tracedJob)) {
		sim.trace("%s %s %s %s", source, event, job, detail)
	}
}

// process is a simulated process, which can be killed and suspended.
type process struct {
	sim        *simulation
	generation int // increases when the process is started or killed
	up         bool
	suspended  bool
	pending    []func() // calls to deliver that wait while the process is suspended

	machineSuspended bool          // its machine is suspended, too
	suspendedAt      time.Duration // when that was
	stood            time.Duration // how long the machine was suspended so far
	waitingTimers    []func()      // timers of the machine that stand still with it
}

// bootNow returns the time by a clock that counts the time in which the machine is suspended.
func (p *process) bootNow() time.Time { return epoch.Add(p.sim.now) }

// deliver calls do, or defers the call until a suspended process resumes. It is
// dropped if the process is not running, or is killed before it resumes.
func (p *process) deliver(do func()) {
	if !p.up {
		return
	}
	if p.suspended {
		p.pending = append(p.pending, do)
		return
	}
	do()
}

// deliverAfter calls deliver after a delay, unless the process was killed meanwhile.
func (p *process) deliverAfter(d time.Duration, do func()) {
	p.kernelAfter(d, func() { p.deliver(do) })
}

// kernelAfter calls do after a delay, also while the process is suspended, but not its machine, whose
// timers stand still then.
func (p *process) kernelAfter(d time.Duration, do func()) {
	generation, stood := p.generation, p.stood
	p.sim.after(d, func() {
		switch {
		case p.generation != generation:
		case p.machineSuspended:
			left := p.sim.now - p.suspendedAt + p.stood - stood
			p.waitingTimers = append(p.waitingTimers, func() { p.kernelAfter(left, do) })
		case p.stood > stood:
			p.kernelAfter(p.stood-stood, do)
		default:
			do()
		}
	})
}

// suspend suspends the process for a time.
func (p *process) suspend(d time.Duration) {
	if !p.up || p.suspended {
		return
	}
	p.suspended = true
	generation := p.generation
	p.sim.after(d, func() {
		if p.generation != generation {
			return
		}
		p.suspended = false
		if p.machineSuspended {
			p.machineSuspended = false
			p.stood += d
		}
		timers, waiting := p.waitingTimers, p.pending
		p.waitingTimers, p.pending = nil, nil
		for _, start := range timers {
			start()
		}
		for _, do := range waiting {
			p.deliver(do)
		}
	})
}

func (p *process) kill() {
	p.up, p.suspended, p.machineSuspended, p.pending, p.waitingTimers = false, false, false, nil, nil
	p.generation++
}

// machine is a simulated backend server with its clock.
type machine struct {
	sim          *simulation
	name         string
	server       *leaseserver.Server
	incarnations int            // number of server incarnations so far
	drift        float64        // share of virtual time by which its clock is slow
	clockBase    time.Duration  // clock reading at startedAt
	startedAt    time.Duration  // start of the current incarnation, in virtual time
	cpu          int            // thousandths of a core
	shrunkAt     time.Duration  // when cpu last became smaller
	cpuBefore    int            // before that
	cpuByTask    map[string]int // thousandths of a core, by task name
	heartbeatSeq int64
	down         bool // crashed, and not started again yet
	rack         string
	// decliningUntil is until when the server answers some calls without carrying them out.
	decliningUntil time.Duration
	// stopsDecliningUntil is the same for all orders to stop.
	stopsDecliningUntil time.Duration
	keepsID             bool // its incarnations have the same ID
	label               string
	// silent means that the server answers no call while it is down, and refuses none.
	silent   bool
	starting string // entry that has ordered the task that starts
}

// declinedCallShare is the share of calls that a declining server does not carry out.
const declinedCallShare = 0.4

// declines reports whether the server answers a call without carrying it out.
func (m *machine) declines() bool {
	return m.sim.now < m.decliningUntil && m.sim.rng.Float64() < declinedCallShare
}

// id returns the ID of the current incarnation of the server.
func (m *machine) id() string {
	if m.keepsID {
		return m.name
	}
	return fmt.Sprintf("%s-%d", m.name, m.incarnations)
}

func (m *machine) clock() time.Duration {
	return m.clockBase + time.Duration(float64(m.sim.now-m.startedAt)*(1-m.drift))
}

// downTime is how long a server is down after a task has crashed it.
const downTime = 3300 * time.Millisecond

// advance advances the server's clock to the current time.
func (m *machine) advance() *leaseserver.Server {
	if m.down {
		return m.server
	}
	running := m.server.Running()
	m.server.Advance(m.clock())
	if m.server.Crashed {
		m.down = true
		m.sim.counts["crashed"]++
		for _, r := range running {
			m.sim.crashes[r.Name]++
		}
		m.sim.after(downTime, m.restart)
	}
	return m.server
}

// restart starts a new incarnation of the server. All tasks of the old one end.
func (m *machine) restart() {
	if m.server != nil {
		m.advance()
		for _, r := range m.server.Running() {
			m.sim.crashes[r.Name]++
			m.sim.taskEnded(m.name, r.Name)
		}
	}
	m.down, m.silent = false, false
	m.incarnations++
	m.startedAt = m.sim.now
	m.clockBase = m.sim.draw(time.Second, time.Hour)
	m.heartbeatSeq = 0
	m.server = leaseserver.New(int64(m.sim.now/time.Millisecond)+1_000_000+int64(m.incarnations), m.clockBase)
	s := m.server
	s.OnStart = func(t leaseserver.TaskRun) { m.sim.taskStarted(m, t.Name, m.starting) }
	s.OnEnd = func(t leaseserver.TaskRun, _ string) { m.sim.taskEnded(m.name, t.Name) }
	m.advancePeriodically(s)
}

// advancePeriodically lets tasks end on time even if no call reaches the server.
func (m *machine) advancePeriodically(s *leaseserver.Server) {
	if m.server != s {
		return
	}
	m.advance()
	m.sim.after(5*time.Millisecond, func() { m.advancePeriodically(s) })
}

// After maxCrashes servers have crashed under a task that crashes those that start it,
// it may be started fewer than startsAfterCrashes times more.
const (
	maxCrashes         = 3
	startsAfterCrashes = 3
)

// taskStarted checks the invariants that a start can violate: a task does not run twice at
// the same time, a server does not exceed its capacity, has what the task needs and no
// more tasks of a job than it may have, and a task that crashes servers is given up.
func (sim *simulation) taskStarted(m *machine, task, entry string) {
	sim.counts["started"]++
	sim.traceEvent(m.name, "SERVER STARTS", task, "of "+entry)
	sim.started[task] = true
	job, _, _ := strings.Cut(task, ".")
	if sim.refused[job] {
		sim.fail("task %s starts after its job was refused as not run", task)
	}
	sim.checkNotCanceled(job, task)
	sim.taskOwned(m.name, entry, job, task)
	if at := sim.running[task]; len(at) > 0 {
		sim.fail("task %s starts at %s while it runs at %v", task, m.name, at)
	}
	sim.running[task] = append(sim.running[task], m.name)
	if sim.crashes[task] >= maxCrashes && strings.HasPrefix(task, deadlyPrefix) {
		if sim.startsAfter[task]++; sim.startsAfter[task] >= startsAfterCrashes {
			sim.fail("task %s was started %d times after %d servers had crashed under it", task, sim.startsAfter[task], maxCrashes)
		}
	}
	sim.checkRequirements(m, task)
	used := 0
	for _, r := range m.server.Running() {
		used += m.cpuByTask[r.Name]
	}
	if limit := m.capacityLimit(); used > limit {
		sim.fail("%s runs tasks of %d thousandths of a core, but has only %d", m.name, used, limit)
	}
}

// checkRequirements checks that the server has the label that the task needs, and no more
// tasks of its job than it may have.
func (sim *simulation) checkRequirements(m *machine, task string) {
	name, _, _ := strings.Cut(task, ".")
	job := sim.jobs[name]
	if job.RequiredLabel != "" {
		sim.counts["label needed"]++
		if job.RequiredLabel != m.label {
			sim.fail("task %s needs the label %s and starts at %s with the label %s", task, job.RequiredLabel, m.name, m.label)
		}
	}
	if job.MaxPerServer == 0 {
		return
	}
	sim.counts["bounded"]++
	here := 0
	for _, r := range m.server.Running() {
		if other, _, _ := strings.Cut(r.Name, "."); other == name {
			here++
		}
	}
	if here > job.MaxPerServer {
		sim.fail("%d tasks of job %s run at %s, which may have %d", here, name, m.name, job.MaxPerServer)
	}
}

// leastDownTime is the least time that a server is down before another one takes its place.
const leastDownTime = 150 * time.Millisecond

// replace stops the server, and starts one with the other label after a time. Its size may
// differ too, unless the ID is the same and nothing tells the agent that the server is down.
func (m *machine) replace(downFor time.Duration, silent bool, cpu int) {
	if m.down {
		return
	}
	for _, r := range m.advance().Running() {
		m.sim.taskEnded(m.name, r.Name)
	}
	if m.down {
		return // a task has crashed it
	}
	m.sim.counts["replaced"]++
	m.server = leaseserver.New(m.server.Incarnation, 0) // runs nothing and is not called
	m.down, m.silent = true, silent
	incarnations := m.incarnations
	m.sim.after(downFor, func() {
		if m.incarnations != incarnations {
			return // it has been restarted meanwhile
		}
		m.label = map[string]string{"a": "b", "b": "a"}[m.label]
		if !silent || !m.keepsID {
			m.cpu, m.cpuBefore = cpu, 0
		}
		m.restart()
	})
}

// shrinkGrace is how long after a server has shrunk its earlier capacity counts, as
// agreed with the users: a stable window and one heartbeat.
const shrinkGrace = 3*time.Second + heartbeatInterval

func (m *machine) capacityLimit() int {
	if m.cpuBefore > m.cpu && m.sim.now < m.shrunkAt+shrinkGrace {
		return m.cpuBefore
	}
	return m.cpu
}

// resize changes the capacity of the server, which its next heartbeat reports.
func (m *machine) resize(cpu int) {
	m.cpuBefore = m.capacityLimit()
	m.shrunkAt = m.sim.now
	m.cpu = cpu
}

func (sim *simulation) taskEnded(server, task string) {
	sim.traceEvent(server, "SERVER ENDS", task, "")
	list := sim.running[task]
	for i, s := range list {
		if s == server {
			sim.running[task] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// sorted returns the values of a map in the order of their keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	var list []V
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}
