package taskrunner_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Guards against starts on what an agent was sent before it was suspended, in whatever order it
// handles that afterwards: every start that it sends then has a lease that is over by the server's
// clock, also if the agent's own clock stood still.
func TestSuspendedAgentStartsNothingOnEarlierMessages(t *testing.T) {
	for _, pause := range []time.Duration{taskrunner.DefaultSessionTTL + 10*time.Millisecond, 1300 * time.Millisecond, 10 * time.Second} {
		for _, stands := range []bool{false, true} {
			t.Run(fmt.Sprintf("pause %v, clock stands still %t", pause, stands), func(t *testing.T) {
				permute(6, func(order []int) {
					h := newHarness(t)
					h.makeReady()
					h.advance(100 * time.Millisecond)
					h.step(taskrunner.Ticked{})
					renewal := h.newestRenewalID()
					echo := h.reading()
					h.order(1, echo, "job", 8000, 1, 2, 3) // one waits for capacity
					starts := effects[taskrunner.StartTask](h)
					h.Expect(starts).To(HaveLen(2))
					waiting := []taskrunner.Event{
						taskrunner.OrderCalled{Call: 90, Session: 1, Request: session.OrderRequest{Echo: echo, Start: []session.JobPart{{
							Job: "late", Service: "booking", CPU: 1000, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: time.Minute,
							Tasks: []session.Placement{{ID: 4, Attempt: 1}},
						}}}},
						taskrunner.PollCalled{Call: 91, Session: 1, Request: session.PollRequest{Echo: echo}},
						taskrunner.StartReplied{Key: starts[0].Key, Result: taskrunner.StartUnknown},
						taskrunner.StartReplied{Key: starts[1].Key, Result: taskrunner.StartNumberUsed, Clock: h.clock},
						taskrunner.RenewReplied{ID: renewal, OK: true, ServerIncarnation: incarnation, Clock: h.clock},
						taskrunner.RenewReplied{ID: 0, OK: true, ServerIncarnation: incarnation, Clock: h.clock + pause},
					}
					h.clock += pause
					if !stands {
						h.now = h.now.Add(pause)
					}
					for _, i := range order {
						h.step(waiting[i])
						for _, start := range effects[taskrunner.StartTask](h) {
							if start.Until > h.clock {
								t.Fatalf("order of events %v: start of %s until %v, the server's clock shows %v", order, start.Key, start.Until, h.clock)
							}
						}
					}
				})
			})
		}
	}
}

// Guards against a start that the server carries out late, after the session of its entry: the agent
// has sent it when capacity became free, long after the entry's last message.
func TestLeaseOfStartEndsWithTheSession(t *testing.T) {
	const waited = 400 * time.Millisecond
	h := newHarness(t)
	h.makeReady()
	echo := h.reading()
	h.order(1, echo, "running", 20_000, 1)
	h.acceptStart(runKey("running", 0))
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: echo, Start: []session.JobPart{{
		Job: "queued", Service: "booking", CPU: 1000, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: time.Second,
		Tasks: []session.Placement{{ID: 2, Attempt: 1}},
	}}}})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.advance(waited)
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Until", echo.Clock+taskrunner.DefaultSessionTTL)))
}

// permute calls f with all permutations of the numbers below n.
func permute(n int, f func([]int)) {
	var extend func(prefix []int)
	extend = func(prefix []int) {
		if len(prefix) == n {
			f(prefix)
			return
		}
		for i := range n {
			if !slices.Contains(prefix, i) {
				extend(append(slices.Clone(prefix), i))
			}
		}
	}
	extend(nil)
}

// serverClockDrift is how much slower than real time the platform's servers' clocks may run.
const serverClockDrift = 0.02

