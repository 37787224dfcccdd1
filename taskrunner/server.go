package taskrunner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/attempts"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// propertiesChanged reports the new properties of the same incarnation of the server to
// the entries.
func (m *Runner) propertiesChanged(previous ServerInfo) {
	if m.server.capacity() != previous.capacity() {
		m.log("server_capacity_changed", fmt.Sprintf("server=%s cpu=%d mem_mb=%d gpu=%d cpu_before=%d mem_mb_before=%d cpu_used=%d",
			m.server.ID, m.server.CPU, m.server.MemMB, m.server.GPU, previous.CPU, previous.MemMB, m.used.cpu))
	} else {
		m.log("server_labels_changed", fmt.Sprintf("server=%s service=%s labels=%q service_before=%s labels_before=%q",
			m.server.ID, m.server.Service, m.server.Labels, previous.Service, previous.Labels))
	}
	m.properties++
	m.labels = m.server.Labels
	m.wakePolls()
}

// serverRegistered applies the information about a newly registered server.
func (m *Runner) serverRegistered(event string) {
	m.properties++
	m.labels = m.server.Labels
	if m.health.samples == 0 {
		m.health.priorBaseline = m.storedBaselineFor(m.labels)
	}
	m.log(event, fmt.Sprintf("server=%s run=%d cpu=%d mem_mb=%d draining=%t", m.server.ID, m.server.Incarnation, m.server.CPU, m.server.MemMB, m.server.Draining))
	m.wakePolls()
}

// adoptStoredServer registers the server stored by an earlier agent once a lease
// renewal has shown that the same incarnation is still running. A restarted agent
// thereby starts tasks without waiting for the next heartbeat.
func (m *Runner) adoptStoredServer() {
	if m.server.ID != "" || m.storedServer.ID == "" || m.clockIncarnation == 0 || m.storedServer.Incarnation != m.clockIncarnation {
		return
	}
	m.server = m.storedServer
	m.serverRegistered("server_recalled")
}

// serverLeft handles the deregistration of a server as a drain.
func (m *Runner) serverLeft(id string) {
	if id != m.server.ID {
		return
	}
	m.log("server_left", "server="+id)
	m.server.Draining = true
	if m.server.Clock > 0 {
		m.server.Clock = max(m.server.Clock, m.clock) // earlier reports may still arrive
	}
	m.emit(ServerChanged{Info: m.server})
	m.dropAllQueued("the backend server has left")
	m.wakePolls()
}

// sendRenewal keeps one lease renewal in flight. If its retransmission timeout has
// passed, another is sent without waiting for it, because some calls never get a
// reply. The lease is not renewed while the fencing token is refused or tasks are running
// that the agent does not know, such as those of an earlier agent.
func (m *Runner) sendRenewal() {
	if n := len(m.renewals); n > 0 && m.now.Before(m.renewals[n-1].retransmitAt) || m.now.Before(m.nextRenewal) {
		return
	}
	m.renewals = slices.DeleteFunc(m.renewals, func(p pendingRenewal) bool { return m.now.Sub(p.sentAt) > renewalExpiry })
	m.lastRenewalID++
	l := RenewLease{ID: m.lastRenewalID, Token: m.token, AckIndex: m.seenEnd, Wait: m.opts.RenewalWait}
	if !m.inControl() {
		l.Wait = 0
	} else if until := m.leaseEnd(); until > m.clock && !m.foreignListed {
		l.Until = until
	}
	if m.awaitsVerification() {
		l.Wait = 0
	} else if m.misaddressedAfter == 0 {
		l.ServerID = m.addressee()
	}
	if l.Until > 0 {
		l.Known = m.clockIncarnation
		m.leaseAsked()
	}
	m.logLeaseLimit()
	m.renewals = append(m.renewals, pendingRenewal{id: l.ID, serverID: l.ServerID, known: l.Known, sentAt: m.now, asksLease: l.Until > 0, retransmitAt: m.now.Add(l.Wait + renewalRetransmitAfter)})
	m.emit(l)
}

// inControl reports whether the known incarnation answers to the agent's calls and token, and no
// task of an earlier agent is left there.
func (m *Runner) inControl() bool {
	return m.noForeignRuns && m.clockIncarnation != 0 && !m.fenced && !m.clockOutdated() && m.misaddressedAfter == 0
}

