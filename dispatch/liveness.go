package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// The end of a caller's attempt may never reach the entry: because of a partition, or because the
// machine was suspended meanwhile. A caller whose attempt has ended may submit its job to another
// entry ResubmissionDelay later. What the entry starts and keeps running for a caller therefore rests
// on signs of it: the acknowledgement of a probe, which the caller's operating system sends only while
// the connection is open there, or bytes of the submission, which it may also send again after that.
// Tasks are placed within probeInterval of the last sign, and stopped silenceTimeout after it.
//
//	start:        silenceTimeout + the lease of a start after the last order < ResubmissionDelay
//	keep running: silenceTimeout + the time in which a stopped task is over < ResubmissionDelay
//
// docs/PROOFS.md has the figures.

const (
	// ResubmissionDelay is how long a caller waits after the end of an attempt before it submits the job
	// again, by the platform's terms.
	ResubmissionDelay = 1300 * time.Millisecond
	// probeInterval is the age of the last sign from which on a caller is probed. A probe that is lost
	// once, or an acknowledgement that the caller's system delays, arrives within silenceTimeout of the
	// sign: each takes up to 200 ms.
	probeInterval = 250 * time.Millisecond
	// silenceTimeout is the age of the last sign at which the tasks of a caller are stopped. A task is over
	// 815 ms after the clock reading that the order to stop it echoes, even if its server does not reply to
	// stops.
	silenceTimeout = 480 * time.Millisecond
	// minProbeWait is how long the acknowledgement of a probe is awaited before the caller counts as
	// disconnected: the time after which a lost packet is sent again, and a few round trips.
	minProbeWait = 250 * time.Millisecond
	// probeWindow is by how much probes are sent early, so that one wake-up serves several callers.
	probeWindow = 25 * time.Millisecond
	// backlogTime is how long after a pause submissions count as having arrived during it.
	backlogTime = ResubmissionDelay
)

// caller is a pending call and the last sign of its caller.
type caller struct {
	id       CallID
	job      *job // nil while the submission waits to be handled
	lastSign time.Time
	probed   time.Time // when the probe was sent that is not acknowledged yet; zero if there is none
	due      time.Time // when the caller is probed or, if it is, counts as disconnected
	dueIndex indexheap.Index
}

// observeTime advances the time of the dispatcher. An entry that has handled nothing for some time may
// have been suspended, or may have been short of processor time.
func (d *Dispatcher) observeTime(now time.Time) {
	if gap := now.Sub(d.now); !d.now.IsZero() && gap > probeInterval {
		d.pause, d.resumedAt = gap, now
	}
	d.now = now
}

// addCaller records a submission. It may have waited in the socket while the entry was paused.
func (d *Dispatcher) addCaller(e SubmitCalled) *caller {
	age := e.LastReceived
	if !d.resumedAt.IsZero() && d.now.Sub(d.resumedAt) < backlogTime {
		age = max(age, d.pause)
	}
	c := &caller{id: e.Call, lastSign: d.now.Add(-age)}
	d.callers[e.Call] = c
	return c
}

func (d *Dispatcher) removeCaller(call CallID) {
	if c := d.callers[call]; c != nil {
		d.watched.Remove(c)
		delete(d.callers, call)
	}
}

// jobOf returns the job that a call waits for; nil if its submission is not handled yet.
func (d *Dispatcher) jobOf(call CallID) *job {
	if c := d.callers[call]; c != nil {
		return c.job
	}
	return nil
}

// assign records that a call waits for the job. Its caller is watched while tasks of the job may run.
func (d *Dispatcher) assign(call CallID, j *job) {
	if c := d.callers[call]; c != nil {
		c.job = j
		d.watch(c)
	}
}

// watch schedules the next probe of a caller, or the end of the wait for its acknowledgement.
func (d *Dispatcher) watch(c *caller) {
	switch {
	case !c.probed.IsZero():
		c.due = c.lastSign.Add(silenceTimeout)
		isStopDue := c.job != nil && c.job.livePlacements > 0 && d.now.Before(c.due)
		if end := c.probed.Add(minProbeWait); c.due.Before(end) && !isStopDue {
			c.due = end
		}
	case c.job != nil && !c.job.answered && c.job.livePlacements > 0:
		c.due = c.lastSign.Add(probeInterval)
	default:
		d.watched.Remove(c)
		return
	}
	d.watched.Set(c)
}

// hasFreshSign reports whether the last sign of the caller is so young that tasks of its job may be
// started.
func (d *Dispatcher) hasFreshSign(c *caller) bool {
	return d.now.Sub(c.lastSign) <= probeInterval
}

// hasFreshCaller is hasFreshSign for any caller of the job.
func (d *Dispatcher) hasFreshCaller(j *job) bool {
	return slices.ContainsFunc(j.calls, func(call CallID) bool { return d.hasFreshSign(d.callers[call]) })
}

