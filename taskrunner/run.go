package taskrunner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/attempts"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

// phase is the state of a run.
type phase uint8

const (
	queued   phase = iota // in the queue; nothing sent to the server
	starting              // StartTask was sent; no result yet
	running               // the server has acknowledged the start
	stopping              // StopTask was sent; the server has not confirmed the end yet
)

// phaseNames are the phases as the dump prints them: queued is "waiting" there.
var phaseNames = [...]string{"waiting", "starting", "running", "stopping"}

// run is the run of a task under one placement at this agent.
type run struct {
	key      RunKey
	id       uint64 // ID of the placement
	session  *entrySession
	queue    string // name of the job's queue
	spec     string
	cpu, mem int
	gpu      int
	needs    requirements
	estimate time.Duration
	startBy  time.Time // latest start time
	rank     shares.Rank
	phase    phase
	// configVersion is the version of the configuration under which the job was submitted;
	// zero if unknown.
	configVersion int64
	attempts      attempts.Log // starts sent under the run number
	// numberTries counts the run numbers that the server refused as used, startTries the
	// starts that were sent again because an earlier one had no reply.
	numberTries, startTries int

	sentAt         time.Time            // when the start was last sent
	sentClock      time.Duration        // newest reading of the server's clock at that time
	sentTo         int64                // known server incarnation at that time
	answeredAfter  uint64               // lease renewals with higher IDs were sent after the last start was answered
	startedAt      time.Time            // when the start was acknowledged or inferred
	startClock     time.Duration        // server's clock reading in the acknowledgement; zero if unknown
	confirmed      bool                 // the server has acknowledged the start or listed the run
	percent        int                  // progress reported by the server
	listedFor      time.Duration        // run time by the server's clock when it reported percent; zero if unknown
	progressAt     time.Time            // when percent last changed
	stoppedAt      session.ClockReading // newest reading of the server's clock at the first stop, or echoed with the order to stop it
	stopAcked      bool                 // the current incarnation has acknowledged the stop
	stopAckedAfter uint64               // lease renewals with higher IDs were sent after that
	stopAckedAt    time.Time
	stopRetryAt    time.Time       // when the stop is sent again; zero if it is not
	outcome        session.Outcome // to report once a stopping run has ended
	reason         string          // of outcome
}

// finish removes a run and adds a report of its outcome to its session. A run that may be
// running or may still start is stopped first, unless it is done, and one that may have
// started is not reported as NotStarted.
func (m *Runner) finish(r *run, o session.Outcome, reason string) {
	switch verdict := r.attempts.Verdict(); {
	case verdict == attempts.Open && o != session.Done:
		if o == session.Failed && r.phase == stopping {
			r.outcome, r.reason = o, reason
		}
		m.stop(r, o, reason)
		return
	case verdict == attempts.Over && o == session.NotStarted:
		o = session.Lost
	case verdict == attempts.NeverStarted && (o == session.Lost || o == session.Stopped):
		o = session.NotStarted
	}
	if m.runs[r.key.TaskKey] == r {
		delete(m.runs, r.key.TaskKey)
		if r.phase != queued {
			m.used.sub(r)
		}
	}
	if i := slices.Index(m.queue, r); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
	rep := session.Report{ID: r.id, Outcome: o, Reason: reason}
	if r.confirmed {
		rep.Ran = m.now.Sub(r.startedAt)
	}
	m.emit(LogEvent{
		Event: "task_ended", Task: r.key.String(), Entry: r.session.entry,
		Detail: fmt.Sprintf("outcome=%s reason=%q ran_ms=%d clock_ms=%d %s", o, reason, rep.Ran.Milliseconds(), m.clock.Milliseconds(), &r.attempts),
	})
	r.session.addReport(rep)
}

// expireStarted ends the runs for which a start was sent, once every lease by the known
// clock has expired. One that another incarnation of the server has accepted goes on, and
// one of which that is possible is stopped first.
func (m *Runner) expireStarted() {
	for _, r := range m.sortedRuns() {
		if r.phase == queued {
			continue
		}
		r.attempts.LeaseExpired(m.clockIncarnation)
		if m.longestLeaseExpired() {
			r.attempts.LongestLeaseExpired()
		}
		if r.phase != running || r.attempts.RunningAt() == 0 {
			m.finish(r, session.Lost, "the lease expired")
		}
	}
}

