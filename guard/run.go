package guard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// phase is the state of a run.
type phase uint8

const (
	waiting  phase = iota // in the queue; nothing sent to the server
	starting              // StartRun was sent; no result yet
	running               // the server has acknowledged the start
	stopping              // StopRun was sent; the server has not confirmed the end yet
)

var phaseNames = [...]string{"waiting", "starting", "running", "stopping"}

// run is the run of a task under one placement at this agent.
type run struct {
	key      RunKey
	id       uint64 // ID of the placement
	session  *entrySession
	spec     string
	cpu, mem int
	gpu      int
	estimate time.Duration
	startBy  time.Time // latest start time
	phase    phase
	// numberTries counts the run numbers that the server refused as used,
	// unansweredStarts the starts without a reply.
	numberTries, unansweredStarts int

	startedAt      time.Time       // when the start was acknowledged or inferred
	startClock     time.Duration   // server's clock reading in the acknowledgement; zero if unknown
	confirmed      bool            // the server has acknowledged the start or listed the run
	ackIncarnation int64           // server incarnation that confirmed the run; zero if unknown
	percent        int             // progress reported by the server
	progressAt     time.Time       // when percent last changed
	stopAckedAt    time.Time       // when the stop was acknowledged; zero if it has not been
	stopRetryAt    time.Time       // when a failed stop is sent again; zero if none has failed
	outcome        session.Outcome // to report once a stopping run has ended
	reason         string          // of outcome
}

// finish removes a run and adds a report of its outcome to its session.
func (g *Guard) finish(r *run, o session.Outcome, reason string) {
	if g.runs[r.key.TaskKey] == r {
		delete(g.runs, r.key.TaskKey)
		if r.phase != waiting {
			g.used.sub(r)
		}
	}
	if i := slices.Index(g.queue, r); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	rep := session.Report{ID: r.id, Outcome: o, Reason: reason}
	if r.confirmed {
		rep.Ran = g.now.Sub(r.startedAt)
	}
	g.emit(LogEvent{
		Event: "task_ended", Task: r.key.String(), Entry: r.session.entry,
		Detail: fmt.Sprintf("outcome=%s reason=%q ran_ms=%d clock_ms=%d", o, reason, rep.Ran.Milliseconds(), g.clock.Milliseconds()),
	})
	r.session.addReport(rep)
}

// finishLost finishes the matching runs as Lost. The caller knows that they are no
// longer running.
func (g *Guard) finishLost(reason string, match func(*run) bool) {
	for _, r := range g.sortedRuns() {
		if match(r) {
			g.finish(r, session.Lost, reason)
		}
	}
}

