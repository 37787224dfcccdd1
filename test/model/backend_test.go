package model_test

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// startBackend sends a task to the agent's backend server. The request may be
// under way while the agent dies, and start its task after that.
func (w *world) startBackend(a *agentNode, ef executor.StartTask) {
	b := &backendCall{run: a.run}
	a.started[ef.Task] = b
	backend := &node{name: "backend of " + a.name, up: true}
	w.send(&packet{
		label: fmt.Sprintf("start of %v at the %s", ef.Task, backend.name), to: backend, single: true,
		lost: func() {
			err := structs.Errorf(structs.CodeUnavailable, structs.NotRun, "connection refused")
			w.backendDone(a, b, ef.Task, structs.TaskResult{Index: ef.Task.Index, Verdict: structs.NotRun, Error: err})
		},
		deliver: func() {
			w.judge.started(a.name, ef.Task, ef.Spec.Payload)
			w.finishLater(a, b, ef)
		},
	})
}

func (w *world) finishLater(a *agentNode, b *backendCall, ef executor.StartTask) {
	backend := &node{name: "backend of " + a.name, up: true}
	result := structs.TaskResult{Index: ef.Task.Index, Verdict: structs.Ran, Body: resultBody(ef.Spec.Payload)}
	w.send(&packet{
		label: fmt.Sprintf("end of %v at the %s", ef.Task, backend.name), to: backend, single: true,
		deliver: func() { w.backendDone(a, b, ef.Task, result) },
		lost: func() {
			err := structs.Errorf(structs.CodeBackend, structs.MayHaveRun, "connection reset")
			w.backendDone(a, b, ef.Task, structs.TaskResult{Index: ef.Task.Index, Verdict: structs.MayHaveRun, Error: err})
		},
	})
}

// stopBackend ends a call early. A request that is still under way may reach
// the backend server all the same.
func (w *world) stopBackend(a *agentNode, id structs.TaskID) {
	b := a.started[id]
	if b == nil {
		return
	}
	w.logf("stop of %v at %s", id, a.name)
	err := structs.Errorf(structs.CodeCanceled, structs.MayHaveRun, "stopped")
	w.backendDone(a, b, id, structs.TaskResult{Index: id.Index, Verdict: structs.MayHaveRun, Error: err})
}

// backendDone tells the agent's run that made the call of its end.
func (w *world) backendDone(a *agentNode, b *backendCall, id structs.TaskID, r structs.TaskResult) {
	if b.over {
		return
	}
	b.over = true
	w.send(&packet{
		label: fmt.Sprintf("end of %v to %s", id, a.name), to: &a.node, local: b.run, single: true,
		deliver: func() { w.stepAgent(a, executor.TaskFinished{Task: id, Result: r, ServiceTime: 1}) },
	})
}
