package sessions_test

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// maxCloseDelay is by how much an entry may handle the end of a connection late.
const maxCloseDelay = 200 * time.Millisecond

// pollTimeout is how long an entry waits for the reply to a poll before it closes the
// session.
const pollTimeout = 550 * time.Millisecond

// entryProc is a simulated entry process with its sessions.
type entryProc struct {
	process
	name        string
	incarnation structs.Incarnation
	dispatcher  *dispatch.Dispatcher
	nextSession dispatch.SessionID
	conns       map[dispatch.SessionID]*conn
	nextCall    dispatch.CallID
	callers     map[dispatch.CallID]*caller
	ended       map[dispatch.CallID]bool // calls whose connections have ended, before the entry handles that
	cancels     map[dispatch.CallID]func(dispatch.CancelResult)
	wakeSeq     int
}

// conn is a connection between an entry and an agent. It preserves the order of
// messages in each direction.
type conn struct {
	sim             *simulation
	entry           *entryProc
	agent           *agentProc
	entryGeneration int // generations of the two processes when the connection was opened
	agentGeneration int
	session         uint64
	id              dispatch.SessionID
	lastReading     session.ClockReading // newest received, echoed to the agent
	lastHeard       time.Time
	lastPoll        int    // number of the current poll
	seenSeq         uint64 // sequence number of the newest report received
	broken          bool
	stalledUntil    time.Duration    // messages sent before this time arrive after it
	lastArrival     [2]time.Duration // arrival of the last message, by direction: to the agent, to the entry
}

func (sim *simulation) newEntry(i int) *entryProc {
	e := &entryProc{process: process{sim: sim}, name: fmt.Sprintf("entry-%d", i)}
	sim.entries = append(sim.entries, e)
	e.start()
	return e
}

func (e *entryProc) start() {
	e.generation++
	e.up = true
	e.lag = 0
	e.incarnation = structs.Incarnation(e.sim.rng.Uint64() | 1)
	e.conns = make(map[dispatch.SessionID]*conn)
	e.callers = make(map[dispatch.CallID]*caller)
	e.ended = make(map[dispatch.CallID]bool)
	e.cancels = make(map[dispatch.CallID]func(dispatch.CancelResult))
	e.dispatcher = dispatch.New(dispatch.Options{
		Entry: e.name, Incarnation: e.incarnation, Zone: "z", Started: e.monotonicNow(),
		FarFactor:      3,
		AwaitCancels:   e.sim.acknowledged != nil,
		InDoubtTimeout: taskrunner.InDoubtTimeout(time.Second, stopTimeout), AnswerRetention: dispatch.DefaultAnswerRetention,
		Scheduling: dispatch.Scheduling{Places: true, Spread: e.incarnation&2 != 0}, // entries of both kinds run side by side
	})
	for _, a := range e.sim.agents {
		e.dial(a)
	}
	if e.sim.acknowledged != nil {
		e.fetchCancels()
	}
}

// suspendAsCallersLeave suspends the entry; half of its callers leave soon after.
func (e *entryProc) suspendAsCallersLeave(d time.Duration) {
	e.suspend(d, e.sim.rng.Intn(2) == 0)
	for _, cl := range sorted(e.callers) {
		if e.sim.rng.Intn(2) == 0 {
			e.sim.after(e.sim.draw(0, d/4), cl.disconnect)
		}
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
		c.disconnect()
	}
	for _, cl := range sorted(callers) {
		cl.connectionBroken()
	}
	e.sim.after(e.sim.draw(50*time.Millisecond, 400*time.Millisecond), func() {
		if !e.up {
			e.start()
		}
	})
}

// dial opens a session with an agent and retries until it succeeds.
func (e *entryProc) dial(a *agentProc) {
	sim := e.sim
	retry := func() { e.deliverAfter(sim.draw(50*time.Millisecond, 200*time.Millisecond), func() { e.dial(a) }) }
	if !a.up {
		retry()
		return
	}
	a.nextID++
	c := &conn{sim: sim, entry: e, agent: a, entryGeneration: e.generation, agentGeneration: a.generation, session: a.nextID}
	a.conns[c.session] = c
	req := session.HelloRequest{Entry: e.name, Incarnation: e.incarnation}
	sentAt := e.monotonicNow()
	opened := false
	c.toAgent(func() {
		call := a.newCall(func(message any) {
			c.toEntry(func() {
				if opened || c.broken {
					return
				}
				opened = true
				e.sessionOpened(c, message.(session.HelloReply), sentAt)
			})
		})
		a.step(taskrunner.HelloCalled{Call: call, Session: c.session, Request: req})
	})
	e.deliverAfter(1500*time.Millisecond, func() {
		if !opened {
			opened = true
			c.disconnect()
			retry()
		}
	})
}

func (a *agentProc) newCall(f func(any)) taskrunner.CallID {
	a.nextID++
	id := taskrunner.CallID(a.nextID)
	a.calls[id] = f
	return id
}

