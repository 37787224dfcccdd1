package model_test

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newJob creates a submission whose payloads are unique among all tasks.
func (sim *simulation) newJob(tasks int, timeout time.Duration) *job {
	jb := &job{number: len(sim.checker.jobs)}
	jb.spec = structs.JobSpec{Service: service, Team: team, Timeout: timeout}
	for i := range tasks {
		payload := fmt.Appendf(nil, "job %d task %d", jb.number, i)
		jb.spec.Tasks = append(jb.spec.Tasks, structs.TaskSpec{Kind: "preview", Payload: payload})
	}
	sim.checker.jobs = append(sim.checker.jobs, jb)
	return jb
}

// registerCall registers a caller's request at the entry's current incarnation.
func (sim *simulation) registerCall(e *entryNode, jb *job, format string, args ...any) (*pendingCall, coordinator.CallID) {
	c := &pendingCall{description: fmt.Sprintf(format, args...) + " at " + e.name, job: jb, entry: e, incarnation: e.incarnation}
	c.recovered = jb.id.Home != 0 && jb.id.Home != e.incarnation // cleared if the home answers the forwarded request
	sim.callerRequests = append(sim.callerRequests, c)
	e.nextID++
	e.openCalls[e.nextID] = &replyHandler{answer: func(a *structs.JobAnswer, err *structs.Error) {
		sim.logf("%s: %s %v", c.description, describeOrError(a), err)
		sim.checker.checkReply(c, a, err)
	}, call: c}
	return c, e.nextID
}

func describeOrError(a *structs.JobAnswer) string {
	if a == nil {
		return "error"
	}
	return describe(a)
}

func (sim *simulation) reserve(e *entryNode, count int) {
	e.nextID++
	c := &pendingCall{description: "reservation at " + e.name, entry: e, incarnation: e.incarnation}
	sim.callerRequests = append(sim.callerRequests, c)
	e.openCalls[e.nextID] = &replyHandler{call: c, ids: func(ids []structs.JobID, err *structs.Error) {
		c.replies++
		if (err == nil) != (len(ids) == count) {
			sim.checker.violationf("%s: want %d ids, got %d, %v", c.description, count, len(ids), err)
		}
		for _, id := range ids {
			if id.Home != e.incarnation || sim.byID[id] != nil {
				sim.checker.violationf("%s: %v has another home or was handed out before", c.description, id)
			}
			sim.byID[id] = &job{}
			sim.ids = append(sim.ids, id)
		}
	}}
	sim.stepEntry(e, coordinator.ReserveCalled{Call: e.nextID, Count: count})
}

// submit sends a job under a reserved id, for the first time or again.
func (sim *simulation) submit(e *entryNode, id structs.JobID, tasks int, timeout time.Duration, wait bool) {
	jb := sim.byID[id]
	if len(jb.spec.Tasks) == 0 {
		jb = sim.newJob(tasks, timeout)
		jb.id = id
		sim.byID[id] = jb
	}
	sim.logf("submit job %d as %v through %s, wait %v", jb.number, id, e.name, wait)
	_, call := sim.registerCall(e, jb, "submission of job %d (%v)", jb.number, id)
	sim.stepEntry(e, coordinator.SubmitCalled{Call: call, ID: id, Spec: jb.spec, Wait: wait})
}

// submitConflicting sends different content under an id that is in use. The new
// content must never run.
func (sim *simulation) submitConflicting(e *entryNode, id structs.JobID) {
	jb := sim.newJob(1, 0)
	jb.id = id
	sim.logf("submit job %d as %v through %s, different content", jb.number, id, e.name)
	c, call := sim.registerCall(e, jb, "submission of job %d (%v) with different content", jb.number, id)
	c.onReply = func(a *structs.JobAnswer, _ *structs.Error) {
		if a != nil && !c.recovered {
			sim.checker.violationf("%s got an answer, want an error", c.description)
		}
	}
	sim.stepEntry(e, coordinator.SubmitCalled{Call: call, ID: id, Spec: jb.spec})
}

// submitNew sends a job without an id.
func (sim *simulation) submitNew(e *entryNode, tasks int, timeout time.Duration, wait bool) {
	jb := sim.newJob(tasks, timeout)
	sim.logf("submit job %d without id through %s, wait %v", jb.number, e.name, wait)
	c, call := sim.registerCall(e, jb, "submission of job %d without id", jb.number)
	c.onReply = func(a *structs.JobAnswer, _ *structs.Error) {
		if a != nil && sim.byID[a.ID] == nil {
			sim.byID[a.ID] = jb
			sim.ids = append(sim.ids, a.ID)
		}
	}
	sim.stepEntry(e, coordinator.SubmitCalled{Call: call, Spec: jb.spec, Wait: wait})
}

