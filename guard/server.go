package guard

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// serverReported takes in a heartbeat. One of an earlier run, or older than the
// newest of its run, is ignored.
func (g *Guard) serverReported(info ServerInfo) {
	if info.Incarnation < g.server.Incarnation || info.Incarnation < g.clockRun || info.Incarnation == g.server.Incarnation && info.Seq <= g.server.Seq {
		return
	}
	old := g.server
	g.server = info
	if info.Incarnation != old.Incarnation {
		g.registered("server_registered")
		g.lookNow()
	}
	if info.Incarnation != old.Incarnation || info.Draining != old.Draining {
		g.emit(ServerChanged{Info: info})
	}
	if info.Draining && !old.Draining {
		g.log("server_draining", "server="+info.ID)
		g.dropQueued("the backend server is leaving")
		g.wakePolls()
	}
}

// registered begins to use what is known of the server.
func (g *Guard) registered(event string) {
	g.labels = g.server.Labels
	if g.health.samples == 0 {
		g.health.remembered = g.remembered(g.labels)
	}
	g.log(event, fmt.Sprintf("server=%s run=%d cpu=%d mem_mb=%d draining=%t", g.server.ID, g.server.Incarnation, g.server.CPU, g.server.MemMB, g.server.Draining))
	g.wakePolls()
}

// adoptRecalled takes the server for the one that an earlier agent knew, if a
// look has shown that it is the same run. So a restarted agent serves before
// the next heartbeat.
func (g *Guard) adoptRecalled() {
	if g.server.ID != "" || g.recalled.ID == "" || g.clockRun == 0 || g.recalled.Incarnation != g.clockRun {
		return
	}
	g.server = g.recalled
	g.registered("server_recalled")
}

func (g *Guard) serverLeft(id string) {
	if id != g.server.ID {
		return
	}
	g.log("server_left", "server="+id)
	g.server.Draining = true
	g.dropQueued("the backend server has left")
	g.wakePolls()
}

// sendLook keeps one look outstanding. One that is overdue gets another beside
// it: some calls are never answered.
func (g *Guard) sendLook() {
	if n := len(g.looks); n > 0 && g.now.Before(g.looks[n-1].overdue) || g.now.Before(g.nextLook) {
		return
	}
	g.looks = slices.DeleteFunc(g.looks, func(p pendingLook) bool { return g.now.Sub(p.sentAt) > lookForget })
	g.lookID++
	l := RenewLease{ID: g.lookID, Token: g.token, AckIndex: g.seenEnd, Wait: g.opts.RenewalWait}
	if g.clean && g.clockRun != 0 && !g.fenced {
		l.Until = g.leaseEnd()
	} else {
		l.Wait = 0
	}
	if g.server.Incarnation == g.clockRun {
		l.ServerID = g.server.ID
	}
	g.looks = append(g.looks, pendingLook{id: l.ID, sentAt: g.now, overdue: g.now.Add(l.Wait + lookPatience)})
	g.emit(l)
}

// lookNow sends another look without waiting for the one that is out.
func (g *Guard) lookNow() {
	if n := len(g.looks); n > 0 {
		g.looks[n-1].overdue = g.now
	}
	g.nextLook = g.now
}

// takeLook takes a look out of the outstanding ones.
func (g *Guard) takeLook(id uint64) (pendingLook, bool) {
	i := slices.IndexFunc(g.looks, func(p pendingLook) bool { return p.id == id })
	if i < 0 {
		return pendingLook{}, false
	}
	p := g.looks[i]
	g.looks = slices.Delete(g.looks, i, i+1)
	return p, true
}

func (g *Guard) lookReplied(e RenewReplied) {
	p, known := g.takeLook(e.ID)
	if !e.OK {
		g.lookFailed(e)
		return
	}
	if g.serverLost {
		g.serverLost = false
		g.log("server_regained", fmt.Sprintf("run=%d", e.ServerIncarnation))
	}
	if e.ServerIncarnation < g.clockRun || e.ServerIncarnation < g.server.Incarnation {
		g.nextLook = g.now.Add(lookRetry)
		return // an earlier run answered late
	}
	if e.ServerIncarnation != g.clockRun {
		g.serverReplaced(e)
		g.adoptRecalled()
	}
	g.fenced = false
	if e.Unreadable > 0 {
		g.log("rows_unreadable", fmt.Sprintf("rows=%d", e.Unreadable))
	}
	older := e.Clock < g.clock // overtaken by the answer to a later look
	g.readClock(e.ServerIncarnation, e.Clock)
	g.takeEnds(e.Ended, e.Clock)
	if older {
		return
	}
	g.takeRunning(e.Running)
	if known {
		g.takeAbsent(e.Running, p.sentAt)
	}
	g.learnFromProgress()
}

func (g *Guard) lookFailed(e RenewReplied) {
	if e.Fenced {
		g.raiseToken()
		return
	}
	g.nextLook = g.now.Add(lookRetry)
	if !g.serverLost && g.now.Sub(g.clockAt) > g.opts.Lease {
		g.serverLost = true
		g.log("server_lost", fmt.Sprintf("reason=%q last_answer_ms=%d", e.Reason, g.now.Sub(g.clockAt).Milliseconds()))
		g.wakePolls()
	}
}

// raiseToken takes a higher fencing token: an earlier agent used one as high.
func (g *Guard) raiseToken() {
	g.token += tokenStep
	g.fenced = true
	g.log("token_raised", fmt.Sprintf("token=%d", g.token))
	g.lookNow()
}

