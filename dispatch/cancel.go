package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// PeerCancelTimeout is how long an entry waits for the other entries' replies to a
	// cancel: a new connection and a few round trips between regions.
	PeerCancelTimeout = 500 * time.Millisecond
	// agentCancelTimeout is how long it waits then for the agents that have to hold the
	// mark: a round trip, and the loss of one packet.
	agentCancelTimeout = 300 * time.Millisecond
)

// pendingCancel is a caller's cancel that has no reply yet.
type pendingCancel struct {
	job   cancels.Job
	known bool // this entry or another one had the job
	// agents are those that have not acknowledged the mark, by name, with the order that
	// carries it; nil while the entries' replies are awaited.
	agents   map[string]sentOrder
	deadline time.Time // when the reply is given without those that are missing
}

// sentOrder identifies an order.
type sentOrder struct {
	session SessionID
	number  uint64
}

// cancel closes a job at this entry and has the other entries notified.
func (d *Dispatcher) cancel(e CancelCalled) {
	job := cancels.Job{Queue: e.Queue, Name: e.Name}
	known := d.cancelHere(job, "canceled by the caller")
	d.cancels.Add(d.now, job, 0)
	d.pendingCancels[e.Call] = &pendingCancel{job: job, known: known, deadline: d.now.Add(PeerCancelTimeout + agentCancelTimeout)}
	d.emit(LogEvent{Event: "cancel_received", Job: e.Name, Queue: e.Queue, Detail: fmt.Sprintf("known=%t", known)})
	d.emit(CancelMetrics{Received: 1})
	d.emit(NotifyPeers{Call: e.Call, Cancel: session.Cancel{Job: e.Name, Queue: e.Queue}})
}

// cancelHere answers the callers of a job as canceled and stops its tasks. It reports
// whether the entry has the job, open or answered.
func (d *Dispatcher) cancelHere(job cancels.Job, reason string) bool {
	j := d.jobs[job.Name]
	if j == nil || j.Queue.Name != job.Queue {
		_, retained := d.retainedAnswers[job.Name]
		return retained
	}
	if !j.answered {
		d.answer(j, Canceled, reason)
	}
	for _, next := range j.successors {
		d.emitAnswer(next.Call, Canceled)
	}
	j.successors = nil
	return true
}

// answerCanceled answers a submission of a canceled job. It reports whether it did.
func (d *Dispatcher) answerCanceled(e SubmitCalled) bool {
	if !d.cancels.Has(d.now, cancels.Job{Queue: e.Job.Queue.Name, Name: e.Job.Name}) {
		return false
	}
	d.emit(LogEvent{Event: "canceled_job_submitted", Job: e.Job.Name, Queue: e.Job.Queue.Name})
	d.emit(CancelMetrics{Submitted: 1})
	d.emit(JobMetrics{Queue: e.Job.Queue.Name, Status: Canceled})
	d.emitAnswer(e.Call, Canceled)
	return true
}

// delay keeps a submission that arrives before this entry, which has just started, has
// heard of cancels. It reports whether it did.
func (d *Dispatcher) delay(e SubmitCalled) bool {
	if d.awaitsCancels && !d.now.Before(d.opts.Started.Add(cancelsTimeout)) {
		d.awaitsCancels = false
	}
	if d.awaitsCancels {
		d.delayed = append(d.delayed, d.newWaitingSubmission(e))
		d.emit(LogEvent{Event: "job_delayed", Job: e.Job.Name, Queue: e.Job.Queue.Name, Detail: "reason=\"cancels are not known yet\""})
	}
	return d.awaitsCancels
}

// endDelay makes the delayed submissions ready, once cancels are known or the wait is over.
func (d *Dispatcher) endDelay() {
	if len(d.delayed) == 0 || d.awaitsCancels && d.now.Before(d.opts.Started.Add(cancelsTimeout)) {
		return
	}
	d.awaitsCancels = false
	d.ready = append(d.ready, d.delayed...)
	d.delayed = nil
}

// cancelsLearned closes and marks the jobs that were canceled at other entries.
func (d *Dispatcher) cancelsLearned(from string, list []session.Cancel) (known []bool) {
	for _, c := range list {
		job := cancels.Of(c)
		known = append(known, d.cancelHere(job, "canceled at another entry"))
		if d.cancels.Add(d.now, job, cancels.Ago(c)) {
			d.emit(LogEvent{Event: "cancel_learned", Job: c.Job, Queue: c.Queue, Detail: fmt.Sprintf("from=%q known=%t ago_ms=%d", from, known[len(known)-1], c.AgoMs)})
			d.emit(CancelMetrics{Learned: 1})
		}
	}
	return known
}

