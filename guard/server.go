package guard

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// serverReported processes a heartbeat. Heartbeats of an earlier incarnation, or
// with an old sequence number, are ignored.
func (g *Guard) serverReported(info ServerInfo) {
	if info.Incarnation < g.server.Incarnation || info.Incarnation < g.clockIncarnation || info.Incarnation == g.server.Incarnation && info.Seq <= g.server.Seq {
		return
	}
	previous := g.server
	g.server = info
	if info.Incarnation != previous.Incarnation {
		g.serverRegistered("server_registered")
		g.renewNow()
	}
	if info.Incarnation != previous.Incarnation || info.Draining != previous.Draining {
		g.emit(ServerChanged{Info: info})
	}
	if info.Draining && !previous.Draining {
		g.log("server_draining", "server="+info.ID)
		g.dropQueued("the backend server is draining")
		g.wakePolls()
	}
}

// serverRegistered applies the information about a newly registered server.
func (g *Guard) serverRegistered(event string) {
	g.labels = g.server.Labels
	if g.health.samples == 0 {
		g.health.priorBaseline = g.storedBaselineFor(g.labels)
	}
	g.log(event, fmt.Sprintf("server=%s run=%d cpu=%d mem_mb=%d draining=%t", g.server.ID, g.server.Incarnation, g.server.CPU, g.server.MemMB, g.server.Draining))
	g.wakePolls()
}

// adoptRecalled registers the server stored by an earlier agent once a lease
// renewal has shown that the same incarnation is still running. A restarted agent
// thereby starts tasks without waiting for the next heartbeat.
func (g *Guard) adoptRecalled() {
	if g.server.ID != "" || g.recalled.ID == "" || g.clockIncarnation == 0 || g.recalled.Incarnation != g.clockIncarnation {
		return
	}
	g.server = g.recalled
	g.serverRegistered("server_recalled")
}

// serverLeft handles the deregistration of a server as a drain.
func (g *Guard) serverLeft(id string) {
	if id != g.server.ID {
		return
	}
	g.log("server_left", "server="+id)
	g.server.Draining = true
	g.dropQueued("the backend server has left")
	g.wakePolls()
}

// sendRenewal keeps one lease renewal in flight. If its retransmission timeout has
// passed, another is sent without waiting for it, because some calls never get a
// reply. The lease is not renewed while the fencing token is refused or tasks of
// an earlier agent are running.
func (g *Guard) sendRenewal() {
	if n := len(g.renewals); n > 0 && g.now.Before(g.renewals[n-1].retransmitAt) || g.now.Before(g.nextRenewal) {
		return
	}
	g.renewals = slices.DeleteFunc(g.renewals, func(p pendingRenewal) bool { return g.now.Sub(p.sentAt) > renewalExpiry })
	g.lastRenewalID++
	l := RenewLease{ID: g.lastRenewalID, Token: g.token, AckIndex: g.seenEnd, Wait: g.opts.RenewalWait}
	if g.noForeignRuns && g.clockIncarnation != 0 && !g.fenced {
		l.Until = g.leaseEnd()
	} else {
		l.Wait = 0
	}
	if g.server.Incarnation == g.clockIncarnation {
		l.ServerID = g.server.ID
	}
	g.renewals = append(g.renewals, pendingRenewal{id: l.ID, sentAt: g.now, retransmitAt: g.now.Add(l.Wait + renewalRetransmitAfter)})
	g.emit(l)
}

// renewNow makes the next lease renewal due without waiting for one in flight.
func (g *Guard) renewNow() {
	if n := len(g.renewals); n > 0 {
		g.renewals[n-1].retransmitAt = g.now
	}
	g.nextRenewal = g.now
}

// removeRenewal removes and returns a pending lease renewal.
func (g *Guard) removeRenewal(id uint64) (pendingRenewal, bool) {
	i := slices.IndexFunc(g.renewals, func(p pendingRenewal) bool { return p.id == id })
	if i < 0 {
		return pendingRenewal{}, false
	}
	p := g.renewals[i]
	g.renewals = slices.Delete(g.renewals, i, i+1)
	return p, true
}