// sortedRuns returns the runs in a fixed order, so that effects are deterministic.
func (m *Runner) sortedRuns() []*run {
	list := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	return list
}

func compareRuns(a, b *run) int {
	return cmp.Or(cmp.Compare(a.session.id, b.session.id), cmp.Compare(a.id, b.id))
}

// usage is the capacity of the server in use.
type usage struct{ cpu, mem, gpu int }

func (u *usage) add(r *run) { u.cpu, u.mem, u.gpu = u.cpu+r.cpu, u.mem+r.mem, u.gpu+r.gpu }
func (u *usage) sub(r *run) { u.cpu, u.mem, u.gpu = u.cpu-r.cpu, u.mem-r.mem, u.gpu-r.gpu }

// capacity returns the whole capacity of the server.
func (s *ServerInfo) capacity() usage { return usage{cpu: s.CPU, mem: s.MemMB, gpu: s.GPU} }

// SameRecord reports whether the record of another state of the server need not be
// written again.
func (s *ServerInfo) SameRecord(o *ServerInfo) bool {
	return s.Draining == o.Draining && s.sameProperties(o)
}

// holds reports whether the run fits the server while nothing else runs there.
func (s *ServerInfo) holds(r *run) bool { return r.cpu <= s.CPU && r.mem <= s.MemMB && r.gpu <= s.GPU }

// learnFromProgress includes the predicted run times of running tasks in the
// measured slowness, so that a server that becomes slow is detected before its
// first task has ended.
func (m *Runner) learnFromProgress() {
	m.health.inFlight = runTimes{} // totalRunTime predicts from what has finished
	var inFlight runTimes
	for _, r := range m.runs {
		if r.phase == running && r.estimate > 0 {
			inFlight.add(m.totalRunTime(r), r.estimate)
		}
	}
	if m.opts.RunTimes {
		inFlight = m.withoutTails(inFlight)
	}
	m.health.inFlight = inFlight
}

// fits reports whether there is free capacity for a task now. A server that fails
// too many tasks gets one at a time, as a probe.
func (m *Runner) fits(r *run) bool {
	if m.health.suspect && m.used.cpu > 0 {
		return false
	}
	return r.cpu <= m.freeCPU() && m.used.mem+r.mem <= m.server.MemMB && m.used.gpu+r.gpu <= m.server.GPU
}

// startQueued starts the queued tasks for which there is free capacity, in the order of
// startOrder. Smaller tasks pass larger ones, except those that give way to them.
func (m *Runner) startQueued() {
	if !m.active() || m.awaitsVerification() || len(m.queue) == 0 {
		m.recordShortage(0)
		return
	}
	waitingRank := shares.Rank(math.MaxInt)
	order, deferred := m.startOrder()
	for i, r := range order {
		if !r.session.fresh(m) || m.mayBeReplaced(r) {
			continue
		}
		givesWay := i >= len(order)-deferred && r.rank > waitingRank
		if m.fits(r) && !givesWay {
			m.startOrReturn(r)
		} else {
			waitingRank = min(waitingRank, r.rank)
		}
	}
}

// startOrReturn starts a queued task, or refuses it if the server must not start it.
func (m *Runner) startOrReturn(r *run) {
	if reason := m.unsuitable(r); reason != "" {
		m.finish(r, session.NotStarted, reason)
		return
	}
	m.queue = slices.DeleteFunc(m.queue, func(q *run) bool { return q == r })
	m.start(r)
}

// start sends a StartTask. The lease of the task ends with the agent's lease, or
// earlier if the entry's echoed clock reading expires before that.
func (m *Runner) start(r *run) {
	if r.phase == queued {
		m.used.add(r)
	}
	r.phase = starting
	r.sentAt, r.sentClock, r.sentTo = m.now, m.clock, m.clockIncarnation
	r.attempts.Sent()
	m.leaseAsked()
	m.starts.record(m.now, r.queue)
	m.emit(StartTask{Key: r.key, Spec: r.spec, Until: min(m.leaseEnd(), r.session.echoed.Clock+m.opts.SessionTTL), Token: m.token, ServerID: m.server.ID, Known: m.clockIncarnation})
}

