package guard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

type phase uint8

const (
	waiting  phase = iota // in the queue
	starting              // StartRun is out
	running               // the start was acknowledged
	stopping              // StopRun is out, or acknowledged and not yet listed
)

var phaseNames = [...]string{"waiting", "starting", "running", "stopping"}

// run is one placement of a task at this agent.
type run struct {
	key      RunKey
	id       uint64 // placement
	session  *entrySession
	spec     string
	cpu, mem int
	gpu      int
	estimate time.Duration
	startBy  time.Time
	phase    phase
	// runTries counts run numbers, startTries starts without an answer.
	runTries, startTries int

	startedAt  time.Time     // of the acknowledgement
	startClock time.Duration // the server's clock then; zero if unknown
	confirmed  bool          // the start was acknowledged or seen
	acceptedBy int64         // the run of the server that did; zero if unknown
	percent    int
	progressAt time.Time // of the last change of percent
	stopAcked  time.Time // zero if not yet
	stopAgain  time.Time // when the stop is ordered again; zero if it is out or done
	outcome    session.Outcome
	reason     string
}

// finish takes a run out and reports its outcome to its session.
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
	r.session.report(rep)
}

// loseRuns ends the runs that match, which are known to run no more.
func (g *Guard) loseRuns(reason string, match func(*run) bool) {
	for _, r := range g.sortedRuns() {
		if match(r) {
			g.finish(r, session.Lost, reason)
		}
	}
}

// sortedRuns returns the runs in a fixed order, so that equal states give equal
// effects.
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

// usage is capacity of the server that is taken.
type usage struct{ cpu, mem, gpu int }

func (u *usage) add(r *run) { u.cpu, u.mem, u.gpu = u.cpu+r.cpu, u.mem+r.mem, u.gpu+r.gpu }
func (u *usage) sub(r *run) { u.cpu, u.mem, u.gpu = u.cpu-r.cpu, u.mem-r.mem, u.gpu-r.gpu }

// learnFromProgress counts the runs under way as run times, so that a server
// that turns slow is known before its first task has ended.
func (g *Guard) learnFromProgress() {
	g.health.current = speed{}
	for _, r := range g.runs {
		if r.phase == running && r.estimate > 0 {
			g.health.current.add(g.total(r), r.estimate)
		}
	}
}

// fits reports whether a task has room now. A server that fails its tasks gets
// one at a time, as a probe.
func (g *Guard) fits(r *run) bool {
	if g.health.suspect && g.used.cpu > 0 {
		return false
	}
	return g.used.cpu+r.cpu <= g.server.CPU && g.used.mem+r.mem <= g.server.MemMB && g.used.gpu+r.gpu <= g.server.GPU
}

// startQueued starts waiting tasks that have room, the most urgent first.
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

func (g *Guard) start(r *run) {
	if r.phase == waiting {
		g.used.add(r)
	}
	r.phase = starting
	g.emit(StartRun{Key: r.key, Spec: r.spec, Until: min(g.leaseEnd(), r.session.echo.Clock+g.opts.SessionTTL), Token: g.token, ServerID: g.server.ID})
}

// stop ends a run early; outcome is what it is reported as when it has ended.
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
		r.acceptedBy = e.ServerIncarnation
	}
	if r.phase != starting {
		return
	}
	switch e.Result {
	case StartAccepted:
		r.phase = running
		if e.ServerIncarnation != g.clockRun {
			g.lookNow() // another run of the server has it
		}
		g.emit(LogEvent{Event: "task_started", Task: r.key.String(), Entry: r.session.entry,
			Detail: fmt.Sprintf("cpu=%d estimate_ms=%d clock_ms=%d", r.cpu, r.estimate.Milliseconds(), g.clock.Milliseconds())})
	case StartNumberUsed:
		if r.startTries > 0 {
			g.startedUnseen(r)
		} else {
			g.retryNumber(r)
		}
	case StartFenced:
		g.raiseToken()
		g.finish(r, session.NotStarted, "fenced")
	case StartUnknown:
		g.startUnanswered(r, e.Reason)
	case StartDeclined:
		g.health.failed()
		g.finish(r, session.NotStarted, e.Result.String())
	default:
		g.finish(r, session.NotStarted, e.Result.String())
	}
}

// startUnanswered sends a start again. The first one may still be carried out
// later: as the same run it changes nothing.
func (g *Guard) startUnanswered(r *run, reason string) {
	r.startTries++
	g.emit(LogEvent{Event: "start_unanswered", Task: r.key.String(), Entry: r.session.entry, Detail: fmt.Sprintf("try=%d reason=%q", r.startTries, reason)})
	if r.startTries < maxStartTries && r.session.fresh(g) && !g.leaseLapsed() {
		g.start(r)
		return
	}
	g.health.failed()
	g.stop(r, session.NotStarted, "start without an answer")
}

// startedUnseen takes in that an earlier try of a start was carried out and the
// run has ended since: its end is still to be listed.
func (g *Guard) startedUnseen(r *run) {
	r.phase = running
	r.confirmed = true
	r.startedAt, r.progressAt = g.now, g.now
	r.acceptedBy = g.clockRun
	g.lookNow()
}

// retryNumber starts a task again under a higher run number: the server knows
// an ended run of it, ordered by another session.
func (g *Guard) retryNumber(r *run) {
	r.runTries++
	if r.runTries >= maxRunTries {
		g.finish(r, session.NotStarted, "no unused run number")
		return
	}
	r.key.Number += r.runTries
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
		r.stopAgain = g.now.Add(stopRetry)
		return
	}
	if r.stopAcked.IsZero() {
		r.stopAcked = g.now
		g.lookNow()
	}
}

// retryStops orders again the stops that got no usable answer.
func (g *Guard) retryStops() {
	var due []*run
	for _, r := range g.runs {
		if r.phase == stopping && !r.stopAgain.IsZero() && !g.now.Before(r.stopAgain) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRuns)
	for _, r := range due {
		r.stopAgain = time.Time{}
		g.emit(StopRun{Key: r.key, Token: g.token, ServerID: g.server.ID})
	}
}

// dropQueued refuses all that waits.
func (g *Guard) dropQueued(reason string) {
	for _, r := range slices.Clone(g.queue) {
		g.finish(r, session.NotStarted, reason)
	}
}

// dropLateQueued refuses what has waited too long.
func (g *Guard) dropLateQueued() {
	for _, r := range slices.Clone(g.queue) {
		if g.now.After(r.startBy) {
			g.finish(r, session.NotStarted, "no room in time")
		}
	}
}