// startWalk is a random walk of two entries, an agent and its server through calls, faults and
// time. It checks how late after the last message of its entry a task starts.
type startWalk struct {
	*harness // now is the agent's time
	rng      *rand.Rand
	traced   bool
	trace    []string
	fault    string
	real     time.Duration // since the beginning
	latest   time.Duration // of all starts, after the last message of the entry
	starts   int

	boot    int64
	bootAt  time.Duration
	clock0  time.Duration // at bootAt
	token   int64
	lease   time.Duration
	running map[taskrunner.RunKey]time.Duration // clock at the start
	used    map[taskrunner.TaskKey]int          // highest run number that was stopped or has ended
	ends    []taskrunner.EndRow
	reports int64
	agents  int64 // that were killed

	calls    []*startWalkCall
	held     []*startWalkCall // ended without a reply, may be carried out by their boot
	entries  [2]startWalkEntry
	sessions uint64
	jobs     int
	lastSign map[structs.Incarnation]time.Duration // last message of an entry
	stopped  map[taskrunner.TaskKey]bool           // the agent has handled the order to stop it
}

type startWalkCall struct {
	effect taskrunner.Effect
	known  int64            // boot that it is for; zero if for any one
	reply  taskrunner.Event // nil until it was carried out
}

// startWalkEntry is an entry with one session at a time.
type startWalkEntry struct {
	incarnation structs.Incarnation
	session     uint64
	open        bool
	polling     bool // a poll has no reply
	echo        session.ClockReading
	placed      []uint64
	socket      []taskrunner.Event // sent and not handled yet
	quietUntil  time.Duration      // suspended, cut off or killed until then
}

func runStartWalk(t *testing.T, seed int64, traced bool) *startWalk {
	w := &startWalk{harness: newHarness(t), traced: traced, rng: rand.New(rand.NewSource(seed)), lastSign: make(map[structs.Incarnation]time.Duration), stopped: make(map[taskrunner.TaskKey]bool)}
	w.boot = incarnation - 1
	w.restart(time.Hour)
	for i := range w.entries {
		w.entries[i].incarnation = structs.Incarnation(10 + i)
	}
	w.feed(taskrunner.Ticked{})
	for i := 0; i < 600 && w.fault == ""; i++ {
		w.event()
	}
	return w
}

func (w *startWalk) log(format string, args ...any) {
	if !w.traced {
		return
	}
	w.trace = append(w.trace, fmt.Sprintf("%v (agent %v) ", w.real, w.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// between draws a time.
func (w *startWalk) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int63n(int64(most-least)))
}

func (w *startWalk) serverClock() time.Duration {
	return w.clock0 + time.Duration(float64(w.real-w.bootAt)/(1+serverClockDrift))
}

// restart starts the next incarnation of the server, which knows nothing of the one before it.
func (w *startWalk) restart(clock time.Duration) {
	w.boot++
	w.bootAt, w.clock0, w.token, w.lease, w.ends, w.held = w.real, clock, 0, 0, nil, nil
	w.running, w.used = make(map[taskrunner.RunKey]time.Duration), make(map[taskrunner.TaskKey]int)
	w.log("server boots: %d, clock %v", w.boot, clock)
}

func (w *startWalk) endRun(k taskrunner.RunKey, o taskrunner.EndOutcome) {
	delete(w.running, k)
	w.used[k.TaskKey] = max(w.used[k.TaskKey], k.Number)
	w.ends = append(w.ends, taskrunner.EndRow{Index: int64(len(w.ends) + 1), Key: k, Outcome: o})
}

func (w *startWalk) sortedRunning() []taskrunner.RunKey {
	var list []taskrunner.RunKey
	for k := range w.running {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b taskrunner.RunKey) int { return strings.Compare(a.String(), b.String()) })
	return list
}

// elapse lets real time pass. The agent's clock runs on unless it stands still.
func (w *startWalk) elapse(d time.Duration, stands bool) {
	w.real += d
	if !stands {
		w.now = w.now.Add(d)
	}
	clock := w.serverClock()
	for _, k := range w.sortedRunning() {
		switch {
		case clock > w.lease:
			w.endRun(k, taskrunner.EndLost)
		case clock-w.running[k] > 150*time.Millisecond:
			w.endRun(k, taskrunner.EndDone)
		}
	}
}

