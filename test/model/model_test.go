package model_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// traceLines bounds the part of the trace that a failure prints.
const traceLines = 200

// maxTick is at most what processes that run are ticked apart.
const maxTick = 500 * time.Millisecond

// healTime is how long the healed system gets to settle every job; it exceeds
// every timeout that the model draws.
const healTime = 30 * time.Minute

// TestInterleavings checks the promises of issue 4 under interleavings.
func TestInterleavings(t *testing.T) {
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(t, "entries")
		agents := rapid.IntRange(1, 3).Draw(t, "agents")
		w := newWorld(entries, agents, &total)
		w.wrongDeath = rapid.IntRange(0, 3).Draw(t, "wrong death") == 3
		calm := rapid.SampledFrom([]int{2, 8, 40}).Draw(t, "calm")
		d := &driver{t: t, w: w, calm: calm}
		t.Repeat(d.actions())
		d.heal()
		w.judge.count()
	})
	t.Logf("tally: %+v", total)
	if total.Complete == 0 || total.Failed == 0 {
		t.Errorf("the runs hold no complete or no failed job: %+v", total)
	}
}

// driver draws what happens next.
type driver struct {
	t *rapid.T
	w *world
	// calm makes crashes and leaving rare: one of so many that are drawn.
	calm int
}

// seldom is true once in n draws.
func (d *driver) seldom(t *rapid.T, n int) bool {
	return rapid.IntRange(0, n-1).Draw(t, "seldom") == n-1
}

func (d *driver) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":              d.check,
		"deliver":       d.deliver,
		"deliver first": d.deliverFirst,
		"deliver all":   d.deliverAll,
		"deliver more":  d.deliverAll,
		"deliver rest":  d.deliverAll,
		"lose":          d.lose,
		"double":        d.double,
		"double run":    d.doubleRun,
		"break link":    d.breakLink,
		"break call":    d.breakCall,
		"cut":           d.cut,
		"crash entry":   d.crashEntry,
		"crash agent":   d.crashAgent,
		"restart":       d.restart,
		"pause":         d.pause,
		"resume":        d.resume,
		"tick":          d.tick,
		"announce":      d.announce,
		"peers":         func(*rapid.T) { d.w.peers() },
		"reserve":       d.reserve,
		"submit":        d.submit,
		"submit new":    d.submitNew,
		"submit again":  d.submitAgain,
		"submit other":  d.submitOther,
		"get":           d.get,
		"cancel":        d.cancel,
		"caller gone":   d.callerGone,
		"document":      d.document,
		"leave":         d.leave,
	}
}

func (d *driver) check(t *rapid.T) {
	if len(d.w.judge.faults) == 0 {
		return
	}
	trace := d.w.trace
	if len(trace) > traceLines {
		trace = trace[len(trace)-traceLines:]
	}
	t.Fatalf("%s\ntrace:\n%s", strings.Join(d.w.judge.faults, "\n"), strings.Join(trace, "\n"))
}

func pick[T any](t *rapid.T, from []T, what string) (T, bool) {
	if len(from) == 0 {
		var zero T
		return zero, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)], true
}

func (d *driver) deliver(t *rapid.T) {
	if i, ok := pick(t, d.w.ready(), "packet"); ok {
		d.w.deliver(d.w.take(i))
	}
}

func (d *driver) deliverFirst(*rapid.T) {
	if ready := d.w.ready(); len(ready) > 0 {
		d.w.deliver(d.w.take(ready[0]))
	}
}

// deliverAll delivers what is under way now, in order.
func (d *driver) deliverAll(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "count") {
		d.deliverFirst(t)
	}
}

func (d *driver) lose(t *rapid.T) {
	i, ok := pick(t, d.w.ready(), "packet")
	if !ok || d.w.packets[i].local != 0 || d.seldom(t, 2) {
		return
	}
	d.w.judge.total.Lost++
	d.w.drop(d.w.take(i), "drawn")
}

