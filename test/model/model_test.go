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

// traceLines limits the part of the trace that is printed on failure.
const traceLines = 200

// maxTick is the longest interval between two ticks of running processes.
const maxTick = 500 * time.Millisecond

// healTime is how long the system gets to complete every job after pauses and
// connection faults have ended. It exceeds every timeout that the test draws.
const healTime = 30 * time.Minute

// TestInterleavings checks that no task starts twice or after it was reported
// as not run, that every caller gets one reply, and that a final answer neither
// changes nor contradicts the starts at the backend servers, whatever the order
// of messages and faults.
func TestInterleavings(t *testing.T) {
	var stats statistics
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(t, "entries")
		agents := rapid.IntRange(1, 3).Draw(t, "agents")
		sim := newSimulation(entries, agents, &stats)
		sim.falseDeaths = rapid.IntRange(0, 3).Draw(t, "wrong death") == 3
		crashOdds := rapid.SampledFrom([]int{2, 8, 40}).Draw(t, "calm")
		d := &driver{t: t, sim: sim, crashOdds: crashOdds}
		t.Repeat(d.actions())
		d.heal()
		sim.checker.countFinalAnswers()
	})
	t.Logf("statistics: %+v", stats)
	if stats.Complete == 0 || stats.Failed == 0 {
		t.Errorf("no job completed or none failed in all runs: %+v", stats)
	}
}

// driver draws the next action.
type driver struct {
	t   *rapid.T
	sim *simulation
	// crashOdds makes crashes and graceful shutdowns rare: each drawn one
	// happens with probability 1/crashOdds.
	crashOdds int
}

// oneIn returns true in one of n draws.
func (d *driver) oneIn(t *rapid.T, n int) bool {
	return rapid.IntRange(0, n-1).Draw(t, "seldom") == n-1
}

func (d *driver) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":              d.check,
		"deliver":       d.deliver,
		"deliver first": d.deliverFirst,
		"deliver all":   d.deliverMany,
		"deliver more":  d.deliverMany,
		"deliver rest":  d.deliverMany,
		"lose":          d.lose,
		"double":        d.duplicate,
		"double run":    d.duplicateRun,
		"break link":    d.breakConnection,
		"break call":    d.breakCall,
		"cut":           d.blockRPCs,
		"crash entry":   d.crashEntry,
		"crash agent":   d.crashAgent,
		"restart":       d.restart,
		"pause":         d.pause,
		"resume":        d.resume,
		"tick":          d.tick,
		"announce":      d.announce,
		"peers":         func(*rapid.T) { d.sim.sendPeers() },
		"reserve":       d.reserve,
		"submit":        d.submit,
		"submit new":    d.submitNew,
		"submit again":  d.submitAgain,
		"submit other":  d.submitConflicting,
		"get":           d.get,
		"cancel":        d.cancel,
		"caller gone":   d.callerDisconnects,
		"document":      d.document,
		"leave":         d.leave,
	}
}

func (d *driver) check(t *rapid.T) {
	if len(d.sim.checker.violations) == 0 {
		return
	}
	trace := d.sim.trace
	if len(trace) > traceLines {
		trace = trace[len(trace)-traceLines:]
	}
	t.Fatalf("%s\ntrace:\n%s", strings.Join(d.sim.checker.violations, "\n"), strings.Join(trace, "\n"))
}

func pick[T any](t *rapid.T, from []T, description string) (T, bool) {
	if len(from) == 0 {
		var zero T
		return zero, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, description)], true
}

func (d *driver) deliver(t *rapid.T) {
	if i, ok := pick(t, d.sim.deliverable(), "packet"); ok {
		d.sim.deliver(d.sim.remove(i))
	}
}

func (d *driver) deliverFirst(*rapid.T) {
	if deliverable := d.sim.deliverable(); len(deliverable) > 0 {
		d.sim.deliver(d.sim.remove(deliverable[0]))
	}
}

// deliverMany delivers a drawn number of messages, oldest first. It is listed
// under three action names so that it is drawn more often.
func (d *driver) deliverMany(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "count") {
		d.deliverFirst(t)
	}
}