// execute carries out a call and returns the reply. The server does nothing for another
// incarnation's calls.
func (w *startWalk) execute(ef taskrunner.Effect, known int64) taskrunner.Event {
	other := known != 0 && known != w.boot
	clock := w.serverClock()
	switch e := ef.(type) {
	case taskrunner.StartTask:
		if other {
			return taskrunner.StartReplied{Key: e.Key, Result: taskrunner.StartOtherServer}
		}
		r := taskrunner.StartReplied{Key: e.Key, Clock: clock, Result: taskrunner.StartAccepted}
		_, runs := w.running[e.Key]
		switch {
		case e.Token < w.token:
			r.Result = taskrunner.StartFenced
			return r
		case runs:
		case e.Key.Number <= w.used[e.Key.TaskKey]:
			r.Result = taskrunner.StartNumberUsed
		case e.Until <= clock:
			r.Result = taskrunner.StartExpired
		case w.rng.Intn(8) == 0:
			r.Result, r.Clock = taskrunner.StartDeclined, 0
			return r
		default:
			w.started(e.Key)
		}
		w.token = e.Token
		w.lease = max(w.lease, min(e.Until, clock+time.Second))
		return r
	case taskrunner.StopTask:
		if other || e.Token < w.token {
			return taskrunner.StopReplied{Key: e.Key, Known: e.Known}
		}
		w.token = e.Token
		if _, runs := w.running[e.Key]; runs {
			w.endRun(e.Key, taskrunner.EndStopped)
		}
		w.used[e.Key.TaskKey] = max(w.used[e.Key.TaskKey], e.Key.Number)
		return taskrunner.StopReplied{Key: e.Key, OK: true, Clock: clock, Known: e.Known}
	case taskrunner.RenewLease:
		if other || e.Token < w.token {
			return taskrunner.RenewReplied{ID: e.ID, OtherServer: other, Fenced: !other}
		}
		w.token = e.Token
		if e.Until > clock {
			w.lease = max(w.lease, min(e.Until, clock+time.Second))
		}
		r := taskrunner.RenewReplied{ID: e.ID, OK: true, ServerIncarnation: w.boot, Clock: clock}
		for _, end := range w.ends {
			if end.Index > e.AckIndex {
				r.Ended = append(r.Ended, end)
			}
		}
		for _, k := range w.sortedRunning() {
			r.Running = append(r.Running, taskrunner.RunningRow{Key: k, Percent: taskrunner.UnknownPercent})
		}
		return r
	}
	return nil
}

// started checks the start of a task.
func (w *startWalk) started(k taskrunner.RunKey) {
	var entry structs.Incarnation
	var job int
	if _, err := fmt.Sscanf(k.Job, "e%d-j%d", &entry, &job); err != nil {
		w.fault = err.Error()
	}
	late := w.real - w.lastSign[entry]
	w.latest = max(w.latest, late)
	w.starts++
	w.running[k] = w.serverClock()
	w.log("server %d: %s STARTS %v after the last message of its entry", w.boot, k, late)
	if limit := time.Duration(float64(taskrunner.DefaultSessionTTL) * (1 + serverClockDrift)); late > limit {
		w.fault = fmt.Sprintf("a task starts later than %v after the last message of its entry", limit)
	}
}

// feed steps the runner and takes over its effects.
func (w *startWalk) feed(ev taskrunner.Event) {
	w.log("agent <- %T %+v", ev, ev)
	for _, ef := range w.step(ev) {
		switch e := ef.(type) {
		case taskrunner.StartTask:
			w.calls = append(w.calls, &startWalkCall{effect: ef, known: e.Known})
			w.log("agent -> %T %+v", ef, ef)
			if w.stopped[e.Key.TaskKey] {
				w.fault = fmt.Sprintf("%s is started after the order to stop it", e.Key)
			}
		case taskrunner.StopTask:
			w.calls = append(w.calls, &startWalkCall{effect: ef, known: e.Known})
		case taskrunner.RenewLease:
			w.calls = append(w.calls, &startWalkCall{effect: ef, known: e.Known})
			w.log("agent -> %T %+v", ef, ef)
		case taskrunner.ReplyHello:
			if en := w.entryOf(uint64(e.Call)); en != nil {
				en.open, en.echo = true, e.Reply.State.Stamp
			}
		case taskrunner.ReplyPoll:
			if en := w.entryOf(uint64(e.Call)); en != nil {
				en.polling, en.echo = false, e.Reply.State.Stamp
			}
		case taskrunner.CloseSession:
			if en := w.entryOf(e.Session); en != nil {
				en.session = 0
			}
		case taskrunner.LogEvent:
			w.log("agent: %s %s %s", e.Event, e.Task, e.Detail)
		}
	}
}