// stop ends a run early. A queued run is reported as NotStarted at once, any other
// once it has ended: with the given outcome, unless the server lists another.
func (m *Runner) stop(r *run, o session.Outcome, reason string) {
	switch r.phase {
	case queued:
		m.finish(r, session.NotStarted, reason)
		return
	case stopping:
		return
	}
	r.phase = stopping
	r.stoppedAt = session.ClockReading{Run: m.clockIncarnation, Clock: m.clock}
	m.stopsPending = true
	r.outcome, r.reason = o, reason
	m.stopRun(r)
}

// stopRun sends a StopTask for a run, and again as long as none is acknowledged.
func (m *Runner) stopRun(r *run) {
	r.stopRetryAt = m.now.Add(stopRetransmitAfter)
	m.sendStop(r.key)
}

// sendStop sends a StopTask. It is addressed to the registered server only while that is the
// known incarnation.
func (m *Runner) sendStop(key RunKey) {
	m.emit(StopTask{Key: key, Token: m.token, ServerID: m.addressee(), Known: m.clockIncarnation})
}

func (m *Runner) startReplied(e StartReplied) {
	if e.Result == StartUnknown || e.Result == StartAccepted {
		m.leaseAsked() // until now the call may have been carried out
	}
	m.health.recordStartReply(e.Broken)
	r := m.runs[e.Key.TaskKey]
	if r == nil || r.key != e.Key || r.phase == queued { // a queued one is a copy of the run that was started
		return
	}
	if e.ServerIncarnation != 0 || r.sentTo == m.clockIncarnation {
		m.readClock(e.ServerIncarnation, e.Clock)
	}
	r.attempts.Answered(e.Result.answer(), m.replyingIncarnation(r, e))
	r.answeredAfter = m.lastRenewalID
	if e.Result == StartAccepted && !r.confirmed {
		r.started(m)
		r.startClock = e.Clock
	}
	switch r.phase {
	case starting:
		m.startAnswered(r, e)
	case stopping:
		if e.Result == StartNumberUsed && r.attempts.Verdict() == attempts.Open {
			r.attempts.NumberUsed(m.replyingIncarnation(r, e))
		}
		if r.attempts.Verdict() != attempts.Open {
			m.finish(r, r.outcome, r.reason)
		}
	}
}

// startAnswered continues a start according to its reply.
func (m *Runner) startAnswered(r *run, e StartReplied) {
	switch e.Result {
	case StartAccepted:
		r.phase = running
		if e.ServerIncarnation != m.clockIncarnation {
			// The reply to a renewal names the incarnation. It also takes the place of one that
			// got lost.
			m.renewNow()
		}
		return
	case StartUnknown:
		m.startUnanswered(r, e.Reason)
		return
	case StartDeclined:
		m.health.recordFailure()
	case StartFenced:
		m.raiseToken()
	case StartOtherServer:
		m.misaddressed(m.server.ID, r.sentTo)
		m.renewNow()
	}
	rejected := r.attempts.Verdict() == attempts.NeverStarted
	switch {
	case rejected && e.Result == StartNumberUsed:
		m.retryWithNewNumber(r)
	case rejected:
		m.finish(r, session.NotStarted, e.Result.String())
	case e.Result == StartNumberUsed:
		m.earlierTryStarted(r, m.replyingIncarnation(r, e))
	case e.Result == StartRefused || e.Result == StartDeclined:
		m.startUnanswered(r, e.Reason) // another try may find the run there
	default:
		m.finish(r, session.NotStarted, e.Result.String())
	}
}

// confirm records that the server has the run.
func (r *run) confirm(m *Runner) {
	r.confirmed = true
	r.startedAt, r.progressAt = m.now, m.now
}

// started records that the server has started the run, as it says in its reply to the start
// or in a list of runs.
func (r *run) started(m *Runner) {
	r.confirm(m)
	m.emit(LogEvent{Event: "task_started", Task: r.key.String(), Entry: r.session.entry,
		Detail: fmt.Sprintf("cpu=%d estimate_ms=%d clock_ms=%d config=%d reply_ms=%d", r.cpu, r.estimate.Milliseconds(),
			m.clock.Milliseconds(), r.configVersion, m.now.Sub(r.sentAt).Milliseconds())})
}

