package model_test

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newJob makes a submission whose payloads no other task has.
func (w *world) newJob(tasks int, timeout time.Duration) *job {
	jb := &job{number: len(w.judge.jobs)}
	jb.spec = structs.JobSpec{Service: service, Team: team, Timeout: timeout}
	for i := range tasks {
		payload := fmt.Appendf(nil, "job %d task %d", jb.number, i)
		jb.spec.Tasks = append(jb.spec.Tasks, structs.TaskSpec{Kind: "preview", Payload: payload})
	}
	w.judge.jobs = append(w.judge.jobs, jb)
	return jb
}

// pending registers a caller's request at the entry's present run.
func (w *world) pending(e *entryNode, jb *job, format string, args ...any) (*pendingCall, coordinator.CallID) {
	c := &pendingCall{what: fmt.Sprintf(format, args...) + " at " + e.name, job: jb, entry: e, run: e.run}
	c.recovered = jb.id.Home != 0 && jb.id.Home != e.run // unless it is handed to the home
	w.callers = append(w.callers, c)
	e.nextID++
	e.waiting[e.nextID] = &reply{answer: func(a *structs.JobAnswer, err *structs.Error) {
		w.logf("%s: %s %v", c.what, describeAny(a), err)
		w.judge.replied(c, a, err)
	}, call: c}
	return c, e.nextID
}

func describeAny(a *structs.JobAnswer) string {
	if a == nil {
		return "error"
	}
	return describe(a)
}

func (w *world) reserve(e *entryNode, count int) {
	e.nextID++
	c := &pendingCall{what: "reservation at " + e.name, entry: e, run: e.run}
	w.callers = append(w.callers, c)
	e.waiting[e.nextID] = &reply{call: c, ids: func(ids []structs.JobID, err *structs.Error) {
		c.replies++
		if (err == nil) != (len(ids) == count) {
			w.judge.faultf("%s: want %d ids, got %d, %v", c.what, count, len(ids), err)
		}
		for _, id := range ids {
			if id.Home != e.run || w.byID[id] != nil {
				w.judge.faultf("%s: %v names another home or was given before", c.what, id)
			}
			w.byID[id] = &job{}
			w.ids = append(w.ids, id)
		}
	}}
	w.stepEntry(e, coordinator.ReserveCalled{Call: e.nextID, Count: count})
}

// submit sends a job under a reserved id, the first time or again.
func (w *world) submit(e *entryNode, id structs.JobID, tasks int, timeout time.Duration, wait bool) {
	jb := w.byID[id]
	if len(jb.spec.Tasks) == 0 {
		jb = w.newJob(tasks, timeout)
		jb.id = id
		w.byID[id] = jb
	}
	w.logf("submit job %d as %v through %s, wait %v", jb.number, id, e.name, wait)
	_, call := w.pending(e, jb, "submission of job %d (%v)", jb.number, id)
	w.stepEntry(e, coordinator.SubmitCalled{Call: call, ID: id, Spec: jb.spec, Wait: wait})
}

// submitOther sends other content under an id that is in use: it must never run.
func (w *world) submitOther(e *entryNode, id structs.JobID) {
	jb := w.newJob(1, 0)
	jb.id = id
	w.logf("submit job %d as %v through %s, other content", jb.number, id, e.name)
	c, call := w.pending(e, jb, "submission of job %d (%v) with other content", jb.number, id)
	c.done = func(a *structs.JobAnswer, _ *structs.Error) {
		if a != nil && !c.recovered {
			w.judge.faultf("%s got an answer", c.what)
		}
	}
	w.stepEntry(e, coordinator.SubmitCalled{Call: call, ID: id, Spec: jb.spec})
}

// submitNew sends a job that brings no id.
func (w *world) submitNew(e *entryNode, tasks int, timeout time.Duration, wait bool) {
	jb := w.newJob(tasks, timeout)
	w.logf("submit job %d without id through %s, wait %v", jb.number, e.name, wait)
	c, call := w.pending(e, jb, "submission of job %d without id", jb.number)
	c.done = func(a *structs.JobAnswer, _ *structs.Error) {
		if a != nil && w.byID[a.ID] == nil {
			w.byID[a.ID] = jb
			w.ids = append(w.ids, a.ID)
		}
	}
	w.stepEntry(e, coordinator.SubmitCalled{Call: call, Spec: jb.spec, Wait: wait})
}