func (d *driver) double(t *rapid.T) {
	i, ok := pick(t, d.w.ready(), "packet")
	if !ok || d.w.packets[i].single {
		return
	}
	p := *d.w.packets[i]
	p.label += " (double)"
	p.lost = nil
	d.w.judge.total.Double++
	d.w.send(&p)
}

// doubleRun doubles a dispatch, so that one of the two may come much later.
func (d *driver) doubleRun(t *rapid.T) {
	var runs []*packet
	for _, p := range d.w.packets {
		if strings.HasPrefix(p.label, "Run ") {
			runs = append(runs, p)
		}
	}
	if p, ok := pick(t, runs, "run"); ok {
		q := *p
		q.lost = nil
		d.w.judge.total.Double++
		d.w.send(&q)
	}
}

func (d *driver) breakLink(t *rapid.T) {
	d.w.sweep()
	if c, ok := pick(t, d.w.calls, "call"); ok {
		d.w.logf("break the link of %s to %v", c.entry.name, c.agent)
		d.w.judge.total.Broken++
		d.w.breakCalls(c.entry, c.agent)
	}
}

func (d *driver) breakCall(t *rapid.T) {
	d.w.sweep()
	if c, ok := pick(t, d.w.calls, "call"); ok {
		d.w.logf("break %s of %s", c.label, c.entry.name)
		d.w.judge.total.Broken++
		c.broken()
	}
}

func (d *driver) cut(t *rapid.T) {
	e, _ := pick(t, d.w.entries, "entry")
	a, _ := pick(t, d.w.agents, "agent")
	e.cut[a] = !e.cut[a] && d.seldom(t, 3)
	d.w.logf("cut %s from %s: %v", e.name, a.name, e.cut[a])
}

func (d *driver) crashEntry(t *rapid.T) {
	e, _ := pick(t, d.w.entries, "entry")
	if e.up && d.seldom(t, d.calm) {
		d.w.logf("crash %s (%v)", e.name, e.run)
		d.w.judge.total.Crashes++
		e.up, e.paused = false, false
	}
}

func (d *driver) crashAgent(t *rapid.T) {
	a, _ := pick(t, d.w.agents, "agent")
	if a.up && d.seldom(t, d.calm) {
		d.w.logf("crash %s (%v)", a.name, a.run)
		d.w.judge.total.Crashes++
		a.up, a.paused = false, false
	}
}

func (d *driver) restart(*rapid.T) {
	for _, a := range d.w.agents {
		if !a.up {
			d.w.startAgent(a)
		}
	}
	for _, e := range d.w.entries {
		if !e.up {
			d.w.startEntry(e)
		}
	}
}

func (d *driver) pause(t *rapid.T) {
	i := rapid.IntRange(0, len(d.w.entries)+len(d.w.agents)-1).Draw(t, "process")
	n := d.w.nodes()[i]
	if n.up {
		d.w.logf("pause %s", n.name)
		n.paused = true
	}
}

func (d *driver) resume(*rapid.T) {
	for _, n := range d.w.nodes() {
		n.paused = false
	}
}

func (w *world) nodes() []*node {
	var out []*node
	for _, e := range w.entries {
		out = append(out, &e.node)
	}
	for _, a := range w.agents {
		out = append(out, &a.node)
	}
	return out
}

func (d *driver) tick(t *rapid.T) {
	steps := []time.Duration{
		10 * time.Millisecond, 100 * time.Millisecond, time.Second, 3 * time.Second,
		10 * time.Second, time.Minute, 15 * time.Minute,
	}
	step := steps[min(rapid.IntRange(0, 12).Draw(t, "step"), len(steps)-1)]
	if step > time.Minute || d.seldom(t, 8) {
		d.w.tick(step)
	} else {
		d.w.pass(step)
	}
}