// entryOf returns the entry of a session, whose ID is also that of its calls.
func (w *startWalk) entryOf(id uint64) *startWalkEntry {
	for i := range w.entries {
		if w.entries[i].session == id {
			return &w.entries[i]
		}
	}
	return nil
}

// send puts a message of an entry on its way.
func (w *startWalk) send(en *startWalkEntry, ev taskrunner.Event) {
	en.socket = append(en.socket, ev)
	w.lastSign[en.incarnation] = w.real
}

// act lets an entry send a message.
func (w *startWalk) act(en *startWalkEntry) {
	call := taskrunner.CallID(en.session)
	switch {
	case w.real < en.quietUntil:
	case en.session == 0:
		w.sessions++
		*en = startWalkEntry{incarnation: en.incarnation, session: w.sessions}
		w.send(en, taskrunner.HelloCalled{Call: taskrunner.CallID(en.session), Session: en.session, Request: session.HelloRequest{Entry: "entry", Incarnation: en.incarnation}})
	case !en.open:
	case !en.polling:
		en.polling = true
		w.send(en, taskrunner.PollCalled{Call: call, Session: en.session, Request: session.PollRequest{Echo: en.echo, Seen: 1 << 40}})
	case len(en.placed) > 0 && w.rng.Intn(3) == 0:
		id := en.placed[w.rng.Intn(len(en.placed))]
		req := session.OrderRequest{Echo: en.echo, Stop: []uint64{id}}
		if w.rng.Intn(2) == 0 {
			req = session.OrderRequest{Echo: en.echo, Recall: []uint64{id}}
		}
		w.send(en, taskrunner.OrderCalled{Session: en.session, Request: req})
	default:
		w.jobs++
		part := session.JobPart{Job: fmt.Sprintf("e%d-j%d", en.incarnation, w.jobs), Service: "booking", CPU: 8000, MemMB: 1, Estimate: 100 * time.Millisecond, StartWithin: 3 * time.Second}
		for i := range 1 + w.rng.Intn(3) {
			en.placed = append(en.placed, uint64(w.jobs*10+i))
			part.Tasks = append(part.Tasks, session.Placement{ID: uint64(w.jobs*10 + i), Index: i, Attempt: 1})
		}
		w.send(en, taskrunner.OrderCalled{Session: en.session, Request: session.OrderRequest{Echo: en.echo, Start: []session.JobPart{part}}})
	}
}

// deliver lets the agent handle a message that waits, in any order.
func (w *startWalk) deliver(en *startWalkEntry) {
	if len(en.socket) == 0 {
		return
	}
	i := w.rng.Intn(len(en.socket))
	ev := en.socket[i]
	en.socket = slices.Delete(en.socket, i, i+1)
	if order, ok := ev.(taskrunner.OrderCalled); ok {
		for _, id := range order.Request.Stop {
			w.stopped[en.task(id)] = true
		}
	}
	w.feed(ev)
}

// task returns the task of a placement.
func (en *startWalkEntry) task(placement uint64) taskrunner.TaskKey {
	return taskrunner.TaskKey{Job: fmt.Sprintf("e%d-j%d", en.incarnation, placement/10), Index: int(placement % 10)}
}

// serve carries out a call of the agent or ends it, with or without a reply.
func (w *startWalk) serve() {
	if len(w.calls) == 0 {
		return
	}
	i := w.rng.Intn(len(w.calls))
	c := w.calls[i]
	_, renews := c.effect.(taskrunner.RenewLease)
	if c.reply == nil && (renews || w.rng.Intn(2) == 0) {
		c.reply = w.execute(c.effect, c.known)
		return
	}
	if c.reply != nil && w.rng.Intn(8) == 0 && !renews {
		c.reply = nil // the reply is lost
	}
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.reply != nil {
		w.feed(c.reply)
		return
	}
	if c.known == w.boot {
		w.held = append(w.held, c)
	}
	w.feed(unansweredEvent(c.effect))
}