func (w *world) get(e *entryNode, id structs.JobID, wait bool) {
	jb := w.byID[id]
	if len(jb.spec.Tasks) == 0 {
		return
	}
	_, call := w.pending(e, jb, "get of job %d (%v)", jb.number, id)
	w.stepEntry(e, coordinator.GetCalled{Call: call, ID: id, Wait: wait})
}

func (w *world) cancel(e *entryNode, id structs.JobID) {
	jb := w.byID[id]
	if len(jb.spec.Tasks) == 0 {
		return
	}
	w.logf("cancel job %d (%v) through %s", jb.number, id, e.name)
	_, call := w.pending(e, jb, "cancel of job %d (%v)", jb.number, id)
	w.stepEntry(e, coordinator.CancelCalled{Call: call, ID: id})
}

// leaveCall says that a caller has gone, or wants the answer as it is.
func (w *world) leaveCall(e *entryNode, call coordinator.CallID, answer bool) {
	if !answer {
		e.waiting[call].call.gone = true
		delete(e.waiting, call)
	}
	w.stepEntry(e, coordinator.CallClosed{Call: call, Answer: answer})
	if answer && e.waiting[call] != nil {
		w.judge.faultf("%s got no reply when asked as it is", e.waiting[call].call.what)
	}
}

// forward hands a caller's request to the job's home, as the entry's shell does.
func (w *world) forward(e *entryNode, ef coordinator.Forward) {
	r := e.waiting[ef.Call]
	if r == nil {
		w.judge.faultf("%s: forward of call %d, which is not pending", e.name, ef.Call)
		return
	}
	delete(e.waiting, ef.Call)
	run := e.run
	alive := func() bool { return e.up && e.run == run }
	answered, recovering := false, false
	answer := func(a *structs.JobAnswer, err *structs.Error) {
		if !answered && alive() {
			answered = true
			r.call.recovered = recovering
			r.answer(a, err)
		}
	}
	home := w.entryAt(ef.Home.RPCAddr)
	lost := func() {
		if !recovering && !answered && alive() {
			recovering = true
			w.recoverJob(e, ef, home, answer)
		}
	}
	r.call.noReply = lost
	w.send(&packet{
		label: fmt.Sprintf("forward of %v from %s to %s", ef.ID, e.name, home.name), to: &home.node, lost: lost,
		deliver: func() {
			if home.run != ef.Home.Incarnation {
				lost()
				return
			}
			w.serveForward(home, ef, func(a *structs.JobAnswer, err *structs.Error) {
				w.send(&packet{
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

// recoverJob asks the agents in place of a home that does not answer. With
// wrongDeath its process is taken for ended although it may run.
func (w *world) recoverJob(
	e *entryNode, ef coordinator.Forward, home *entryNode, answer func(*structs.JobAnswer, *structs.Error),
) {
	e.nextID++
	e.waiting[e.nextID] = &reply{answer: answer, call: &pendingCall{what: "recovery"}}
	ev := coordinator.RecoverCalled{Call: e.nextID, ID: ef.ID, Spec: ef.Spec}
	ev.Dead = !home.up || home.run != ef.Home.Incarnation || w.wrongDeath
	w.logf("%s recovers %v, dead: %v", e.name, ef.ID, ev.Dead)
	w.send(&packet{
		label: fmt.Sprintf("recovery of %v to %s", ef.ID, e.name), to: &e.node, local: e.run, single: true,
		deliver: func() { w.stepEntry(e, ev) },
	})
}

func (w *world) serveForward(home *entryNode, ef coordinator.Forward, answer func(*structs.JobAnswer, *structs.Error)) {
	home.nextID++
	home.waiting[home.nextID] = &reply{answer: answer, call: &pendingCall{what: "forwarded request"}}
	switch ef.Op {
	case structs.OpSubmit:
		w.stepEntry(home, coordinator.SubmitCalled{Call: home.nextID, ID: ef.ID, Spec: *ef.Spec, Wait: true})
	case structs.OpGet:
		w.stepEntry(home, coordinator.GetCalled{Call: home.nextID, ID: ef.ID, Wait: true})
	case structs.OpCancel:
		w.stepEntry(home, coordinator.CancelCalled{Call: home.nextID, ID: ef.ID})
	}
}

func (w *world) entryAt(addr string) *entryNode {
	for _, e := range w.entries {
		if e.name == addr {
			return e
		}
	}
	panic("no entry at " + addr)
}