// pass lets time pass with the ticks that processes get when they run.
func (w *world) pass(d time.Duration) {
	for d > 0 {
		step := min(d, maxTick)
		w.tick(step)
		d -= step
	}
}

// tick lets time pass at once: more than maxTick is a pause of every process.
func (w *world) tick(by time.Duration) {
	w.now = w.now.Add(by)
	if by != maxTick {
		w.logf("tick %v", by)
	}
	for _, e := range w.entries {
		if e.up && !e.paused {
			w.stepEntry(e, coordinator.Ticked{})
		}
	}
	for _, a := range w.agents {
		if a.up && !a.paused {
			w.stepAgent(a, executor.Ticked{})
		}
	}
}

func (d *driver) announce(t *rapid.T) {
	e, _ := pick(t, d.w.entries, "entry")
	a, _ := pick(t, d.w.agents, "agent")
	d.w.announce(a, e)
}

// running returns a drawn entry that takes requests.
func (d *driver) running(t *rapid.T) (*entryNode, bool) {
	var up []*entryNode
	for _, e := range d.w.entries {
		if e.up && !e.paused {
			up = append(up, e)
		}
	}
	return pick(t, up, "entry")
}

func (d *driver) reserve(t *rapid.T) {
	if e, ok := d.running(t); ok {
		d.w.reserve(e, rapid.IntRange(1, 3).Draw(t, "count"))
	}
}

func (d *driver) jobSize(t *rapid.T) (int, time.Duration) {
	timeouts := []time.Duration{0, 0, time.Second, 30 * time.Second}
	timeout, _ := pick(t, timeouts, "timeout")
	return rapid.IntRange(1, 5).Draw(t, "tasks"), timeout
}

func (d *driver) submit(t *rapid.T) {
	e, ok := d.running(t)
	if !ok {
		return
	}
	for _, id := range d.w.ids {
		if len(d.w.byID[id].spec.Tasks) > 0 {
			continue
		}
		tasks, timeout := d.jobSize(t)
		d.w.submit(e, id, tasks, timeout, rapid.Bool().Draw(t, "wait"))
		return
	}
	d.w.reserve(e, 1)
}

