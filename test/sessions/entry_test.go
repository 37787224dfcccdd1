package sessions_test

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// pollTimeout is when an entry gives a session up.
const pollTimeout = 550 * time.Millisecond

// entryProc is an entry with its sessions.
type entryProc struct {
	process
	name        string
	incarnation structs.Incarnation
	dispatcher  *dispatch.Dispatcher
	nextAgent   dispatch.AgentID
	conns       map[dispatch.AgentID]*conn
	nextCall    dispatch.CallID
	callers     map[dispatch.CallID]*caller
	wakeSeq     int
}

// conn is a connection between an entry and an agent; messages keep their order
// in each direction.
type conn struct {
	w       *world
	entry   *entryProc
	agent   *agentProc
	eLife   int
	aLife   int
	session uint64
	id      dispatch.AgentID
	echo    session.ClockReading
	heard   time.Time
	polls   int
	seen    uint64
	broken  bool
	cut     time.Duration // messages sent before it arrive after it
	lastTo  [2]time.Duration
}

func (w *world) newEntry(i int) *entryProc {
	e := &entryProc{process: process{w: w}, name: fmt.Sprintf("entry-%d", i)}
	w.entries = append(w.entries, e)
	e.boot()
	return e
}

func (e *entryProc) boot() {
	e.life++
	e.up = true
	e.lag = 0
	e.incarnation = structs.Incarnation(e.w.rng.Uint64() | 1)
	e.conns = make(map[dispatch.AgentID]*conn)
	e.callers = make(map[dispatch.CallID]*caller)
	e.dispatcher = dispatch.New(dispatch.Options{
		Entry: e.name, Incarnation: e.incarnation, Zone: "z", Started: e.steady(),
		InDoubtTimeout: guard.InDoubtTimeout(time.Second, stopTimeout), AnswerRetention: dispatch.DefaultAnswerRetention,
	})
	for _, a := range e.w.agents {
		e.dial(a)
	}
}

func (e *entryProc) crash() {
	if !e.up {
		return
	}
	callers := e.callers
	e.callers = nil
	e.kill()
	for _, c := range sorted(e.conns) {
		c.breakNow()
	}
	for _, cl := range sorted(callers) {
		cl.connectionBroken()
	}
	e.w.after(e.w.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if !e.up {
			e.boot()
		}
	})
}

// dial opens a session with an agent, again and again until it works.
func (e *entryProc) dial(a *agentProc) {
	w := e.w
	again := func() { e.afterIn(w.between(50*time.Millisecond, 200*time.Millisecond), func() { e.dial(a) }) }
	if !a.up {
		again()
		return
	}
	a.nextID++
	c := &conn{w: w, entry: e, agent: a, eLife: e.life, aLife: a.life, session: a.nextID}
	a.conns[c.session] = c
	req := session.HelloRequest{Entry: e.name, Incarnation: e.incarnation}
	opened := false
	c.toAgent(func() {
		call := a.newCall(func(message any) {
			c.toEntry(func() {
				if opened || c.broken {
					return
				}
				opened = true
				e.opened(c, message.(session.HelloReply))
			})
		})
		a.step(guard.HelloCalled{Call: call, Session: c.session, Request: req})
	})
	e.afterIn(1500*time.Millisecond, func() {
		if !opened {
			opened = true
			c.breakNow()
			again()
		}
	})
}

func (a *agentProc) newCall(f func(any)) guard.CallID {
	a.nextID++
	id := guard.CallID(a.nextID)
	a.calls[id] = f
	return id
}

func (e *entryProc) opened(c *conn, hello session.HelloReply) {
	e.nextAgent++
	c.id = e.nextAgent
	c.echo = hello.State.Stamp
	c.heard = e.steady()
	e.conns[c.id] = c
	e.step(dispatch.AgentUp{ID: c.id, Agent: hello.Agent, Zone: hello.Zone, State: hello.State})
	c.poll()
}

func (c *conn) poll() {
	e, a := c.entry, c.agent
	c.polls++
	n := c.polls
	req := session.PollRequest{Echo: c.echo, Seen: c.seen}
	c.toAgent(func() {
		call := a.newCall(func(message any) {
			reply, ok := message.(session.PollReply)
			if !ok {
				return
			}
			c.toEntry(func() {
				if c.broken || c.polls != n {
					return
				}
				c.heard = e.steady()
				c.echo = reply.State.Stamp
				if k := len(reply.Reports); k > 0 {
					c.seen = reply.Reports[k-1].Seq
				}
				e.step(dispatch.Polled{ID: c.id, Reply: reply})
				c.poll()
			})
		})
		a.step(guard.PollCalled{Call: call, Session: c.session, Request: req})
	})
	e.afterIn(pollTimeout, func() {
		if !c.broken && c.polls == n {
			c.breakNow()
		}
	})
}

// toAgent and toEntry carry a message; it is lost with the connection.
func (c *conn) toAgent(do func()) { c.carry(0, &c.agent.process, c.aLife, do) }
func (c *conn) toEntry(do func()) { c.carry(1, &c.entry.process, c.eLife, do) }

func (c *conn) carry(direction int, to *process, life int, do func()) {
	at := max(c.w.now+c.w.between(500*time.Microsecond, 3*time.Millisecond), c.cut, c.lastTo[direction])
	c.lastTo[direction] = at
	c.w.after(at-c.w.now, func() {
		if to.life != life || c.broken && direction == 1 {
			return
		}
		// What was sent to the agent before the connection broke may still
		// arrive, as bytes in its socket buffer do.
		if c.broken && c.w.rng.Intn(2) == 0 {
			return
		}
		to.in(do)
	})
}