// addressee returns the ID of the server that calls are addressed to; empty if the known
// incarnation has not registered.
func (m *Runner) addressee() string {
	if m.server.Incarnation != m.clockIncarnation {
		return ""
	}
	return m.server.ID
}

// renewNow makes the next lease renewal due without waiting for one in flight.
func (m *Runner) renewNow() {
	if n := len(m.renewals); n > 0 {
		m.renewals[n-1].retransmitAt = m.now
	}
	m.nextRenewal = m.now
}

// removeRenewal removes a lease renewal and returns it if it was pending.
func (m *Runner) removeRenewal(id uint64) (renewal pendingRenewal, pending bool) {
	i := slices.IndexFunc(m.renewals, func(p pendingRenewal) bool { return p.id == id })
	if i < 0 {
		return pendingRenewal{}, false
	}
	renewal = m.renewals[i]
	m.renewals = slices.Delete(m.renewals, i, i+1)
	return renewal, true
}

func (m *Runner) renewReplied(e RenewReplied) {
	renewal, pending := m.removeRenewal(e.ID)
	if renewal.asksLease && !e.Refused {
		m.leaseAsked() // until now the call may have been carried out
	}
	if !e.OK {
		if e.OtherServer {
			m.misaddressed(renewal.serverID, renewal.known)
		}
		m.renewalFailed(e)
		return
	}
	if e.ServerIncarnation < m.clockIncarnation {
		m.nextRenewal = m.now.Add(renewalRetryDelay)
		return // late reply of an earlier incarnation
	}
	if e.ServerIncarnation > m.clockIncarnation && m.clockIncarnation != 0 && !m.serverRefusing {
		m.serverCrashed(cmp.Or(m.failingSince, m.now))
	}
	m.failingSince, m.serverRefusing = time.Time{}, false
	if m.serverLost {
		m.serverLost = false
		m.log("server_regained", fmt.Sprintf("run=%d", e.ServerIncarnation))
	}
	if e.ServerIncarnation != m.clockIncarnation {
		m.serverReplaced(e)
		m.adoptStoredServer()
	}
	m.fenced = false
	if renewal.sentAt.After(m.confirmedAt) {
		m.confirmedAt = renewal.sentAt
	}
	if rows := e.UnreadableRunning + e.UnreadableEnds; rows > 0 {
		m.log("rows_unreadable", fmt.Sprintf("rows=%d reason=%q", rows, e.Reason))
	}
	outdated := e.Clock < m.clock // the reply to a later renewal arrived first
	m.readClock(e.ServerIncarnation, e.Clock)
	m.settleAddress(e)
	m.settleReports(e)
	m.applyEnds(e.ID, e.Ended, e.Clock)
	if outdated {
		return
	}
	m.reconcileRunning(e.ID, e.Running, e.UnreadableRunning)
	if pending && !e.MoreEnds {
		m.finishMissing(e)
	}
	m.learnFromProgress()
}

func (m *Runner) renewalFailed(e RenewReplied) {
	if e.Fenced {
		m.raiseToken()
		return
	}
	m.nextRenewal = m.now.Add(renewalRetryDelay)
	if m.failingSince.IsZero() {
		m.failingSince = m.now
		m.nextRenewal = m.now.Add(firstRenewalRetryDelay)
	}
	if e.Refused && !m.serverRefusing && m.clockIncarnation != 0 {
		m.serverRefusing = true
		m.nextRenewal = m.now.Add(renewalRetryDelay)
		m.serverCrashed(m.failingSince)
		m.dropAllQueued("the backend server refuses connections")
		m.wakePolls()
	}
	if !m.serverLost && m.now.Sub(m.clockReadAt) > m.opts.Lease {
		m.serverLost = true
		m.log("server_lost", fmt.Sprintf("reason=%q last_answer_ms=%d", e.Reason, m.now.Sub(m.clockReadAt).Milliseconds()))
		m.wakePolls()
	}
}

// raiseToken raises the fencing token after the server has refused it, because an
// earlier agent used a higher one.
func (m *Runner) raiseToken() {
	m.token += tokenStep
	m.fenced = true
	m.log("token_raised", fmt.Sprintf("token=%d", m.token))
	m.renewNow()
}

