package sessions_test

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Directions of the path between a caller and an entry.
const (
	toEntry = iota
	toCaller
)

const (
	// firstRetransmission is after what time a segment is sent again that was not acknowledged. Each
	// further time is twice as long.
	firstRetransmission = 200 * time.Millisecond
	// connectRetry is the same for the first segment of a connection.
	connectRetry = time.Second
	// firstAckCheck and lastAckCheck are those of the gateway.
	firstAckCheck = 5 * time.Millisecond
	lastAckCheck  = 40 * time.Millisecond
	// lateRead is the age from which on a submission counts as read late in the tests' coverage.
	lateRead = 250 * time.Millisecond
	// forever is longer than any scenario.
	forever = time.Hour
)

// attempt is one submission of a caller, with its connection to an entry. What the operating systems of
// both sides know is apart from what the entry has handled.
type attempt struct {
	sim        *simulation
	caller     *caller
	entry      *entryProc
	id         int
	generation int             // of the entry that has accepted the connection
	call       dispatch.CallID // zero until the entry has read the submission
	ended      bool            // for the caller: it has got an answer, or has closed or reset the connection
	reset      bool            // by the caller: nothing of the connection is sent again

	// At the entry's machine:
	received       bool          // the submission has arrived
	receivedAt     time.Duration // in virtual time
	stoodBefore    time.Duration // entry.stood when it has arrived
	closed         bool          // a FIN or RST has arrived
	unacknowledged bool          // a probe was sent that the caller's system has not acknowledged
}

// path is the path between a caller and an entry: until when each direction is cut.
type path [2]time.Duration

// pathTo returns the path between the caller and the entry.
func (cl *caller) pathTo(e *entryProc) *path {
	p := cl.paths[e]
	if p == nil {
		if cl.paths == nil {
			cl.paths = make(map[*entryProc]*path)
		}
		p = &path{}
		cl.paths[e] = p
	}
	return p
}

// passes reports whether a segment that is sent now arrives. A machine that is suspended receives nothing.
func (at *attempt) passes(direction int) bool {
	if at.sim.now < at.caller.pathTo(at.entry)[direction] || at.entry.machineSuspended {
		at.sim.counts["segment lost"]++
		return false
	}
	return at.sim.callerLoss == 0 || at.sim.rng.Float64() >= at.sim.callerLoss
}

// isOpenAtEntry reports whether the connection is open for the entry's machine.
func (at *attempt) isOpenAtEntry() bool {
	return at.received && !at.closed && at.entry.generation == at.generation
}

// begin lets the caller submit its job to the entry.
func (cl *caller) begin(e *entryProc) {
	sim := cl.sim
	sim.lastAttempt++
	at := &attempt{sim: sim, caller: cl, entry: e, id: sim.lastAttempt}
	cl.attempt = at
	cl.startedBefore = cl.hasStarted()
	sim.attemptBegan(at)
	patience := cl.job.Timeout
	if sim.rng.Intn(2) == 0 {
		patience += sim.draw(0, 500*time.Millisecond)
	}
	sim.after(patience, at.giveUp)
	at.connect(connectRetry)
	if sim.rng.Intn(6) == 0 {
		sim.after(sim.draw(0, 300*time.Millisecond), at.giveUp)
	}
}

// connect opens the connection and sends the submission.
func (at *attempt) connect(retryAfter time.Duration) {
	switch {
	case at.ended:
	case !at.passes(toEntry) || !at.passes(toCaller):
		at.sim.after(retryAfter, func() { at.connect(2 * retryAfter) })
	case !at.entry.up:
		at.fail()
	default:
		at.generation = at.entry.generation
		at.entry.sockets[at.id] = at
		if sim := at.sim; sim.rng.Float64() < sim.delayedSubmissionShare {
			p := at.caller.pathTo(at.entry)
			p[toEntry] = max(p[toEntry], sim.now+sim.draw(100*time.Millisecond, 3*time.Second))
			at.sendSubmission(firstRetransmission)
			return
		}
		at.submissionArrived()
	}
}