func (g *Guard) renewReplied(e RenewReplied) {
	p, pending := g.removeRenewal(e.ID)
	if !e.OK {
		g.renewalFailed(e)
		return
	}
	if g.serverLost {
		g.serverLost = false
		g.log("server_regained", fmt.Sprintf("run=%d", e.ServerIncarnation))
	}
	if e.ServerIncarnation < g.clockIncarnation || e.ServerIncarnation < g.server.Incarnation {
		g.nextRenewal = g.now.Add(renewalRetryDelay)
		return // late reply of an earlier incarnation
	}
	if e.ServerIncarnation != g.clockIncarnation {
		g.serverReplaced(e)
		g.adoptRecalled()
	}
	g.fenced = false
	if e.Unreadable > 0 {
		g.log("rows_unreadable", fmt.Sprintf("rows=%d", e.Unreadable))
	}
	outdated := e.Clock < g.clock // the reply to a later renewal arrived first
	g.readClock(e.ServerIncarnation, e.Clock)
	g.applyEnds(e.Ended, e.Clock)
	if outdated {
		return
	}
	g.reconcileRunning(e.Running)
	if pending {
		g.finishMissing(e.Running, p.sentAt)
	}
	g.learnFromProgress()
}

func (g *Guard) renewalFailed(e RenewReplied) {
	if e.Fenced {
		g.raiseToken()
		return
	}
	g.nextRenewal = g.now.Add(renewalRetryDelay)
	if !g.serverLost && g.now.Sub(g.clockReadAt) > g.opts.Lease {
		g.serverLost = true
		g.log("server_lost", fmt.Sprintf("reason=%q last_answer_ms=%d", e.Reason, g.now.Sub(g.clockReadAt).Milliseconds()))
		g.wakePolls()
	}
}

// raiseToken raises the fencing token after the server has refused it, because an
// earlier agent used a higher one.
func (g *Guard) raiseToken() {
	g.token += tokenStep
	g.fenced = true
	g.log("token_raised", fmt.Sprintf("token=%d", g.token))
	g.renewNow()
}

// serverReplaced switches to a new incarnation of the server. The tasks that the
// earlier incarnation accepted ended with it. Starts without a reply may have
// reached the new incarnation, which has not seen a fencing token yet: their tasks
// are stopped there, under a higher token that fences off calls still in transit.
func (g *Guard) serverReplaced(e RenewReplied) {
	g.storeBaseline(g.Baseline())
	g.log("server_run_changed", fmt.Sprintf("from=%d to=%d", g.clockIncarnation, e.ServerIncarnation))
	g.clockIncarnation = e.ServerIncarnation
	g.clock = 0
	g.noForeignRuns = false
	g.seenEnd = 0
	g.token++
	g.health = health{priorBaseline: g.storedBaselineFor(g.labels)}
	for _, r := range g.sortedRuns() {
		switch {
		case r.phase == waiting || r.ackIncarnation == e.ServerIncarnation:
		case r.phase == running || r.phase == stopping && r.ackIncarnation != 0:
			g.finish(r, session.Lost, "the backend server was replaced")
		case r.phase == starting:
			g.stop(r, session.NotStarted, "the backend server was replaced")
		default:
			r.stopAckedAt = time.Time{}
			g.emit(StopRun{Key: r.key, Token: g.token, ServerID: g.server.ID})
		}
	}
	g.wakePolls()
}

// applyEnds processes the ended tasks listed in the reply to a lease renewal with
// the given clock reading.
func (g *Guard) applyEnds(ends []EndRow, clock time.Duration) {
	for _, end := range ends {
		if end.Index <= g.seenEnd {
			continue
		}
		g.seenEnd = end.Index
		r := g.runs[end.Key.TaskKey]
		if r == nil || r.key != end.Key {
			continue
		}
		g.applyEnd(r, end.Outcome, clock)
	}
}

func (g *Guard) applyEnd(r *run, outcome EndOutcome, clock time.Duration) {
	if !r.confirmed {
		r.confirmed = true
		r.startedAt = g.now
	}
	switch outcome {
	case EndDone:
		g.health.recordSuccess()
		if r.startClock > 0 && clock > r.startClock {
			g.health.recordRunTime(g.now, r.estimate, clock-r.startClock)
		}
		g.finish(r, session.Done, "")
	case EndFailed:
		g.health.recordFailure()
		g.finish(r, session.Failed, "the backend server reported a failure")
	default:
		if r.phase == stopping && r.outcome != session.NotStarted {
			g.finish(r, r.outcome, r.reason)
			return
		}
		g.finish(r, session.Lost, "ended without a result")
	}
}