// serverReplaced switches to a new incarnation of the server. The tasks that the
// earlier incarnation ran ended with it. Starts without a reply may have been carried
// out there, or may have reached the new incarnation, which has not seen a fencing token
// yet: their tasks are stopped there, under a higher token that fences off calls still in
// transit.
func (m *Runner) serverReplaced(e RenewReplied) {
	m.storeBaseline(m.Baseline())
	m.log("server_run_changed", fmt.Sprintf("from=%d to=%d", m.clockIncarnation, e.ServerIncarnation))
	if m.clockIncarnation != 0 {
		m.earlierLeasesEnd = m.now.Add(renewalExpiry + m.longestLease())
	}
	m.clockIncarnation = e.ServerIncarnation
	m.incarnationSince = m.now
	m.clock = 0
	m.noForeignRuns = false
	m.seenEnd = 0
	m.token++
	m.health = health{priorBaseline: m.storedBaselineFor(m.labels)}
	for _, r := range m.sortedRuns() {
		if r.phase == queued {
			continue
		}
		r.attempts.ServerReplaced(e.ServerIncarnation)
		r.stopAcked = false
		switch {
		case r.phase == stopping && r.attempts.Verdict() == attempts.Open:
			m.stopRun(r)
		case r.phase != running || r.attempts.RunningAt() == 0:
			m.finish(r, session.Lost, "the backend server was replaced")
		}
	}
	m.wakePolls()
}

// applyEnds processes the ended tasks listed in the reply to the given lease renewal, with
// the given clock reading.
func (m *Runner) applyEnds(renewal uint64, ends []EndRow, clock time.Duration) {
	for _, end := range ends {
		if end.Index <= m.seenEnd {
			continue
		}
		m.seenEnd = end.Index
		r := m.runs[end.Key.TaskKey]
		if r == nil || r.key != end.Key || r.phase == queued {
			continue
		}
		r.attempts.Ended(m.clockIncarnation, renewal > r.answeredAfter)
		m.applyEnd(r, end.Outcome, clock)
	}
}

func (m *Runner) applyEnd(r *run, outcome EndOutcome, clock time.Duration) {
	if !r.confirmed {
		r.started(m)
	}
	switch outcome {
	case EndDone:
		m.health.recordSuccess()
		if r.startClock > 0 && clock > r.startClock {
			m.recordRunTime(r, clock-r.startClock)
		}
		m.finish(r, session.Done, "")
	case EndFailed:
		m.health.recordFailure()
		m.finish(r, session.Failed, "the backend server reported a failure")
	default:
		if r.phase == stopping {
			m.finish(r, r.outcome, r.reason)
			return
		}
		m.finish(r, session.Lost, "ended without a result")
	}
}

// reconcileRunning compares the tasks that the server runs with those that this
// agent has started. It stops unknown ones and records the progress of the others.
// Once there are no unknown ones, it sets noForeignRuns. One behind an unreadable row is over
// when its lease has expired, which this agent does not renew before.
func (m *Runner) reconcileRunning(renewal uint64, rows []RunningRow, unreadable int) {
	foreign := 0
	for _, row := range rows {
		r := m.runs[row.Key.TaskKey]
		if r == nil || r.key != row.Key || r.phase == queued {
			foreign++
			m.stopForeign(row.Key)
			continue
		}
		r.attempts.Listed(m.clockIncarnation, renewal > r.answeredAfter)
		m.updateProgress(r, row.Percent)
	}
	m.foreignListed = foreign > 0
	hidden := unreadable > 0 && m.now.Sub(m.incarnationSince) <= m.longestLease()
	if !m.noForeignRuns && foreign == 0 && !hidden {
		m.noForeignRuns = true
		m.log("server_ready", fmt.Sprintf("run=%d clock_ms=%d token=%d", m.clockIncarnation, m.clock.Milliseconds(), m.token))
		m.wakePolls()
		m.renewNow()
	} else if !m.noForeignRuns {
		m.nextRenewal = m.now.Add(renewalRetryDelay)
	}
}