// serverReplaced starts anew with another run of the server. What the earlier
// run had accepted has ended with it. Orders without an answer may have reached
// the new run, which knows no fencing token yet: their tasks are stopped there,
// under a higher token that keeps out what is still on its way.
func (g *Guard) serverReplaced(e RenewReplied) {
	g.remember(g.Baseline())
	g.log("server_run_changed", fmt.Sprintf("from=%d to=%d", g.clockRun, e.ServerIncarnation))
	g.clockRun = e.ServerIncarnation
	g.clock = 0
	g.clean = false
	g.seenEnd = 0
	g.token++
	g.health = health{remembered: g.remembered(g.labels)}
	for _, r := range g.sortedRuns() {
		switch {
		case r.phase == waiting || r.acceptedBy == e.ServerIncarnation:
		case r.phase == running || r.phase == stopping && r.acceptedBy != 0:
			g.finish(r, session.Lost, "the backend server was replaced")
		case r.phase == starting:
			g.stop(r, session.NotStarted, "the backend server was replaced")
		default:
			r.stopAcked = time.Time{}
			g.emit(StopRun{Key: r.key, Token: g.token, ServerID: g.server.ID})
		}
	}
	g.wakePolls()
}

// takeEnds takes in the ends that a look at the clock reading showed.
func (g *Guard) takeEnds(ends []EndRow, clock time.Duration) {
	for _, end := range ends {
		if end.Index <= g.seenEnd {
			continue
		}
		g.seenEnd = end.Index
		r := g.runs[end.Key.TaskKey]
		if r == nil || r.key != end.Key {
			continue
		}
		g.takeEnd(r, end.Outcome, clock)
	}
}

func (g *Guard) takeEnd(r *run, how EndOutcome, clock time.Duration) {
	if !r.confirmed {
		r.confirmed = true
		r.startedAt = g.now
	}
	switch how {
	case EndDone:
		g.health.done()
		if r.startClock > 0 && clock > r.startClock {
			g.health.learn(g.now, r.estimate, clock-r.startClock)
		}
		g.finish(r, session.Done, "")
	case EndFailed:
		g.health.failed()
		g.finish(r, session.Failed, "the backend server reported a failure")
	default:
		if r.phase == stopping && r.outcome != session.NotStarted {
			g.finish(r, r.outcome, r.reason)
			return
		}
		g.finish(r, session.Lost, "ended without a result")
	}
}

// takeRunning compares what the server runs with what it should run.
func (g *Guard) takeRunning(rows []RunningRow) {
	foreign := 0
	for _, row := range rows {
		r := g.runs[row.Key.TaskKey]
		if r == nil || r.key != row.Key || r.phase == waiting {
			foreign++
			g.stopForeign(row.Key)
			continue
		}
		g.noteProgress(r, row.Percent)
	}
	if !g.clean && foreign == 0 {
		g.clean = true
		g.log("server_ready", fmt.Sprintf("run=%d clock_ms=%d token=%d", g.clockRun, g.clock.Milliseconds(), g.token))
		g.wakePolls()
		g.lookNow()
	} else if !g.clean {
		g.nextLook = g.now.Add(lookRetry)
	}
}

// stopForeign stops a run that an earlier agent started. The server ignores a
// stop of a run that has ended.
func (g *Guard) stopForeign(key RunKey) {
	g.emit(LogEvent{Event: "foreign_run_stopped", Task: key.String()})
	g.emit(StopRun{Key: key, Token: g.token, ServerID: g.server.ID})
}

func (g *Guard) noteProgress(r *run, percent int) {
	if !r.confirmed {
		r.confirmed = true
		r.startedAt, r.progressAt = g.now, g.now
	}
	r.acceptedBy = g.clockRun
	if percent != r.percent {
		r.percent = percent
		r.progressAt = g.now
	}
	if r.phase == running && g.now.Sub(r.progressAt) > stallAfter {
		g.health.failed()
		g.stop(r, session.Lost, fmt.Sprintf("no progress at %d %% for %v", percent, g.now.Sub(r.progressAt)))
	}
}

// takeAbsent ends the runs that a look, sent at the time, should have shown and
// did not.
func (g *Guard) takeAbsent(rows []RunningRow, sentAt time.Time) {
	seen := make(map[RunKey]bool, len(rows))
	for _, row := range rows {
		seen[row.Key] = true
	}
	for _, r := range g.sortedRuns() {
		if seen[r.key] {
			continue
		}
		switch {
		case r.phase == stopping && !r.stopAcked.IsZero() && !sentAt.Before(r.stopAcked):
			g.finish(r, r.outcome, r.reason)
		case r.phase == running && sentAt.After(r.startedAt):
			g.finish(r, session.Lost, "the backend server does not know it")
		}
	}
}

// Server returns what is known of the present server; zero ID if nothing is.
func (g *Guard) Server() ServerInfo { return g.server }

// Baseline is the usual speed of a server of some kind.
type Baseline struct {
	Slowness int      `json:"slowness"` // thousandths
	Labels   []string `json:"labels"`   // of the server it was learned from
}

// Baseline returns the usual speed of the present server; zero if too little is
// known of it.
func (g *Guard) Baseline() Baseline {
	if g.health.samples < usualSamples {
		return Baseline{}
	}
	return Baseline{Slowness: int(g.health.usual() * perMille), Labels: g.labels}
}

// remember takes in a speed that was learned before, for servers of the same
// labels.
func (g *Guard) remember(u Baseline) {
	if u.Slowness <= 0 {
		return
	}
	g.usual = u
	if g.health.samples == 0 {
		g.health.remembered = g.remembered(g.labels)
	}
}

// remembered returns the slowness remembered for a server with the labels, or
// zero.
func (g *Guard) remembered(labels []string) float64 {
	if g.usual.Slowness <= 0 || !slices.Equal(g.usual.Labels, labels) {
		return 0
	}
	return float64(g.usual.Slowness) / perMille
}