func (e *entryProc) sessionOpened(c *conn, hello session.HelloReply, sentAt time.Time) {
	e.nextSession++
	c.id = e.nextSession
	c.lastReading = hello.State.Stamp
	c.lastHeard = e.monotonicNow()
	e.conns[c.id] = c
	e.step(dispatch.SessionOpened{ID: c.id, Agent: hello.Agent, Zone: hello.Zone, State: hello.State, AsOf: sentAt.Add(hello.Held), Cancels: hello.Cancels})
	c.poll()
}

func (c *conn) poll() {
	e, a := c.entry, c.agent
	c.lastPoll++
	n := c.lastPoll
	req := session.PollRequest{Echo: c.lastReading, Seen: c.seenSeq}
	sentAt := e.monotonicNow()
	c.toAgent(func() {
		call := a.newCall(func(message any) {
			reply, ok := message.(session.PollReply)
			if !ok {
				return
			}
			c.toEntry(func() {
				if c.broken || c.lastPoll != n {
					return
				}
				c.lastHeard = e.monotonicNow()
				c.lastReading = reply.State.Stamp
				if k := len(reply.Reports); k > 0 {
					c.seenSeq = reply.Reports[k-1].Seq
				}
				e.step(dispatch.PollReplied{ID: c.id, Reply: reply, AsOf: sentAt.Add(reply.Held)})
				c.poll()
			})
		})
		a.step(taskrunner.PollCalled{Call: call, Session: c.session, Request: req})
	})
	e.deliverAfter(pollTimeout, func() {
		if !c.broken && c.lastPoll == n {
			c.disconnect()
		}
	})
}

// toAgent and toEntry transmit a message. It may be lost if the connection breaks.
func (c *conn) toAgent(do func()) { c.transmit(0, &c.agent.process, c.agentGeneration, do) }
func (c *conn) toEntry(do func()) { c.transmit(1, &c.entry.process, c.entryGeneration, do) }

func (c *conn) transmit(direction int, to *process, generation int, do func()) {
	at := max(c.sim.now+c.sim.draw(500*time.Microsecond, 3*time.Millisecond), c.stalledUntil, c.lastArrival[direction])
	c.lastArrival[direction] = at
	c.sim.after(at-c.sim.now, func() {
		if to.generation != generation || c.broken && direction == 1 {
			return
		}
		// A message sent to the agent before the connection broke may still be
		// delivered, because it may be in the socket buffer already.
		if c.broken && c.sim.rng.Intn(2) == 0 {
			return
		}
		to.deliver(do)
	})
}

// disconnect breaks the connection. An entry whose session is open is notified. The
// agent is notified only sometimes, and not while the network is stalled; otherwise
// the session times out at the agent.
func (c *conn) disconnect() {
	if c.broken {
		return
	}
	c.broken = true
	sim, e, a := c.sim, c.entry, c.agent
	if sim.now >= c.stalledUntil && sim.rng.Intn(4) > 0 {
		sim.after(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
			if a.generation == c.agentGeneration {
				a.deliver(func() { a.step(taskrunner.SessionClosed{Session: c.session}) })
			}
		})
	}
	delete(a.conns, c.session)
	if c.id == 0 {
		return
	}
	sim.after(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
		if e.generation != c.entryGeneration {
			return
		}
		e.deliver(func() {
			delete(e.conns, c.id)
			e.step(dispatch.SessionEnded{ID: c.id, LastHeard: c.lastHeard, Reason: "connection broken"})
			e.deliverAfter(sim.draw(20*time.Millisecond, 100*time.Millisecond), func() { e.dial(a) })
		})
	})
}

func (e *entryProc) step(ev dispatch.Event) []dispatch.Effect {
	effects := e.dispatcher.Step(e.monotonicNow(), ev)
	for _, ef := range effects {
		e.carryOut(ef)
	}
	e.wakeSeq++
	seq := e.wakeSeq
	if wake := e.dispatcher.NextWake(); !wake.IsZero() {
		e.deliverAfter(max(wake.Sub(e.monotonicNow()), time.Millisecond), func() {
			if e.wakeSeq == seq {
				e.step(dispatch.Ticked{})
			}
		})
	}
	return effects
}