// stopForeign stops a run that is none of this agent's current ones. The server
// ignores a stop of a run that has already ended.
func (m *Runner) stopForeign(key RunKey) {
	m.emit(LogEvent{Event: "foreign_run_stopped", Task: key.String()})
	m.sendStop(key)
}

// updateProgress records the progress of a run and stops it if it has stalled.
func (m *Runner) updateProgress(r *run, percent int) {
	if !r.confirmed {
		r.started(m)
	}
	switch percent = min(percent, 100); {
	case percent <= UnknownPercent:
		r.progressAt = m.now
	case percent != r.percent:
		r.percent = percent
		r.progressAt = m.now
	}
	if r.startClock > 0 {
		r.listedFor = max(m.clock-r.startClock, 0)
	}
	if r.phase == running && m.now.Sub(r.progressAt) > stallTimeout {
		m.health.recordFailure()
		m.stop(r, session.Lost, fmt.Sprintf("no progress at %d %% for %v", percent, m.now.Sub(r.progressAt)))
	}
}

// finishMissing finishes the runs that the server does not list in the reply to a lease
// renewal, as far as that proves their end.
func (m *Runner) finishMissing(e RenewReplied) {
	seen := make(map[RunKey]bool, len(e.Running))
	for _, row := range e.Running {
		seen[row.Key] = true
	}
	for _, r := range m.sortedRuns() {
		if seen[r.key] {
			continue
		}
		if r.phase != stopping && r.phase != running {
			continue
		}
		fenced := r.stopAcked && e.ID > r.stopAckedAfter
		if e.UnreadableRunning > 0 && !(fenced && m.stopCompleted(r)) {
			m.stopUnlisted(r)
			continue
		}
		r.attempts.Missing(e.ID > r.answeredAfter, fenced, e.UnreadableRunning+e.UnreadableEnds == 0)
		switch {
		case r.phase == running && r.attempts.RunningAt() == 0:
			m.finish(r, session.Lost, "the backend server no longer lists the task")
		case r.phase == stopping && r.attempts.Verdict() != attempts.Open:
			m.finish(r, r.outcome, r.reason)
		}
	}
}

// stopCompleted reports whether a stop that was acknowledged has certainly ended the run.
func (m *Runner) stopCompleted(r *run) bool {
	longest := time.Duration(float64(m.opts.StopTimeout) * (1 + clockDrift))
	return r.stopAcked && m.now.Sub(r.stopAckedAt) > longest
}

// stopUnlisted stops a run that an unreadable row may stand for, if no readable one has
// shown its progress for long. It is not known to have ended.
func (m *Runner) stopUnlisted(r *run) {
	if r.phase == running && m.now.Sub(r.progressAt) > stallTimeout {
		m.stop(r, session.Lost, "the backend server lists unreadable runs instead of the task")
	}
}

// Server returns the information about the current server. Its ID is empty if none
// has registered.
func (m *Runner) Server() ServerInfo { return m.server }

// Baseline is the baseline slowness of servers with the same labels: the ratio of
// run time to estimate while the server works normally.
type Baseline struct {
	Slowness int      `json:"slowness"` // thousandths
	Labels   []string `json:"labels"`   // of the server that it was measured on
}

// Baseline returns the baseline slowness of the current server. It is zero while
// there are fewer than minBaselineSamples measurements.
func (m *Runner) Baseline() Baseline {
	if m.health.samples < minBaselineSamples {
		return Baseline{}
	}
	return Baseline{Slowness: int(m.health.baseline() * perMille), Labels: m.labels}
}

// storeBaseline keeps a baseline slowness measured earlier for servers with the
// same labels.
func (m *Runner) storeBaseline(b Baseline) {
	if b.Slowness <= 0 {
		return
	}
	m.storedBaseline = b
	if m.health.samples == 0 {
		m.health.priorBaseline = m.storedBaselineFor(m.labels)
	}
}

// storedBaselineFor returns the stored baseline slowness for a server with the
// given labels, or zero if there is none.
func (m *Runner) storedBaselineFor(labels []string) float64 {
	if m.storedBaseline.Slowness <= 0 || !slices.Equal(m.storedBaseline.Labels, labels) {
		return 0
	}
	return float64(m.storedBaseline.Slowness) / perMille
}