// sendSubmission sends the submission until it arrives, even if the caller has closed the connection
// meanwhile: its system sends again what was written before, and then the FIN.
func (at *attempt) sendSubmission(retryAfter time.Duration) {
	switch {
	case at.reset || at.entry.generation != at.generation:
	case !at.passes(toEntry):
		at.sim.after(retryAfter, func() { at.sendSubmission(2 * retryAfter) })
	default:
		if at.ended {
			at.sim.counts["submission after close"]++
			at.sim.after(at.sim.draw(200*time.Microsecond, 2*time.Millisecond), func() { at.sendEnd(firstRetransmission) })
		}
		at.submissionArrived()
	}
}

func (at *attempt) submissionArrived() {
	at.received, at.receivedAt, at.stoodBefore = true, at.sim.now, at.entry.stood
	delay := time.Duration(0)
	if at.sim.rng.Intn(4) == 0 {
		delay = at.sim.draw(0, at.sim.maxReadDelay)
	}
	at.entry.deliver(func() {
		if delay == 0 {
			at.read()
		} else {
			at.entry.deliverAfter(delay, at.read)
		}
	})
}

// read lets the entry read the submission, which may have waited in the socket.
func (at *attempt) read() {
	e := at.entry
	if at.closed {
		at.sim.counts["left before read"]++
		return
	}
	waited := at.sim.now - at.receivedAt
	if waited > lateRead {
		at.sim.counts["read late"]++
		if at.sim.lastReceivedUnknown {
			at.sim.counts["read late of unknown age"]++
		}
	}
	e.nextCall++
	at.call = e.nextCall
	e.attempts[at.call] = at
	submitted := dispatch.SubmitCalled{Call: at.call, Job: at.caller.job}
	if !at.sim.lastReceivedUnknown {
		// The system's clock for that stands still while the machine is suspended.
		submitted.LastReceived = (waited - (e.stood - at.stoodBefore)).Truncate(time.Millisecond)
	}
	e.step(submitted)
}

// giveUp ends the attempt before the answer: the caller closes or resets the connection, and submits the
// job again later. The entry need not learn of it.
func (at *attempt) giveUp() {
	if at.ended {
		return
	}
	at.end()
	at.reset = at.sim.rng.Intn(2) == 0
	at.sim.after(time.Millisecond, func() { at.sendEnd(firstRetransmission) })
	at.caller.connectionBroken()
}

// sendEnd sends a RST once, or a FIN until it arrives. A FIN follows the submission.
func (at *attempt) sendEnd(retryAfter time.Duration) {
	arrives := at.passes(toEntry)
	switch {
	case arrives && at.isOpenAtEntry():
		at.endArrived()
	case at.reset && !arrives:
		at.sim.counts["reset lost"]++
	case at.reset || arrives && at.received:
	default:
		at.sim.after(retryAfter, func() { at.sendEnd(2 * retryAfter) })
	}
}

// endArrived records that a FIN or RST has reached the entry's machine. The entry handles that later.
func (at *attempt) endArrived() {
	if !at.isOpenAtEntry() {
		return
	}
	e := at.entry
	at.closed = true
	delay := time.Duration(0) // until the entry handles the end of the connection
	if at.sim.rng.Intn(3) == 0 {
		delay = at.sim.draw(0, maxCloseDelay)
	}
	e.deliver(func() {
		e.deliverAfter(delay, func() {
			if e.attempts[at.call] == at {
				delete(e.attempts, at.call)
				e.step(dispatch.CallClosed{Call: at.call})
			}
		})
	})
}

// end records the end of the attempt for the caller.
func (at *attempt) end() {
	at.ended = true
	at.sim.attemptEnded(at)
}

// fail ends the attempt because the entry's machine has closed or reset the connection.
func (at *attempt) fail() {
	if !at.ended {
		at.end()
		at.caller.connectionBroken()
	}
}

// entryCrashed ends the attempt if the caller learns that the entry was killed.
func (at *attempt) entryCrashed() {
	if at.passes(toCaller) {
		at.fail()
	}
}