// awaitsSign reports whether all callers of the job were probed and have not acknowledged that yet, or the
// other entries have been asked for newer submissions of it.
func (d *Dispatcher) awaitsSign(j *job) bool {
	return j.asksPeers || !slices.ContainsFunc(j.calls, func(call CallID) bool { return d.callers[call].probed.IsZero() })
}

// probe asks callers for a sign, except those that were asked already.
func (d *Dispatcher) probe(callers []*caller) {
	var calls []CallID
	for _, c := range callers {
		if c.probed.IsZero() {
			c.probed = d.now
			d.watch(c)
			calls = append(calls, c.id)
		}
	}
	if len(calls) > 0 {
		slices.Sort(calls)
		d.emit(ProbeCallers{Calls: calls})
		d.emit(CallerMetrics{Probed: len(calls)})
	}
}

// callersAcknowledged records signs of callers. A sign counts from when the probe was sent, because the
// caller may have disconnected after it had acknowledged it.
func (d *Dispatcher) callersAcknowledged(e CallersAcknowledged) {
	for _, call := range e.Left {
		d.callClosed(call, "disconnected")
	}
	for _, call := range e.Calls {
		c := d.callers[call]
		if c == nil || c.probed.IsZero() {
			continue
		}
		c.lastSign, c.probed = c.probed, time.Time{}
		if c.job != nil {
			c.job.stopEchoBefore = time.Time{}
		}
		d.watch(c)
	}
	for _, call := range e.Silent {
		if c := d.callers[call]; c != nil && !c.probed.IsZero() {
			d.callerSilent(c)
		}
	}
	d.heldUnchecked = len(d.heldJobs) > 0
}

// watchCallers probes the callers whose last signs are old. Those that should have acknowledged a probe
// by now are given up by the reply to CheckProbes: an entry short of processor time has received
// acknowledgements of which it has not heard yet.
func (d *Dispatcher) watchCallers() {
	var due []*caller
	var overdue []CallID
	for d.watched.Len() > 0 {
		c := d.watched.First()
		if d.now.Before(c.due) && (len(due) == 0 || !c.probed.IsZero() || d.now.Add(probeWindow).Before(c.due)) {
			break
		}
		d.watched.Remove(c)
		switch {
		case !c.probed.IsZero():
			overdue = append(overdue, c.id)
		case c.job.livePlacements > 0:
			due = append(due, c)
		}
	}
	d.probe(due)
	for _, c := range due {
		d.stopUnlessSign(c.job)
	}
	if len(overdue) > 0 {
		d.emit(CheckProbes{Calls: overdue})
	}
}

// stopUnlessSign stops the tasks of a job unless one of its callers has given a sign within silenceTimeout.
// They are placed again if one gives a sign later.
func (d *Dispatcher) stopUnlessSign(j *job) {
	var newest time.Time
	for _, call := range j.calls {
		if sign := d.callers[call].lastSign; newest.Before(sign) {
			newest = sign
		}
	}
	limit := newest.Add(silenceTimeout)
	if d.now.Before(limit) {
		return
	}
	if j.stopEchoBefore.IsZero() {
		d.emit(LogEvent{Event: "job_paused", Job: j.Name, Queue: j.Queue.Name,
			Detail: fmt.Sprintf("reason=%q live=%d", d.silence(newest), j.livePlacements)})
	}
	j.stopEchoBefore = limit
	d.stopTasks(j)
}

// silence is the reason for what follows from an old sign.
func (d *Dispatcher) silence(lastSign time.Time) string {
	return fmt.Sprintf("no sign of the caller for %d ms", d.now.Sub(lastSign).Milliseconds())
}

// callerSilent stops the tasks of a caller that has acknowledged no probe so far. It gives the caller up if
// that had time to. If the caller is there after all, it learns that its job may have run.
func (d *Dispatcher) callerSilent(c *caller) {
	if j := c.job; j != nil && !j.answered {
		d.stopUnlessSign(j)
	}
	if d.resumedAt.After(c.probed) {
		// The acknowledgement may have been lost while the machine was suspended.
		c.probed = time.Time{}
		d.probe([]*caller{c})
		return
	}
	if d.now.Before(c.probed.Add(minProbeWait)) {
		d.watch(c)
		return
	}
	reason := d.silence(c.lastSign)
	if i := slices.IndexFunc(d.ready, func(s waitingSubmission) bool { return s.Call == c.id }); i >= 0 {
		s := &d.ready[i]
		d.emit(LogEvent{Event: "job_abandoned", Job: s.Job.Name, Queue: s.Job.Queue.Name,
			Detail: fmt.Sprintf("reason=%q waited_ms=%d", reason, d.now.Sub(s.arrived).Milliseconds())})
	}
	d.emit(CallerMetrics{Silent: 1})
	d.emit(Refused{Call: c.id, Error: structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", reason)})
	d.callClosed(c.id, reason)
}

// nextWatch returns when the first of the watched callers is due; zero if none is.
func (d *Dispatcher) nextWatch() time.Time {
	if d.watched.Len() == 0 {
		return time.Time{}
	}
	return d.watched.First().due
}