// breakNow ends the connection; each side that is reachable hears of it, the
// agent perhaps only by its own timeout.
func (c *conn) breakNow() {
	if c.broken {
		return
	}
	c.broken = true
	w, e, a := c.w, c.entry, c.agent
	if w.now >= c.cut && w.rng.Intn(4) > 0 {
		w.after(w.between(500*time.Microsecond, 3*time.Millisecond), func() {
			if a.life == c.aLife {
				a.in(func() { a.step(guard.SessionClosed{Session: c.session}) })
			}
		})
	}
	delete(a.conns, c.session)
	if c.id == 0 {
		return
	}
	w.after(w.between(500*time.Microsecond, 3*time.Millisecond), func() {
		if e.life != c.eLife {
			return
		}
		e.in(func() {
			delete(e.conns, c.id)
			e.step(dispatch.AgentDown{ID: c.id, LastHeard: c.heard, Reason: "broken"})
			e.afterIn(w.between(20*time.Millisecond, 100*time.Millisecond), func() { e.dial(a) })
		})
	})
}

func (e *entryProc) step(ev dispatch.Event) {
	for _, ef := range e.dispatcher.Step(e.steady(), ev) {
		e.carryOut(ef)
	}
	e.wakeSeq++
	seq := e.wakeSeq
	if wake := e.dispatcher.NextWake(); !wake.IsZero() {
		e.afterIn(max(wake.Sub(e.steady()), time.Millisecond), func() {
			if e.wakeSeq == seq {
				e.step(dispatch.Ticked{})
			}
		})
	}
}

func (e *entryProc) carryOut(ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.Order:
		c := e.conns[ef.ID]
		if c == nil {
			return
		}
		req := session.OrderRequest{Echo: c.echo, Start: ef.Start, Stop: ef.Stop}
		c.toAgent(func() {
			call := c.agent.newCall(func(message any) {
				reply, ok := message.(session.OrderReply)
				if !ok {
					return
				}
				c.toEntry(func() {
					if !c.broken {
						e.step(dispatch.OrderReplied{ID: c.id, Number: ef.Number, State: reply.State})
					}
				})
			})
			c.agent.step(guard.OrderCalled{Call: call, Session: c.session, Request: req})
		})
	case dispatch.LogEvent:
		e.w.note(e.name, ef.Event, ef.Job, ef.Agent+" "+ef.Detail)
	case dispatch.Answered:
		if cl := e.callers[ef.Call]; cl != nil {
			delete(e.callers, ef.Call)
			cl.answered(ef.Status)
		}
	case dispatch.Refused:
		if cl := e.callers[ef.Call]; cl != nil {
			delete(e.callers, ef.Call)
			cl.refused(ef.Error)
		}
	}
}

// caller submits one job and, after a broken connection, copies of it.
type caller struct {
	w    *world
	job  dispatch.Job
	left int // copies it may still send
	call dispatch.CallID
	at   *entryProc
	// begunBefore says that a task of the job had started before this copy was
	// sent.
	begunBefore bool
	othersMay   bool // an earlier copy may still start something
}

func (w *world) submit(job dispatch.Job) {
	(&caller{w: w, job: job, left: 2}).send()
}

func (cl *caller) send() {
	e := cl.w.entries[cl.w.rng.Intn(len(cl.w.entries))]
	cl.at = e
	cl.begunBefore = cl.begun()
	if !e.up || e.frozen {
		cl.connectionBroken()
		return
	}
	e.nextCall++
	cl.call = e.nextCall
	e.callers[cl.call] = cl
	e.step(dispatch.SubmitCalled{Call: cl.call, Job: cl.job})
	if cl.w.rng.Intn(6) == 0 {
		cl.w.after(cl.w.between(0, 300*time.Millisecond), cl.leave)
	}
}

// leave breaks the caller's connection and sends a copy elsewhere.
func (cl *caller) leave() {
	e := cl.at
	if e.callers[cl.call] != cl {
		return
	}
	delete(e.callers, cl.call)
	call := cl.call
	life := e.life
	cl.w.after(time.Millisecond, func() {
		if e.life == life {
			e.in(func() { e.step(dispatch.CallClosed{Call: call}) })
		}
	})
	cl.connectionBroken()
}

func (cl *caller) connectionBroken() {
	cl.w.counts["broken"]++
	cl.othersMay = true
	if cl.left == 0 {
		return
	}
	cl.left--
	cl.w.after(resendAfter, cl.send)
}

func (cl *caller) begun() bool {
	for i := range cl.job.Tasks {
		if cl.w.started[taskName(guard.TaskKey{Job: cl.job.Name, Index: i})] {
			return true
		}
	}
	return false
}

func (cl *caller) answered(s dispatch.Status) { cl.w.counts[s.String()]++ }

// refused checks that "not run" is true of this copy.
func (cl *caller) refused(err *structs.Error) {
	cl.w.counts["refused "+err.Verdict.String()]++
	if err.Verdict != structs.NotRun {
		cl.connectionBroken()
		return
	}
	if cl.begun() && !cl.begunBefore && !cl.othersMay {
		cl.w.fail("job %s was refused as not run: %s", cl.job.Name, err)
	}
	cl.w.after(3*time.Second, func() {
		if cl.begun() && !cl.begunBefore && !cl.othersMay {
			cl.w.fail("job %s started after it was refused as not run: %s", cl.job.Name, err)
		}
	})
}

func testQueue() routing.Queue {
	return routing.Queue{Name: "holds", Service: serviceName, Attempts: 2, Stretch: 4, TargetLatency: 300 * time.Millisecond}
}