func (e *entryProc) carryOut(ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.CheckCallers:
		var checked dispatch.CallersChecked
		for _, call := range ef.Calls {
			if e.ended[call] {
				e.sim.counts["left before placed"]++
				checked.Left = append(checked.Left, call)
			} else {
				checked.Connected = append(checked.Connected, call)
			}
		}
		e.step(checked)
	case dispatch.AskPeers:
		e.deliverAfter(e.sim.draw(time.Millisecond, 6*time.Millisecond), func() { e.step(dispatch.PeersAsked{Jobs: ef.Jobs}) })
	case dispatch.CheckProbes:
		e.step(dispatch.CallersAcknowledged{Silent: ef.Calls})
	case dispatch.ProbeCallers:
		e.deliverAfter(e.sim.draw(time.Millisecond, 6*time.Millisecond), func() {
			var acked dispatch.CallersAcknowledged
			for _, call := range ef.Calls {
				if e.ended[call] {
					acked.Left = append(acked.Left, call)
				} else {
					acked.Calls = append(acked.Calls, call)
				}
			}
			e.step(acked)
		})
	case dispatch.Order:
		c := e.conns[ef.ID]
		if c == nil {
			return
		}
		req := session.OrderRequest{Echo: c.lastReading, Start: ef.Start, Stop: ef.Stop, Recall: ef.Recall, Cancels: ef.Cancels}
		sentAt := e.monotonicNow()
		c.toAgent(func() {
			call := c.agent.newCall(func(message any) {
				reply, ok := message.(session.OrderReply)
				if !ok {
					return
				}
				c.toEntry(func() {
					if !c.broken {
						e.step(dispatch.OrderReplied{ID: c.id, Number: ef.Number, State: reply.State, AsOf: sentAt, Cancels: reply.Cancels})
					}
				})
			})
			c.agent.step(taskrunner.OrderCalled{Call: call, Session: c.session, Request: req})
		})
	case dispatch.NotifyPeers:
		e.notifyPeers(ef)
	case dispatch.CancelReplied:
		if reply := e.cancels[ef.Call]; reply != nil {
			delete(e.cancels, ef.Call)
			reply(ef.Result)
		}
	case dispatch.LogEvent:
		e.sim.traceEvent(e.name, ef.Event, ef.Job, ef.Agent+" "+ef.Detail)
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

// caller submits one job, and submits it again after its connection broke.
type caller struct {
	sim               *simulation
	job               dispatch.Job
	resubmissionsLeft int // how often it may still submit the job again
	call              dispatch.CallID
	entry             *entryProc // that the last submission was sent to
	// startedBefore reports whether a task of the job had started before the last
	// submission was sent.
	startedBefore           bool
	earlierSubmissionMayRun bool // a task of an earlier submission may still start
	isCopy                  bool // of a submission whose job was canceled
}

func (sim *simulation) submit(job dispatch.Job) {
	sim.jobs[job.Name] = job
	(&caller{sim: sim, job: job, resubmissionsLeft: 2}).send()
}

func (cl *caller) send() {
	e := cl.sim.entries[cl.sim.rng.Intn(len(cl.sim.entries))]
	cl.entry = e
	cl.startedBefore = cl.hasStarted()
	if !e.up || e.suspended {
		cl.connectionBroken()
		return
	}
	e.nextCall++
	cl.call = e.nextCall
	e.callers[cl.call] = cl
	e.step(dispatch.SubmitCalled{Call: cl.call, Job: cl.job})
	if cl.sim.rng.Intn(6) == 0 {
		cl.sim.after(cl.sim.draw(0, 300*time.Millisecond), cl.disconnect)
	}
}

// disconnect closes the caller's connection before the answer. The caller submits the
// job again later.
func (cl *caller) disconnect() {
	e := cl.entry
	if e.callers[cl.call] != cl {
		return
	}
	delete(e.callers, cl.call)
	call := cl.call
	generation := e.generation
	delay := time.Duration(0) // until the entry handles the end of the connection
	if cl.sim.rng.Intn(3) == 0 {
		delay = cl.sim.draw(0, maxCloseDelay)
	}
	cl.sim.after(time.Millisecond, func() {
		if e.generation == generation {
			e.ended[call] = true
			e.deliver(func() { e.deliverAfter(delay, func() { e.step(dispatch.CallClosed{Call: call}) }) })
		}
	})
	cl.connectionBroken()
}

func (cl *caller) connectionBroken() {
	cl.sim.counts["broken"]++
	cl.earlierSubmissionMayRun = true
	if cl.resubmissionsLeft == 0 {
		return
	}
	cl.resubmissionsLeft--
	cl.sim.after(resendAfter, cl.send)
}

// hasStarted reports whether any task of the job has started.
func (cl *caller) hasStarted() bool {
	for i := range cl.job.Tasks {
		if cl.sim.started[taskName(taskrunner.TaskKey{Job: cl.job.Name, Index: i})] {
			return true
		}
	}
	return false
}

func (cl *caller) answered(s dispatch.Status) {
	cl.sim.counts[s.String()]++
	if cl.isCopy {
		cl.sim.counts["copy "+s.String()]++
	}
	cl.sim.counts[cl.job.Queue.Name+" "+s.String()]++
}

// refused checks that no task of a submission refused as not run has started. None may start later,
// of earlier submissions of the job either: its callers do not submit it again.
func (cl *caller) refused(err *structs.Error) {
	cl.sim.counts["refused "+err.Verdict.String()]++
	cl.sim.counts[cl.job.Queue.Name+" refused"]++
	if err.Verdict != structs.NotRun {
		cl.connectionBroken()
		return
	}
	if cl.hasStarted() && !cl.startedBefore && !cl.earlierSubmissionMayRun {
		cl.sim.fail("job %s was refused as not run after a task had started: %s", cl.job.Name, err)
	}
	cl.sim.refused[cl.job.Name] = true
}

func testQueue() routing.Queue {
	return routing.Queue{Name: "holds", Service: serviceName, Attempts: 2, Stretch: 4, TargetLatency: 300 * time.Millisecond}
}