func (w *startWalk) event() {
	en := &w.entries[w.rng.Intn(len(w.entries))]
	switch n := w.rng.Intn(100); {
	case n < 20:
		w.act(en)
	case n < 45:
		w.deliver(en)
	case n < 75:
		w.serve()
	case n < 87:
		w.elapse(w.between(time.Millisecond, 30*time.Millisecond), false)
		w.feed(taskrunner.Ticked{})
	case n < 93:
		if len(w.held) > 0 {
			i := w.rng.Intn(len(w.held))
			c := w.held[i]
			w.held = slices.Delete(w.held, i, i+1)
			w.log("late:")
			w.execute(c.effect, c.known)
		}
	case n < 95:
		w.feed(taskrunner.ServerReported{Info: w.report()})
	case n < 96:
		en.quietUntil = w.real + w.between(100*time.Millisecond, 3*time.Second)
		w.log("entry %d is suspended until %v", en.incarnation, en.quietUntil)
	case n < 97 && w.rng.Intn(3) == 0:
		w.log("entry %d is killed", en.incarnation)
		if w.rng.Intn(2) == 0 && en.session != 0 { // else the agent does not learn of it
			w.feed(taskrunner.SessionClosed{Session: en.session})
		}
		*en = startWalkEntry{incarnation: en.incarnation + 10, quietUntil: w.real + time.Second, socket: en.socket}
	case n < 98:
		d, stands := w.between(50*time.Millisecond, 4*time.Second), w.rng.Intn(3) == 0
		w.log("agent is suspended for %v, its clock stands still: %t", d, stands)
		w.elapse(d, stands)
	case n < 99 && w.rng.Intn(2) == 0:
		w.restart(w.between(0, 100*time.Millisecond))
	case n == 99 && w.rng.Intn(4) == 0:
		w.killAgent()
	}
}

// killAgent starts the agent's successor, at times after the server was lost with the agent. What
// the agent has sent may still be carried out by the incarnation that it was for.
func (w *startWalk) killAgent() {
	for _, c := range w.calls {
		if c.reply == nil && c.known == w.boot {
			w.held = append(w.held, c)
		}
	}
	w.calls = nil
	for i := range w.entries {
		w.entries[i].session, w.entries[i].socket = 0, nil
	}
	stored := w.report()
	w.elapse(w.between(time.Millisecond, 300*time.Millisecond), false)
	w.log("agent is killed")
	if w.rng.Intn(2) == 0 {
		w.restart(w.between(0, 100*time.Millisecond))
	}
	w.agents++
	opts := harnessOptions
	opts.Token += w.agents * 1000
	w.runner = taskrunner.New(opts)
	w.feed(taskrunner.RecordLoaded{Server: stored})
}

// report returns the next report of the server.
func (w *startWalk) report() taskrunner.ServerInfo {
	w.reports++
	return taskrunner.ServerInfo{ID: "server-1", Incarnation: w.boot, Seq: w.reports, Service: "booking", CPU: 20_000, MemMB: 1000}
}

// Guards against a task that starts after its caller has submitted the job again, 1,300 ms after the
// end of its first attempt: no task starts later than SessionTTL by the server's clock after the
// last message of its entry, whatever waits at the agent or the server, and no start is sent after an
// order to stop the task, whichever of the two orders the agent handles first. Agents and entries are
// suspended or killed, messages wait, calls are carried out seconds late, and servers are reborn.
//
//	go test ./taskrunner -run TestNoTaskStartsLongAfterLastMessageOfItsEntry -v -orders.walks 40000
func TestNoTaskStartsLongAfterLastMessageOfItsEntry(t *testing.T) {
	walks, starts, latest := *orderWalks/4, 0, time.Duration(0)
	for seed := range walks {
		w := runStartWalk(t, seed, false)
		starts, latest = starts+w.starts, max(latest, w.latest)
		if w.fault != "" {
			w = runStartWalk(t, seed, true)
			t.Fatalf("seed %d: %s:\n%s", seed, w.fault, strings.Join(w.trace[max(0, len(w.trace)-80):], "\n"))
		}
	}
	t.Logf("%d starts, the latest %v after the last message of its entry", starts, latest)
	if starts < 3*int(walks) {
		t.Errorf("%d starts in %d walks, at least three in each expected", starts, walks)
	}
}