// answer transmits the answer of the entry until it arrives. It does nothing for a caller that has left.
func (at *attempt) answer(retryAfter time.Duration, do func()) {
	switch {
	case at.closed || at.ended:
	case at.passes(toCaller):
		at.end()
		do()
	default:
		at.sim.counts["answer retransmitted"]++
		at.entry.kernelAfter(retryAfter, func() { at.answer(2*retryAfter, do) })
	}
}

// probe sends a probe to the caller until it is acknowledged or the connection is closed.
func (at *attempt) probe() {
	at.unacknowledged = true
	at.sendProbe(firstRetransmission, true)
}

func (at *attempt) sendProbe(retryAfter time.Duration, first bool) {
	sim, e := at.sim, at.entry
	if !at.unacknowledged || at.closed {
		return
	}
	e.kernelAfter(retryAfter, func() { at.sendProbe(2*retryAfter, false) })
	if !at.passes(toCaller) {
		sim.counts["probe lost"]++
		return
	}
	delay := time.Duration(0)
	if first && !at.ended {
		// The caller's system acknowledges what it receives a second time at once.
		delay = sim.draw(0, 40*time.Millisecond)
		if sim.rng.Intn(8) == 0 {
			sim.counts["acknowledged late"]++
			delay = sim.draw(0, 200*time.Millisecond)
		}
	}
	wasReset := at.ended
	sim.after(delay+sim.draw(200*time.Microsecond, 2*time.Millisecond), func() {
		switch {
		case !at.passes(toEntry) || !at.isOpenAtEntry():
		case wasReset:
			sim.counts["probe reset"]++
			at.endArrived()
		default:
			at.unacknowledged = false
		}
	})
}

// probeCallers probes callers as the gateway does.
func (e *entryProc) probeCallers(calls []dispatch.CallID) {
	e.sim.counts["probed"] += len(calls)
	for _, call := range calls {
		if at := e.attempts[call]; at != nil {
			at.probe()
		}
	}
	e.awaitAcks(calls, firstAckCheck)
	if e.sim.rng.Float64() < e.sim.pauseAfterProbeShare {
		e.pauseBeforeAcks(calls)
	}
}

// pauseBeforeAcks suspends the entry, and lets half of the callers leave unseen after their systems have
// acknowledged a probe.
func (e *entryProc) pauseBeforeAcks(calls []dispatch.CallID) {
	sim := e.sim
	sim.after(sim.draw(0, 4*time.Millisecond), func() { e.pause(sim.draw(300*time.Millisecond, 2500*time.Millisecond)) })
	for _, call := range calls {
		at := e.attempts[call]
		if at == nil || sim.rng.Intn(2) == 0 {
			continue
		}
		sim.after(sim.draw(2*time.Millisecond, 60*time.Millisecond), func() {
			if !at.ended && !at.unacknowledged && e.suspended {
				sim.counts["left after acknowledgement"]++
			}
			at.leaveUnseen(sim.draw(time.Second, 4*time.Second))
		})
	}
}

// leaveUnseen cuts the path for a time, and lets the caller give up.
func (at *attempt) leaveUnseen(d time.Duration) {
	at.sim.callersDisturbed = true
	at.sim.counts["left unseen"]++
	p := at.caller.pathTo(at.entry)
	p[toEntry] = max(p[toEntry], at.sim.now+d)
	if at.sim.rng.Intn(2) == 0 {
		p[toCaller] = max(p[toCaller], at.sim.now+d)
	}
	at.giveUp()
}

// awaitAcks looks for acknowledgements as the gateway does.
func (e *entryProc) awaitAcks(calls []dispatch.CallID, delay time.Duration) {
	e.deliverAfter(delay, func() {
		acked, waiting := e.lookForAcks(calls)
		if len(waiting) > 0 {
			e.awaitAcks(waiting, min(2*delay, lastAckCheck))
		}
		if len(acked.Calls)+len(acked.Left) > 0 {
			e.step(acked)
		}
	})
}

