package sessions_test

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// resendAfter is how long after a broken connection a caller sends a copy, by
// the users' terms.
const resendAfter = 1300 * time.Millisecond

// epoch is the start of a world's time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a whole system on virtual time.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	entries []*entryProc
	agents  []*agentProc
	fail    func(format string, args ...any)
	trace   func(format string, args ...any) // nil for none
	watch   string                           // the job to trace

	lateShare float64             // of orders to servers that are carried out late
	running   map[string][]string // servers that run a task
	started   map[string]bool     // tasks that ever started, by name
	counts    map[string]int
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

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + max(d, 0), seq: w.seq, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int63n(int64(high-low)+1))
}

// note traces a line of the log that names the watched job or none.
func (w *world) note(who, event, job, detail string) {
	if w.trace != nil && (job == "" || strings.HasPrefix(job, w.watch)) {
		w.trace("%s %s %s %s", who, event, job, detail)
	}
}

// process is what can be killed and frozen.
type process struct {
	w      *world
	life   int // grows with each start
	up     bool
	frozen bool
	inbox  []func() // what waits while it is frozen
	// lag is how much its steady clock is behind the world's.
	lag time.Duration
}

// steady returns the process's steady clock.
func (p *process) steady() time.Time { return epoch.Add(p.w.now - p.lag) }

// in runs do in the present life of the process, now or when it thaws.
func (p *process) in(do func()) {
	if !p.up {
		return
	}
	if p.frozen {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
}

// afterIn is in after a delay, for the present life only.
func (p *process) afterIn(d time.Duration, do func()) {
	life := p.life
	p.w.after(d, func() {
		if p.life == life {
			p.in(do)
		}
	})
}

// freeze stops the process for a time; its steady clock may stand still.
func (p *process) freeze(d time.Duration, clockStops bool) {
	if !p.up || p.frozen {
		return
	}
	p.frozen = true
	life := p.life
	p.w.after(d, func() {
		if p.life != life {
			return
		}
		p.frozen = false
		if clockStops {
			p.lag += d
		}
		waiting := p.inbox
		p.inbox = nil
		for _, do := range waiting {
			p.in(do)
		}
	})
}

func (p *process) kill() {
	p.up, p.frozen, p.inbox = false, false, nil
	p.life++
}

// machine is a backend server with its clock.
type machine struct {
	w      *world
	name   string
	server *leaseserver.Server
	lives  int
	drift  float64 // of its clock, slower than the world's
	base   time.Duration
	born   time.Duration
	cpu    int
	sizes  map[string]int // by task
	beat   int64
}

func (m *machine) clock() time.Duration {
	return m.base + time.Duration(float64(m.w.now-m.born)*(1-m.drift))
}

// sync moves the server's clock to the world's time.
func (m *machine) sync() *leaseserver.Server {
	m.server.Advance(m.clock())
	return m.server
}

// rebirth replaces the server's run: all that ran there ends.
func (m *machine) rebirth() {
	if m.server != nil {
		m.sync()
		for _, r := range m.server.Running() {
			m.w.ended(m.name, r.Name)
		}
	}
	m.lives++
	m.born = m.w.now
	m.base = m.w.between(time.Second, time.Hour)
	m.beat = 0
	m.server = leaseserver.New(int64(m.w.now/time.Millisecond)+1_000_000+int64(m.lives), m.base)
	s := m.server
	s.OnStart = func(t leaseserver.TaskRun) { m.w.begun(m, t.Name) }
	s.OnEnd = func(t leaseserver.TaskRun, _ string) { m.w.ended(m.name, t.Name) }
	m.poke(s)
}

// poke lets ends come about in time even if nobody looks.
func (m *machine) poke(s *leaseserver.Server) {
	if m.server != s {
		return
	}
	m.sync()
	m.w.after(5*time.Millisecond, func() { m.poke(s) })
}

// begun checks the two promises that a start can break.
func (w *world) begun(m *machine, task string) {
	w.counts["started"]++
	w.note(m.name, "SERVER STARTS", task, "")
	w.started[task] = true
	if at := w.running[task]; len(at) > 0 {
		w.fail("task %s starts at %s while it runs at %v", task, m.name, at)
	}
	w.running[task] = append(w.running[task], m.name)
	used := 0
	for _, r := range m.server.Running() {
		used += m.sizes[r.Name]
	}
	if used > m.cpu {
		w.fail("%s runs %d of %d", m.name, used, m.cpu)
	}
}

func (w *world) ended(server, task string) {
	w.note(server, "SERVER ENDS", task, "")
	list := w.running[task]
	for i, s := range list {
		if s == server {
			w.running[task] = append(list[:i:i], list[i+1:]...)
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