func (d *driver) submitNew(t *rapid.T) {
	if e, ok := d.running(t); ok {
		tasks, timeout := d.jobSize(t)
		d.w.submitNew(e, tasks, timeout, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) submitAgain(t *rapid.T) {
	e, ok := d.running(t)
	id, known := pick(t, d.w.ids, "id")
	if ok && known {
		d.w.submit(e, id, 1, 0, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) submitOther(t *rapid.T) {
	e, ok := d.running(t)
	id, known := pick(t, d.w.ids, "id")
	if ok && known && d.w.byID[id].byHome != nil {
		d.w.submitOther(e, id)
	}
}

func (d *driver) get(t *rapid.T) {
	e, ok := d.running(t)
	id, known := pick(t, d.w.ids, "id")
	if ok && known {
		d.w.get(e, id, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) cancel(t *rapid.T) {
	e, ok := d.running(t)
	id, known := pick(t, d.w.ids, "id")
	if ok && known {
		d.w.cancel(e, id)
	}
}

func (d *driver) callerGone(t *rapid.T) {
	e, ok := d.running(t)
	if !ok || e.nextID == 0 {
		return
	}
	call := coordinator.CallID(rapid.Uint64Range(1, uint64(e.nextID)).Draw(t, "call"))
	if r := e.waiting[call]; r != nil && r.call.job != nil {
		d.w.leaveCall(e, call, rapid.Bool().Draw(t, "answer"))
	}
}

func (d *driver) document(t *rapid.T) {
	if !d.seldom(t, 4) {
		return
	}
	lines := []string{
		"", "[leave]\ndrain = true\n", "[leave]\nbackend_servers = [\"agent-0\"]\n",
		"[leave]\nstop_canceled = true\n", "[limits]\nslots = 1\nqueue = 1\n",
		"[teams.kariakoo]\nmax_open_tasks = 6\n", "[accept]\nmax_tasks_per_job = 3\n",
	}
	text, _ := pick(t, lines, "document")
	d.w.record = newRecord(d.w.record.Revision+1, text)
	for _, e := range d.w.entries {
		d.w.document(e, d.w.record)
	}
}

func (d *driver) leave(t *rapid.T) {
	if !d.seldom(t, d.calm) {
		return
	}
	i := rapid.IntRange(0, len(d.w.entries)+len(d.w.agents)-1).Draw(t, "process")
	if i < len(d.w.entries) {
		if e := d.w.entries[i]; e.up && !e.paused {
			d.w.logf("%s leaves", e.name)
			d.w.stepEntry(e, coordinator.LeaveRequested{})
		}
		return
	}
	if a := d.w.agents[i-len(d.w.entries)]; a.up && !a.paused {
		d.w.logf("%s leaves", a.name)
		d.w.stepAgent(a, executor.LeaveRequested{})
	}
}

// heal ends all faults and lets the system settle: every job at a living home
// is then final, and every caller whose entry lives has its reply.
func (d *driver) heal() {
	w := d.w
	w.logf("heal")
	d.resume(nil)
	for _, e := range w.entries {
		e.cut = make(map[*agentNode]bool)
	}
	until := w.now.Add(healTime)
	step := 100 * time.Millisecond
	for w.now.Before(until) {
		d.flush()
		w.pass(step)
		step = min(step*5/4, 30*time.Second)
	}
	d.flush()
	w.peers()
	d.flush()
	d.settled()
	d.check(d.t)
}

// flush delivers everything and breaks the calls that nobody will answer.
func (d *driver) flush() {
	w := d.w
	for rounds := 0; ; rounds++ {
		for len(w.packets) > 0 {
			w.deliver(w.take(0))
			if rounds++; rounds > 100000 {
				w.judge.faultf("messages go round without end")
				return
			}
		}
		d.check(d.t)
		d.breakDead()
		if len(w.packets) == 0 {
			return
		}
	}
}

// entryOf returns the entry that runs as the home of the caller's job, if any.
func (w *world) entryOf(c *pendingCall) *entryNode {
	for _, e := range w.entries {
		if c.job != nil && e.run == c.job.id.Home {
			return e
		}
	}
	return nil
}

// breakDead breaks the open RPCs that were served by a run that is gone.
func (d *driver) breakDead() {
	w := d.w
	for _, c := range w.callers {
		home := w.entryOf(c)
		if c.noReply != nil && c.replies == 0 && (home == nil || !home.up) {
			c.noReply()
		}
	}
	w.sweep()
	for _, c := range append([]*call(nil), w.calls...) {
		if c.server != nil && (!c.server.up || c.server.run != c.servedBy) {
			c.broken()
		}
	}
	w.sweep()
}

func (d *driver) settled() {
	w := d.w
	for _, c := range w.callers {
		if c.replies == 0 && !c.gone && c.entry.up && c.entry.run == c.run {
			w.judge.faultf("%s got no reply", c.what)
		}
	}
	for _, id := range w.ids {
		jb := w.byID[id]
		for _, e := range w.entries {
			if e.up && e.run == id.Home && len(jb.spec.Tasks) > 0 {
				d.final(e, jb)
			}
		}
	}
}

// final asks a job's living home for its answer.
func (d *driver) final(e *entryNode, jb *job) {
	w := d.w
	c, call := w.pending(e, jb, "last get of job %d", jb.number)
	c.done = func(a *structs.JobAnswer, err *structs.Error) {
		if a != nil && !a.State.Final() {
			w.judge.faultf("%s: the job is not final after all has healed", c.what)
		}
	}
	w.stepEntry(e, coordinator.GetCalled{Call: call, ID: jb.id})
}