func (e *entryProc) lookForAcks(calls []dispatch.CallID) (acked dispatch.CallersAcknowledged, waiting []dispatch.CallID) {
	for _, call := range calls {
		switch at := e.attempts[call]; {
		case at == nil:
		case at.closed:
			acked.Left = append(acked.Left, call)
			delete(e.attempts, call)
		case !at.unacknowledged:
			acked.Calls = append(acked.Calls, call)
		default:
			waiting = append(waiting, call)
		}
	}
	return acked, waiting
}

// checkCallers looks which callers are connected, as the gateway does.
func (e *entryProc) checkCallers(calls []dispatch.CallID) dispatch.CallersChecked {
	var checked dispatch.CallersChecked
	for _, call := range calls {
		if at := e.attempts[call]; at != nil && !at.closed {
			checked.Connected = append(checked.Connected, call)
		} else {
			e.sim.counts["left before placed"]++
			checked.Left = append(checked.Left, call)
			delete(e.attempts, call)
		}
	}
	return checked
}

// attemptKey identifies the attempts of one job at one entry.
type attemptKey struct {
	entry string
	job   string
}

// attemptState is what the callers of a job know of its attempts at an entry.
type attemptState struct {
	open    int
	endedAt time.Duration // the last of those that are not open
}

func (at *attempt) key() attemptKey { return attemptKey{entry: at.entry.name, job: at.caller.job.Name} }

func (sim *simulation) attemptBegan(at *attempt) {
	sim.traceEvent("caller", "ATTEMPT BEGINS", at.caller.job.Name, at.entry.name)
	s := sim.attempts[at.key()]
	if s == nil {
		s = &attemptState{}
		sim.attempts[at.key()] = s
	}
	s.open++
}

// attemptEnded checks later that the entry has stopped what runs for the attempt.
func (sim *simulation) attemptEnded(at *attempt) {
	sim.traceEvent("caller", "ATTEMPT ENDS", at.caller.job.Name, at.entry.name)
	s := sim.attempts[at.key()]
	s.open--
	s.endedAt = sim.now
	sim.after(resendAfter+time.Nanosecond, func() { sim.checkStopped(at) })
}

// checkStopped fails if a task runs for an attempt that has ended longer than resendAfter ago.
func (sim *simulation) checkStopped(at *attempt) {
	if !sim.isOver(at.key()) {
		return
	}
	for _, a := range sim.agents {
		a.machine.advance()
	}
	for i := range at.caller.job.Tasks {
		task := taskName(taskrunner.TaskKey{Job: at.caller.job.Name, Index: i})
		for _, server := range sim.running[task] {
			if sim.owners[task+"@"+server] == at.entry.name {
				sim.fail("task %s of %s runs on at %s, longer than %v after the attempt of its caller has ended", task, at.entry.name, server, resendAfter)
			}
		}
	}
}

// isOver reports whether all attempts of a job at an entry have ended longer than resendAfter ago.
func (sim *simulation) isOver(k attemptKey) bool {
	s := sim.attempts[k]
	return s != nil && s.open == 0 && sim.now > s.endedAt+resendAfter
}

// taskOwned records which entry has ordered the task that starts at a server, and fails if its caller has
// left long ago.
func (sim *simulation) taskOwned(server, entry, job, task string) {
	sim.owners[task+"@"+server] = entry
	if sim.isOver(attemptKey{entry: entry, job: job}) {
		sim.fail("task %s of %s starts at %s, %v after the attempt of its caller has ended", task, entry, server, sim.now-sim.attempts[attemptKey{entry: entry, job: job}].endedAt)
	}
}

// callersGivenUp checks that callers are given up only if something was wrong with their paths or entries.
func (sim *simulation) callersGivenUp(e *entryProc, n int) {
	if n == 0 {
		return
	}
	sim.counts["given up as silent"] += n
	if !sim.callersDisturbed {
		sim.fail("%s gave up %d callers as silent, whose paths are whole", e.name, n)
	}
}