func (d *driver) lose(t *rapid.T) {
	i, ok := pick(t, d.sim.deliverable(), "packet")
	if !ok || d.sim.packets[i].local != 0 || d.oneIn(t, 2) {
		return
	}
	d.sim.checker.stats.Lost++
	d.sim.drop(d.sim.remove(i), "random loss")
}

func (d *driver) duplicate(t *rapid.T) {
	i, ok := pick(t, d.sim.deliverable(), "packet")
	if !ok || d.sim.packets[i].single {
		return
	}
	p := *d.sim.packets[i]
	p.label += " (duplicate)"
	p.lost = nil
	d.sim.checker.stats.Duplicated++
	d.sim.send(&p)
}

// duplicateRun duplicates a Run request, so that one copy may arrive much later
// than the other.
func (d *driver) duplicateRun(t *rapid.T) {
	var runs []*packet
	for _, p := range d.sim.packets {
		if strings.HasPrefix(p.label, "Run ") {
			runs = append(runs, p)
		}
	}
	if p, ok := pick(t, runs, "run"); ok {
		q := *p
		q.lost = nil
		d.sim.checker.stats.Duplicated++
		d.sim.send(&q)
	}
}

func (d *driver) breakConnection(t *rapid.T) {
	d.sim.removeEndedCalls()
	if c, ok := pick(t, d.sim.rpcs, "call"); ok {
		d.sim.logf("break the connection of %s to %v", c.entry.name, c.agent)
		d.sim.checker.stats.Disconnects++
		d.sim.disconnectCalls(c.entry, c.agent)
	}
}

func (d *driver) breakCall(t *rapid.T) {
	d.sim.removeEndedCalls()
	if c, ok := pick(t, d.sim.rpcs, "call"); ok {
		d.sim.logf("break %s of %s", c.label, c.entry.name)
		d.sim.checker.stats.Disconnects++
		c.disconnect()
	}
}

func (d *driver) blockRPCs(t *rapid.T) {
	e, _ := pick(t, d.sim.entries, "entry")
	a, _ := pick(t, d.sim.agents, "agent")
	e.blockRPCs[a] = !e.blockRPCs[a] && d.oneIn(t, 3)
	d.sim.logf("new RPCs from %s to %s fail: %v", e.name, a.name, e.blockRPCs[a])
}

func (d *driver) crashEntry(t *rapid.T) {
	e, _ := pick(t, d.sim.entries, "entry")
	if e.up && d.oneIn(t, d.crashOdds) {
		d.sim.logf("crash %s (%v)", e.name, e.incarnation)
		d.sim.checker.stats.Crashes++
		e.up, e.paused = false, false
	}
}

func (d *driver) crashAgent(t *rapid.T) {
	a, _ := pick(t, d.sim.agents, "agent")
	if a.up && d.oneIn(t, d.crashOdds) {
		d.sim.logf("crash %s (%v)", a.name, a.incarnation)
		d.sim.checker.stats.Crashes++
		a.up, a.paused = false, false
	}
}

func (d *driver) restart(*rapid.T) {
	for _, a := range d.sim.agents {
		if !a.up {
			d.sim.startAgent(a)
		}
	}
	for _, e := range d.sim.entries {
		if !e.up {
			d.sim.startEntry(e)
		}
	}
}

func (d *driver) pause(t *rapid.T) {
	i := rapid.IntRange(0, len(d.sim.entries)+len(d.sim.agents)-1).Draw(t, "process")
	n := d.sim.nodes()[i]
	if n.up {
		d.sim.logf("pause %s", n.name)
		n.paused = true
	}
}

func (d *driver) resume(*rapid.T) {
	for _, n := range d.sim.nodes() {
		n.paused = false
	}
}