// reconcileRunning compares the tasks that the server runs with those that this
// agent has started. It stops unknown ones and records progress of the others.
func (g *Guard) reconcileRunning(rows []RunningRow) {
	foreign := 0
	for _, row := range rows {
		r := g.runs[row.Key.TaskKey]
		if r == nil || r.key != row.Key || r.phase == waiting {
			foreign++
			g.stopForeign(row.Key)
			continue
		}
		g.updateProgress(r, row.Percent)
	}
	if !g.noForeignRuns && foreign == 0 {
		g.noForeignRuns = true
		g.log("server_ready", fmt.Sprintf("run=%d clock_ms=%d token=%d", g.clockIncarnation, g.clock.Milliseconds(), g.token))
		g.wakePolls()
		g.renewNow()
	} else if !g.noForeignRuns {
		g.nextRenewal = g.now.Add(renewalRetryDelay)
	}
}

// stopForeign stops a run that this agent did not start. The server ignores a stop
// of a run that has already ended.
func (g *Guard) stopForeign(key RunKey) {
	g.emit(LogEvent{Event: "foreign_run_stopped", Task: key.String()})
	g.emit(StopRun{Key: key, Token: g.token, ServerID: g.server.ID})
}

// updateProgress records the progress of a run and stops it if it has stalled.
func (g *Guard) updateProgress(r *run, percent int) {
	if !r.confirmed {
		r.confirmed = true
		r.startedAt, r.progressAt = g.now, g.now
	}
	r.ackIncarnation = g.clockIncarnation
	if percent != r.percent {
		r.percent = percent
		r.progressAt = g.now
	}
	if r.phase == running && g.now.Sub(r.progressAt) > stallTimeout {
		g.health.recordFailure()
		g.stop(r, session.Lost, fmt.Sprintf("no progress at %d %% for %v", percent, g.now.Sub(r.progressAt)))
	}
}

// finishMissing finishes the runs that the server no longer lists. rows is the list
// of running tasks from the reply to a lease renewal. A run counts as missing only
// if the renewal was sent after its start or its stop was acknowledged.
func (g *Guard) finishMissing(rows []RunningRow, sentAt time.Time) {
	seen := make(map[RunKey]bool, len(rows))
	for _, row := range rows {
		seen[row.Key] = true
	}
	for _, r := range g.sortedRuns() {
		if seen[r.key] {
			continue
		}
		switch {
		case r.phase == stopping && !r.stopAckedAt.IsZero() && !sentAt.Before(r.stopAckedAt):
			g.finish(r, r.outcome, r.reason)
		case r.phase == running && sentAt.After(r.startedAt):
			g.finish(r, session.Lost, "the backend server no longer lists the task")
		}
	}
}

// Server returns the information about the current server. Its ID is empty if none
// has registered.
func (g *Guard) Server() ServerInfo { return g.server }

// Baseline is the baseline slowness of servers with the same labels: the ratio of
// run time to estimate while the server works normally.
type Baseline struct {
	Slowness int      `json:"slowness"` // thousandths
	Labels   []string `json:"labels"`   // of the server that it was measured on
}

// Baseline returns the baseline slowness of the current server. It is zero while
// there are fewer than minBaselineSamples measurements.
func (g *Guard) Baseline() Baseline {
	if g.health.samples < minBaselineSamples {
		return Baseline{}
	}
	return Baseline{Slowness: int(g.health.baseline() * perMille), Labels: g.labels}
}

// storeBaseline keeps a baseline slowness measured earlier for servers with the
// same labels.
func (g *Guard) storeBaseline(b Baseline) {
	if b.Slowness <= 0 {
		return
	}
	g.storedBaseline = b
	if g.health.samples == 0 {
		g.health.priorBaseline = g.storedBaselineFor(g.labels)
	}
}

// storedBaselineFor returns the stored baseline slowness for a server with the
// given labels, or zero if there is none.
func (g *Guard) storedBaselineFor(labels []string) float64 {
	if g.storedBaseline.Slowness <= 0 || !slices.Equal(g.storedBaseline.Labels, labels) {
		return 0
	}
	return float64(g.storedBaseline.Slowness) / perMille
}