func (sim *simulation) get(e *entryNode, id structs.JobID, wait bool) {
	jb := sim.byID[id]
	if len(jb.spec.Tasks) == 0 {
		return
	}
	_, call := sim.registerCall(e, jb, "get of job %d (%v)", jb.number, id)
	sim.stepEntry(e, coordinator.GetCalled{Call: call, ID: id, Wait: wait})
}

func (sim *simulation) cancel(e *entryNode, id structs.JobID) {
	jb := sim.byID[id]
	if len(jb.spec.Tasks) == 0 {
		return
	}
	sim.logf("cancel job %d (%v) through %s", jb.number, id, e.name)
	_, call := sim.registerCall(e, jb, "cancel of job %d (%v)", jb.number, id)
	sim.stepEntry(e, coordinator.CancelCalled{Call: call, ID: id})
}

// closeCall reports that a caller has disconnected or, with answer set, wants
// the current answer at once.
func (sim *simulation) closeCall(e *entryNode, call coordinator.CallID, answer bool) {
	if !answer {
		e.openCalls[call].call.disconnected = true
		delete(e.openCalls, call)
	}
	sim.stepEntry(e, coordinator.CallClosed{Call: call, Answer: answer})
	if answer && e.openCalls[call] != nil {
		sim.checker.violationf("%s got no reply to a request for the current answer", e.openCalls[call].call.description)
	}
}

// forward passes a caller's request to the job's home, as the process around
// the entry's reducer does.
func (sim *simulation) forward(e *entryNode, ef coordinator.Forward) {
	r := e.openCalls[ef.Call]
	if r == nil {
		sim.checker.violationf("%s: forward of call %d, which has no open request", e.name, ef.Call)
		return
	}
	delete(e.openCalls, ef.Call)
	incarnation := e.incarnation
	alive := func() bool { return e.up && e.incarnation == incarnation }
	answered, recovering := false, false
	answer := func(a *structs.JobAnswer, err *structs.Error) {
		if !answered && alive() {
			answered = true
			r.call.recovered = recovering
			r.answer(a, err)
		}
	}
	home := sim.entryAt(ef.Home.RPCAddr)
	lost := func() {
		if !recovering && !answered && alive() {
			recovering = true
			sim.recoverJob(e, ef, home, answer)
		}
	}
	r.call.abandonHome = lost
	sim.send(&packet{
		label: fmt.Sprintf("forward of %v from %s to %s", ef.ID, e.name, home.name), to: &home.node, lost: lost,
		deliver: func() {
			if home.incarnation != ef.Home.Incarnation {
				lost()
				return
			}
			sim.serveForward(home, ef, func(a *structs.JobAnswer, err *structs.Error) {
				sim.send(&packet{
					label: fmt.Sprintf("reply to the forward of %v to %s", ef.ID, e.name), to: &e.node,
					single: true, lost: lost, deliver: func() {
						if !recovering {
							answer(a, err)
						}
					},
				})
			})
		},
	})
}

// recoverJob asks the agents for the outcome of a job whose home does not
// answer. With falseDeaths set, the home's process is reported as ended
// although it may be running.
func (sim *simulation) recoverJob(
	e *entryNode, ef coordinator.Forward, home *entryNode, answer func(*structs.JobAnswer, *structs.Error),
) {
	e.nextID++
	e.openCalls[e.nextID] = &replyHandler{answer: answer, call: &pendingCall{description: "recovery"}}
	ev := coordinator.RecoverCalled{Call: e.nextID, ID: ef.ID, Spec: ef.Spec}
	ev.Dead = !home.up || home.incarnation != ef.Home.Incarnation || sim.falseDeaths
	sim.logf("%s recovers %v, home reported dead: %v", e.name, ef.ID, ev.Dead)
	sim.send(&packet{
		label: fmt.Sprintf("recovery of %v to %s", ef.ID, e.name), to: &e.node, local: e.incarnation, single: true,
		deliver: func() { sim.stepEntry(e, ev) },
	})
}

func (sim *simulation) serveForward(home *entryNode, ef coordinator.Forward, answer func(*structs.JobAnswer, *structs.Error)) {
	home.nextID++
	home.openCalls[home.nextID] = &replyHandler{answer: answer, call: &pendingCall{description: "forwarded request"}}
	switch ef.Op {
	case structs.OpSubmit:
		sim.stepEntry(home, coordinator.SubmitCalled{Call: home.nextID, ID: ef.ID, Spec: *ef.Spec, Wait: true})
	case structs.OpGet:
		sim.stepEntry(home, coordinator.GetCalled{Call: home.nextID, ID: ef.ID, Wait: true})
	case structs.OpCancel:
		sim.stepEntry(home, coordinator.CancelCalled{Call: home.nextID, ID: ef.ID})
	}
}

func (sim *simulation) entryAt(addr string) *entryNode {
	for _, e := range sim.entries {
		if e.name == addr {
			return e
		}
	}
	panic("no entry at " + addr)
}