func (sim *simulation) nodes() []*node {
	var out []*node
	for _, e := range sim.entries {
		out = append(out, &e.node)
	}
	for _, a := range sim.agents {
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
	if step > time.Minute || d.oneIn(t, 8) {
		d.sim.tick(step)
	} else {
		d.sim.advance(step)
	}
}

// advance lets time pass in steps of at most maxTick, so that running processes
// are ticked on time.
func (sim *simulation) advance(d time.Duration) {
	for d > 0 {
		step := min(d, maxTick)
		sim.tick(step)
		d -= step
	}
}

// tick advances the clock in one step. A step of more than maxTick is a pause
// of every process.
func (sim *simulation) tick(by time.Duration) {
	sim.now = sim.now.Add(by)
	if by != maxTick {
		sim.logf("tick %v", by)
	}
	for _, e := range sim.entries {
		if e.up && !e.paused {
			sim.stepEntry(e, coordinator.Ticked{})
		}
	}
	for _, a := range sim.agents {
		if a.up && !a.paused {
			sim.stepAgent(a, executor.Ticked{})
		}
	}
}

func (d *driver) announce(t *rapid.T) {
	e, _ := pick(t, d.sim.entries, "entry")
	a, _ := pick(t, d.sim.agents, "agent")
	d.sim.announce(a, e)
}

// runningEntry draws one of the entries that accept requests.
func (d *driver) runningEntry(t *rapid.T) (*entryNode, bool) {
	var up []*entryNode
	for _, e := range d.sim.entries {
		if e.up && !e.paused {
			up = append(up, e)
		}
	}
	return pick(t, up, "entry")
}

func (d *driver) reserve(t *rapid.T) {
	if e, ok := d.runningEntry(t); ok {
		d.sim.reserve(e, rapid.IntRange(1, 3).Draw(t, "count"))
	}
}

func (d *driver) drawJob(t *rapid.T) (int, time.Duration) {
	timeouts := []time.Duration{0, 0, time.Second, 30 * time.Second}
	timeout, _ := pick(t, timeouts, "timeout")
	return rapid.IntRange(1, 5).Draw(t, "tasks"), timeout
}

func (d *driver) submit(t *rapid.T) {
	e, ok := d.runningEntry(t)
	if !ok {
		return
	}
	for _, id := range d.sim.ids {
		if len(d.sim.byID[id].spec.Tasks) > 0 {
			continue
		}
		tasks, timeout := d.drawJob(t)
		d.sim.submit(e, id, tasks, timeout, rapid.Bool().Draw(t, "wait"))
		return
	}
	d.sim.reserve(e, 1)
}

func (d *driver) submitNew(t *rapid.T) {
	if e, ok := d.runningEntry(t); ok {
		tasks, timeout := d.drawJob(t)
		d.sim.submitNew(e, tasks, timeout, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) submitAgain(t *rapid.T) {
	e, ok := d.runningEntry(t)
	id, found := pick(t, d.sim.ids, "id")
	if ok && found {
		d.sim.submit(e, id, 1, 0, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) submitConflicting(t *rapid.T) {
	e, ok := d.runningEntry(t)
	id, found := pick(t, d.sim.ids, "id")
	if ok && found && d.sim.byID[id].homeAnswer != nil {
		d.sim.submitConflicting(e, id)
	}
}

func (d *driver) get(t *rapid.T) {
	e, ok := d.runningEntry(t)
	id, found := pick(t, d.sim.ids, "id")
	if ok && found {
		d.sim.get(e, id, rapid.Bool().Draw(t, "wait"))
	}
}

func (d *driver) cancel(t *rapid.T) {
	e, ok := d.runningEntry(t)
	id, found := pick(t, d.sim.ids, "id")
	if ok && found {
		d.sim.cancel(e, id)
	}
}

func (d *driver) callerDisconnects(t *rapid.T) {
	e, ok := d.runningEntry(t)
	if !ok || e.nextID == 0 {
		return
	}
	call := coordinator.CallID(rapid.Uint64Range(1, uint64(e.nextID)).Draw(t, "call"))
	if r := e.openCalls[call]; r != nil && r.call.job != nil {
		d.sim.closeCall(e, call, rapid.Bool().Draw(t, "answer"))
	}
}

func (d *driver) document(t *rapid.T) {
	if !d.oneIn(t, 4) {
		return
	}
	lines := []string{
		"", "[leave]\ndrain = true\n", "[leave]\nbackend_servers = [\"agent-0\"]\n",
		"[leave]\nstop_canceled = true\n", "[limits]\nslots = 1\nqueue = 1\n",
		"[teams.kariakoo]\nmax_open_tasks = 6\n", "[accept]\nmax_tasks_per_job = 3\n",
	}
	text, _ := pick(t, lines, "document")
	d.sim.latestRecord = newRecord(d.sim.latestRecord.Revision+1, text)
	for _, e := range d.sim.entries {
		d.sim.document(e, d.sim.latestRecord)
	}
}

func (d *driver) leave(t *rapid.T) {
	if !d.oneIn(t, d.crashOdds) {
		return
	}
	i := rapid.IntRange(0, len(d.sim.entries)+len(d.sim.agents)-1).Draw(t, "process")
	if i < len(d.sim.entries) {
		if e := d.sim.entries[i]; e.up && !e.paused {
			d.sim.logf("%s leaves", e.name)
			d.sim.stepEntry(e, coordinator.LeaveRequested{})
		}
		return
	}
	if a := d.sim.agents[i-len(d.sim.entries)]; a.up && !a.paused {
		d.sim.logf("%s leaves", a.name)
		d.sim.stepAgent(a, executor.LeaveRequested{})
	}
}

// heal ends all pauses and connection faults and lets the system settle;
// processes that are down stay down. After that every job at a live home must
// be final, and every caller whose entry is still running must have its reply.
func (d *driver) heal() {
	sim := d.sim
	sim.logf("heal")
	d.resume(nil)
	for _, e := range sim.entries {
		e.blockRPCs = make(map[*agentNode]bool)
	}
	until := sim.now.Add(healTime)
	step := 100 * time.Millisecond
	for sim.now.Before(until) {
		d.flush()
		sim.advance(step)
		step = min(step*5/4, 30*time.Second)
	}
	d.flush()
	sim.sendPeers()
	d.flush()
	d.checkSettled()
	d.check(d.t)
}

// flush delivers all messages and fails the calls that will never be answered.
func (d *driver) flush() {
	sim := d.sim
	for rounds := 0; ; rounds++ {
		for len(sim.packets) > 0 {
			sim.deliver(sim.remove(0))
			if rounds++; rounds > 100000 {
				sim.checker.violationf("messages do not come to an end after 100000 rounds")
				return
			}
		}
		d.check(d.t)
		d.failDeadCalls()
		if len(sim.packets) == 0 {
			return
		}
	}
}

// homeOf returns the entry whose latest incarnation is the home of the caller's
// job, or nil.
func (sim *simulation) homeOf(c *pendingCall) *entryNode {
	for _, e := range sim.entries {
		if c.job != nil && e.incarnation == c.job.id.Home {
			return e
		}
	}
	return nil
}

// failDeadCalls fails the requests and RPCs that wait for an incarnation that
// has ended.
func (d *driver) failDeadCalls() {
	sim := d.sim
	for _, c := range sim.callerRequests {
		home := sim.homeOf(c)
		if c.abandonHome != nil && c.replies == 0 && (home == nil || !home.up) {
			c.abandonHome()
		}
	}
	sim.removeEndedCalls()
	for _, c := range append([]*rpcCall(nil), sim.rpcs...) {
		if c.server != nil && (!c.server.up || c.server.incarnation != c.serverIncarnation) {
			c.disconnect()
		}
	}
	sim.removeEndedCalls()
}

func (d *driver) checkSettled() {
	sim := d.sim
	for _, c := range sim.callerRequests {
		if c.replies == 0 && !c.disconnected && c.entry.up && c.entry.incarnation == c.incarnation {
			sim.checker.violationf("%s got no reply", c.description)
		}
	}
	for _, id := range sim.ids {
		jb := sim.byID[id]
		for _, e := range sim.entries {
			if e.up && e.incarnation == id.Home && len(jb.spec.Tasks) > 0 {
				d.checkJobFinal(e, jb)
			}
		}
	}
}

// checkJobFinal checks that a job's live home returns a final answer.
func (d *driver) checkJobFinal(e *entryNode, jb *job) {
	sim := d.sim
	c, call := sim.registerCall(e, jb, "final get of job %d", jb.number)
	c.onReply = func(a *structs.JobAnswer, err *structs.Error) {
		if a != nil && !a.State.Final() {
			sim.checker.violationf("%s: the job is not final after all faults have ended", c.description)
		}
	}
	sim.stepEntry(e, coordinator.GetCalled{Call: call, ID: jb.id})
}