// replyingIncarnation returns the incarnation that has replied to the last start of a run. A
// reply that does not name it is of the known one if its clock reading continues that of the
// known one: the clock of another incarnation starts anew.
func (m *Runner) replyingIncarnation(r *run, e StartReplied) int64 {
	switch {
	case e.ServerIncarnation != 0:
		return e.ServerIncarnation
	case r.sentTo == m.clockIncarnation && e.Clock >= r.sentClock && m.continuesClock(e.Clock):
		return m.clockIncarnation
	}
	return attempts.Unnamed
}

// startUnanswered sends a start again of which an earlier copy has no reply, or stops the
// run. A copy that arrives later has the same run number and no further effect.
func (m *Runner) startUnanswered(r *run, reason string) {
	r.startTries++
	m.emit(LogEvent{Event: "start_unanswered", Task: r.key.String(), Entry: r.session.entry, Detail: fmt.Sprintf("try=%d reason=%q %s", r.startTries, reason, &r.attempts)})
	if m.zoneEvacuated() {
		m.stop(r, session.NotStarted, reasonEvacuated)
		return
	}
	if reason := m.notAgain(r); reason != "" {
		m.health.recordFailure()
		m.stop(r, session.NotStarted, "no reply to the start, and "+reason)
		return
	}
	if r.startTries < maxStartTries && r.session.fresh(m) && !m.clockOutdated() {
		m.start(r)
		return
	}
	m.health.recordFailure()
	m.stop(r, session.NotStarted, "no reply to the start")
}

// earlierTryStarted handles a run number that is in use because an earlier copy of
// the same start has arrived. The run has ended since; the next lease renewal
// returns its outcome.
func (m *Runner) earlierTryStarted(r *run, incarnation int64) {
	r.phase = running
	r.attempts.NumberUsed(incarnation)
	r.confirm(m)
	m.renewNow()
}

// retryWithNewNumber starts a task again under a higher run number, because the
// server knows an ended run with this number that another session started.
func (m *Runner) retryWithNewNumber(r *run) {
	r.numberTries++
	if m.zoneEvacuated() {
		m.finish(r, session.NotStarted, reasonEvacuated)
		return
	}
	if r.numberTries >= maxNumberTries {
		m.finish(r, session.NotStarted, "no unused run number found")
		return
	}
	if reason := m.notAgain(r); reason != "" {
		m.finish(r, session.NotStarted, reason)
		return
	}
	r.key.Number += r.numberTries
	m.start(r)
}

func (m *Runner) stopReplied(e StopReplied) {
	if e.Known != m.clockIncarnation {
		return
	}
	m.readClock(0, e.Clock)
	r := m.runs[e.Key.TaskKey]
	if r == nil || r.key != e.Key || r.phase != stopping {
		return
	}
	if r.stopAcked {
		return
	}
	if !e.OK {
		m.emit(LogEvent{Event: "stop_unanswered", Task: r.key.String(), Entry: r.session.entry, Detail: fmt.Sprintf("reason=%q", e.Reason)})
		r.stopRetryAt = m.now.Add(stopRetryDelay)
		return
	}
	r.stopAcked, r.stopAckedAfter, r.stopAckedAt = true, m.lastRenewalID, m.now
	r.stopRetryAt = time.Time{}
	m.renewNow()
}

// retryStops sends stops again that have failed, or have no reply, when their delay has passed.
func (m *Runner) retryStops() {
	var due []*run
	for _, r := range m.runs {
		if r.phase == stopping && !r.stopRetryAt.IsZero() && !m.now.Before(r.stopRetryAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRuns)
	for _, r := range due {
		m.stopRun(r)
	}
}

// dropAllQueued refuses all queued tasks.
func (m *Runner) dropAllQueued(reason string) {
	for _, r := range slices.Clone(m.queue) {
		m.finish(r, session.NotStarted, reason)
	}
}

// expireQueued refuses the queued tasks whose latest start time has passed.
func (m *Runner) expireQueued() {
	for _, r := range slices.Clone(m.queue) {
		if m.now.After(r.startBy) {
			m.finish(r, session.NotStarted, "no free capacity before the latest start time")
		}
	}
}