// sortedRuns returns the runs in a fixed order, so that effects are deterministic.
func (g *Guard) sortedRuns() []*run {
	list := make([]*run, 0, len(g.runs))
	for _, r := range g.runs {
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

// learnFromProgress includes the predicted run times of running tasks in the
// measured slowness, so that a server that becomes slow is detected before its
// first task has ended.
func (g *Guard) learnFromProgress() {
	g.health.inFlight = runTimes{}
	for _, r := range g.runs {
		if r.phase == running && r.estimate > 0 {
			g.health.inFlight.add(g.totalRunTime(r), r.estimate)
		}
	}
}

// fits reports whether there is free capacity for a task now. A server that fails
// too many tasks gets one at a time, as a probe.
func (g *Guard) fits(r *run) bool {
	if g.health.suspect && g.used.cpu > 0 {
		return false
	}
	return g.used.cpu+r.cpu <= g.server.CPU && g.used.mem+r.mem <= g.server.MemMB && g.used.gpu+r.gpu <= g.server.GPU
}

// startQueued starts the queued tasks for which there is free capacity, in the
// order of their latest start times.
func (g *Guard) startQueued() {
	if !g.active() {
		return
	}
	for _, r := range slices.Clone(g.queue) {
		if !r.session.fresh(g) {
			continue
		}
		if g.fits(r) {
			g.queue = slices.DeleteFunc(g.queue, func(q *run) bool { return q == r })
			g.start(r)
		}
	}
}

// start sends a StartRun. The lease of the task ends with the agent's lease, or
// earlier if the entry's echoed clock reading expires before that.
func (g *Guard) start(r *run) {
	if r.phase == waiting {
		g.used.add(r)
	}
	r.phase = starting
	g.emit(StartRun{Key: r.key, Spec: r.spec, Until: min(g.leaseEnd(), r.session.echoed.Clock+g.opts.SessionTTL), Token: g.token, ServerID: g.server.ID})
}

// stop ends a run early. It is reported with the given outcome once it has ended.
func (g *Guard) stop(r *run, o session.Outcome, reason string) {
	switch r.phase {
	case waiting:
		g.finish(r, session.NotStarted, reason)
		return
	case stopping:
		return
	}
	r.phase = stopping
	r.outcome, r.reason = o, reason
	g.emit(StopRun{Key: r.key, Token: g.token, ServerID: g.server.ID})
}

func (g *Guard) startReplied(e StartReplied) {
	g.readClock(e.ServerIncarnation, e.Clock)
	r := g.runs[e.Key.TaskKey]
	if r == nil || r.key != e.Key {
		return
	}
	if e.Result == StartAccepted && !r.confirmed {
		r.confirmed = true
		r.startedAt = g.now
		r.startClock = e.Clock
		r.progressAt = g.now
		r.ackIncarnation = e.ServerIncarnation
	}
	if r.phase != starting {
		return
	}
	switch e.Result {
	case StartAccepted:
		r.phase = running
		if e.ServerIncarnation != g.clockIncarnation {
			g.renewNow() // accepted by another incarnation of the server
		}
		g.emit(LogEvent{Event: "task_started", Task: r.key.String(), Entry: r.session.entry,
			Detail: fmt.Sprintf("cpu=%d estimate_ms=%d clock_ms=%d", r.cpu, r.estimate.Milliseconds(), g.clock.Milliseconds())})
	case StartNumberUsed:
		if r.unansweredStarts > 0 {
			g.earlierTryStarted(r)
		} else {
			g.retryWithNewNumber(r)
		}
	case StartFenced:
		g.raiseToken()
		g.finish(r, session.NotStarted, "fenced")
	case StartUnknown:
		g.startUnanswered(r, e.Reason)
	case StartDeclined:
		g.health.recordFailure()
		g.finish(r, session.NotStarted, e.Result.String())
	default:
		g.finish(r, session.NotStarted, e.Result.String())
	}
}

// startUnanswered sends a start without a reply again, or stops the run. An earlier
// copy may still arrive later; it has the same run number and no further effect.
func (g *Guard) startUnanswered(r *run, reason string) {
	r.unansweredStarts++
	g.emit(LogEvent{Event: "start_unanswered", Task: r.key.String(), Entry: r.session.entry, Detail: fmt.Sprintf("try=%d reason=%q", r.unansweredStarts, reason)})
	if r.unansweredStarts < maxStartTries && r.session.fresh(g) && !g.leaseExpired() {
		g.start(r)
		return
	}
	g.health.recordFailure()
	g.stop(r, session.NotStarted, "no reply to the start")
}

// earlierTryStarted handles a run number that is in use because an earlier copy of
// the same start has arrived. The run has ended since; the next lease renewal
// returns its outcome.
func (g *Guard) earlierTryStarted(r *run) {
	r.phase = running
	r.confirmed = true
	r.startedAt, r.progressAt = g.now, g.now
	r.ackIncarnation = g.clockIncarnation
	g.renewNow()
}

// retryWithNewNumber starts a task again under a higher run number, because the
// server knows an ended run with this number that another session started.
func (g *Guard) retryWithNewNumber(r *run) {
	r.numberTries++
	if r.numberTries >= maxNumberTries {
		g.finish(r, session.NotStarted, "no unused run number found")
		return
	}
	r.key.Number += r.numberTries
	g.start(r)
}

func (g *Guard) stopReplied(e StopReplied) {
	g.readClock(0, e.Clock)
	r := g.runs[e.Key.TaskKey]
	if r == nil || r.key != e.Key || r.phase != stopping {
		return
	}
	if !e.OK {
		g.emit(LogEvent{Event: "stop_unanswered", Task: r.key.String(), Entry: r.session.entry, Detail: fmt.Sprintf("reason=%q", e.Reason)})
		r.stopRetryAt = g.now.Add(stopRetryDelay)
		return
	}
	if r.stopAckedAt.IsZero() {
		r.stopAckedAt = g.now
		g.renewNow()
	}
}

// retryStops sends failed stops again when their delay has passed.
func (g *Guard) retryStops() {
	var due []*run
	for _, r := range g.runs {
		if r.phase == stopping && !r.stopRetryAt.IsZero() && !g.now.Before(r.stopRetryAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRuns)
	for _, r := range due {
		r.stopRetryAt = time.Time{}
		g.emit(StopRun{Key: r.key, Token: g.token, ServerID: g.server.ID})
	}
}

// dropQueued rejects all queued tasks.
func (g *Guard) dropQueued(reason string) {
	for _, r := range slices.Clone(g.queue) {
		g.finish(r, session.NotStarted, reason)
	}
}

// dropLateQueued rejects the queued tasks whose latest start time has passed.
func (g *Guard) dropLateQueued() {
	for _, r := range slices.Clone(g.queue) {
		if g.now.After(r.startBy) {
			g.finish(r, session.NotStarted, "no free capacity before the latest start time")
		}
	}
}
