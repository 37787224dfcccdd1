package sessions_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// maxCloseDelay is by how much an entry may handle the end of a connection late.
const maxCloseDelay = 200 * time.Millisecond

// defaultReadDelay is by how much an entry that is not short of processor time may read a submission late.
const defaultReadDelay = 20 * time.Millisecond

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
	attempts    map[dispatch.CallID]*attempt // by their pending calls
	sockets     map[int]*attempt             // connections of callers that were accepted, by id
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
	readings        []receivedReading    // earlier ones and the newest, oldest first
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
	e.incarnation = structs.Incarnation(e.sim.rng.Uint64() | 1)
	e.conns = make(map[dispatch.SessionID]*conn)
	e.attempts = make(map[dispatch.CallID]*attempt)
	e.sockets = make(map[int]*attempt)
	e.cancels = make(map[dispatch.CallID]func(dispatch.CancelResult))
	e.dispatcher = dispatch.New(dispatch.Options{
		Entry: e.name, Incarnation: e.incarnation, Zone: "z", Started: e.bootNow(),
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
	e.deliverAfter(e.sim.draw(0, dispatch.AnnounceInterval), e.announceJobs)
}

// suspendAsCallersLeave suspends the entry, alone or with its machine; half of its callers leave soon
// after.
func (e *entryProc) suspendAsCallersLeave(d time.Duration) {
	if e.sim.rng.Intn(2) == 0 {
		e.pauseMachine(d)
	} else {
		e.pause(d)
	}
	e.callersLeave(d / 4)
}

// pause suspends the entry. Its sockets receive meanwhile.
func (e *entryProc) pause(d time.Duration) {
	e.sim.callersDisturbed = true
	e.sim.counts["suspended"]++
	e.sim.traceEvent(e.name, "SUSPENDED", "", d.String())
	e.suspend(d)
}

// pauseMachine suspends the entry's machine. What is sent to it meanwhile arrives when it is sent again.
func (e *entryProc) pauseMachine(d time.Duration) {
	if !e.up || e.suspended {
		return
	}
	e.sim.callersDisturbed = true
	e.sim.counts["machine suspended"]++
	e.sim.traceEvent(e.name, "MACHINE SUSPENDED", "", d.String())
	e.machineSuspended, e.suspendedAt = true, e.sim.now
	e.suspend(d)
	if e.sim.rng.Intn(2) == 0 {
		for _, c := range sorted(e.conns) {
			c.stalledUntil = max(c.stalledUntil, e.sim.now+d+e.sim.draw(0, 300*time.Millisecond))
		}
	}
}

// callersLeave lets half of the callers leave within a time.
func (e *entryProc) callersLeave(within time.Duration) {
	for _, at := range sorted(e.sockets) {
		if !at.ended && e.sim.rng.Intn(2) == 0 {
			e.sim.after(e.sim.draw(0, within), at.giveUp)
		}
	}
}

// cutCallers cuts the paths between the entry and half of its callers, one way or both ways, for a time or
// for good. Some of the callers leave meanwhile.
func (e *entryProc) cutCallers(d time.Duration) {
	sim := e.sim
	sim.callersDisturbed = true
	sim.traceEvent(e.name, "CALLERS CUT OFF", "", d.String())
	if sim.rng.Intn(4) == 0 {
		d = forever
	}
	ways := 1 + sim.rng.Intn(3)
	for _, at := range sorted(e.sockets) {
		if at.ended || sim.rng.Intn(2) == 0 {
			continue
		}
		sim.counts[[]string{"", "cut to the entry", "cut to the caller", "cut both ways"}[ways]]++
		p := at.caller.pathTo(e)
		for direction := range p {
			if ways&(1<<direction) != 0 {
				p[direction] = max(p[direction], sim.now+d)
			}
		}
		if sim.rng.Intn(2) == 0 {
			sim.after(sim.draw(0, min(d, 2*time.Second)), at.giveUp)
		}
	}
}

func (e *entryProc) crash() {
	if !e.up {
		return
	}
	sockets := e.sockets
	// A machine that is killed while it is suspended tells nobody.
	lost := e.machineSuspended
	e.kill()
	for _, c := range sorted(e.conns) {
		c.disconnect()
	}
	for _, at := range sorted(sockets) {
		if !lost {
			at.entryCrashed()
		}
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
	sentAt := e.bootNow()
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
	c.lastHeard = e.bootNow()
	c.storeReading(hello.State.Stamp)
	e.conns[c.id] = c
	e.step(dispatch.SessionOpened{ID: c.id, Agent: hello.Agent, Zone: hello.Zone, State: hello.State, AsOf: sentAt.Add(hello.Held), Cancels: hello.Cancels})
	c.poll()
}

func (c *conn) poll() {
	e, a := c.entry, c.agent
	c.lastPoll++
	n := c.lastPoll
	req := session.PollRequest{Echo: c.lastReading, Seen: c.seenSeq}
	sentAt := e.bootNow()
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
				c.lastHeard = e.bootNow()
				c.storeReading(reply.State.Stamp)
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

// receivedReading is a clock reading with the time when it was received.
type receivedReading struct {
	reading session.ClockReading
	at      time.Time
}

// readingSpacing and maxReadings are those of the gateway.
const (
	readingSpacing = 100 * time.Millisecond
	maxReadings    = 12
)

// storeReading records the clock reading of the message that was heard last, as the gateway does.
func (c *conn) storeReading(r session.ClockReading) {
	if n := len(c.readings); n >= 2 && c.lastHeard.Sub(c.readings[n-2].at) < readingSpacing {
		c.readings = c.readings[:n-1]
	}
	c.readings = append(c.readings, receivedReading{reading: r, at: c.lastHeard})
	if len(c.readings) > maxReadings {
		c.readings = slices.Delete(c.readings, 0, 1)
	}
	c.lastReading = r
}

// echo returns the clock reading that the gateway echoes in an order.
func (c *conn) echo(before time.Time) session.ClockReading {
	if before.IsZero() {
		return c.lastReading
	}
	for _, r := range slices.Backward(c.readings) {
		if !r.at.After(before) {
			return r.reading
		}
	}
	return c.readings[0].reading
}

func (e *entryProc) step(ev dispatch.Event) []dispatch.Effect {
	effects := e.dispatcher.Step(e.bootNow(), ev)
	for _, ef := range effects {
		e.carryOut(ef)
	}
	e.wakeSeq++
	seq := e.wakeSeq
	if wake := e.dispatcher.NextWake(); !wake.IsZero() {
		e.deliverAfter(max(wake.Sub(e.bootNow()), time.Millisecond), func() {
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
		e.step(e.checkCallers(ef.Calls))
	case dispatch.AskPeers:
		e.askPeers(ef)
	case dispatch.CheckProbes:
		acked, silent := e.lookForAcks(ef.Calls)
		acked.Silent = silent
		e.step(acked)
	case dispatch.ProbeCallers:
		e.probeCallers(ef.Calls)
	case dispatch.CallerMetrics:
		e.sim.callersGivenUp(e, ef.Silent)
	case dispatch.Order:
		c := e.conns[ef.ID]
		if c == nil {
			return
		}
		req := session.OrderRequest{Echo: c.echo(ef.EchoBefore), Start: e.markParts(ef.Start), Stop: ef.Stop, Recall: ef.Recall, Cancels: ef.Cancels}
		sentAt := e.bootNow()
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
		if at := e.attempts[ef.Call]; at != nil {
			delete(e.attempts, ef.Call)
			at.answer(firstRetransmission, func() { at.caller.answered(ef.Status) })
		}
	case dispatch.Refused:
		if at := e.attempts[ef.Call]; at != nil {
			delete(e.attempts, ef.Call)
			at.answer(firstRetransmission, func() { at.caller.refused(ef.Error) })
		}
	}
}

// markParts appends the entry to the specs of tasks, see owner.
func (e *entryProc) markParts(parts []session.JobPart) []session.JobPart {
	marked := slices.Clone(parts)
	for i := range marked {
		marked[i].Spec += "," + e.name
	}
	return marked
}

// caller submits one job, and submits it again after its connection broke.
type caller struct {
	sim               *simulation
	job               dispatch.Job
	resubmissionsLeft int                  // how often it may still submit the job again
	attempt           *attempt             // the last one
	paths             map[*entryProc]*path // those that were used
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

// submitTo submits a job to the given entry first.
func (sim *simulation) submitTo(e *entryProc, job dispatch.Job) *caller {
	sim.jobs[job.Name] = job
	cl := &caller{sim: sim, job: job, resubmissionsLeft: 2}
	cl.begin(e)
	return cl
}

func (cl *caller) send() { cl.begin(cl.sim.entries[cl.sim.rng.Intn(len(cl.sim.entries))]) }

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