// peersNotified continues a cancel. If an entry could not be notified, all agents in session have to
// hold the mark.
func (d *Dispatcher) peersNotified(e PeersNotified) {
	p := d.pendingCancels[e.Call]
	if p == nil {
		return
	}
	p.known = p.known || e.Known
	if e.Missed > 0 {
		d.cancels.Relay(p.job)
		p.agents = d.tellAgents([]session.Cancel{{Job: p.job.Name, Queue: p.job.Queue}}, d.sortedAgents)
		p.deadline = d.now.Add(agentCancelTimeout)
		d.emit(LogEvent{Event: "cancel_not_delivered", Job: p.job.Name, Queue: p.job.Queue, Detail: fmt.Sprintf("entries=%d agents=%d", e.Missed, len(p.agents))})
		d.emit(CancelMetrics{EntriesMissed: e.Missed})
	}
	switch {
	case p.known:
		d.replyCancel(e.Call, CancelDone)
	case e.Missed == 0:
		d.replyCancel(e.Call, CancelNoSuchJob)
	case len(p.agents) == 0:
		d.replyCancel(e.Call, CancelUnconfirmed)
	}
}

// tellAgents has the agents hold the marks. It returns the orders that carry them.
func (d *Dispatcher) tellAgents(list []session.Cancel, agents []*agent) map[string]sentOrder {
	orders := make(map[string]sentOrder, len(agents))
	for _, a := range agents {
		o := d.orderTo(a)
		o.Cancels = append(o.Cancels, list...)
		orders[a.name] = sentOrder{session: a.id, number: o.Number}
	}
	return orders
}

// relayCancels has an agent that has come into session hold the marks that agents have to.
func (d *Dispatcher) relayCancels(a *agent) {
	list := d.cancels.Relayed(d.now)
	if len(list) == 0 {
		return
	}
	orders := d.tellAgents(list, []*agent{a})
	for _, p := range d.pendingCancels {
		if _, awaited := p.agents[a.name]; awaited {
			p.agents[a.name] = orders[a.name]
		}
	}
}

// cancelsTaken records that an agent has acknowledged an order with marks.
func (d *Dispatcher) cancelsTaken(a *agent, e OrderReplied) {
	if e.Cancels == 0 {
		return
	}
	for _, call := range d.sortedPendingCancels() {
		p := d.pendingCancels[call]
		if o, ok := p.agents[a.name]; !ok || o != (sentOrder{session: e.ID, number: e.Number}) {
			continue
		}
		delete(p.agents, a.name)
		if len(p.agents) == 0 {
			d.replyCancel(call, CancelDone)
		}
	}
}

// expireCancels replies to the cancels whose wait is over. An entry that was suspended may not have heard of
// its messages to the others by then, even if it has had the job itself.
func (d *Dispatcher) expireCancels() {
	if len(d.pendingCancels) == 0 {
		return
	}
	for _, call := range d.sortedPendingCancels() {
		if !d.now.Before(d.pendingCancels[call].deadline) {
			d.replyCancel(call, CancelUnconfirmed)
		}
	}
}

func (d *Dispatcher) replyCancel(call CallID, r CancelResult) {
	p := d.pendingCancels[call]
	delete(d.pendingCancels, call)
	d.emit(LogEvent{Event: "cancel_answered", Job: p.job.Name, Queue: p.job.Queue, Detail: "result=" + r.String()})
	if r == CancelUnconfirmed {
		d.emit(CancelMetrics{Unconfirmed: 1})
	}
	d.emit(CancelReplied{Call: call, Result: r})
}

func (d *Dispatcher) sortedPendingCancels() []CallID {
	list := make([]CallID, 0, len(d.pendingCancels))
	for call := range d.pendingCancels {
		list = append(list, call)
	}
	slices.Sort(list)
	return list
}

// Cancels returns the jobs that were canceled a short time ago.
func (d *Dispatcher) Cancels(now time.Time) []session.Cancel {
	list, _ := d.cancels.Since(now, 0)
	return list
}

// CancelMarks returns the number of these jobs.
func (d *Dispatcher) CancelMarks() int { return d.cancels.Len() }
