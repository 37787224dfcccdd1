package model_test

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// startBackend sends a task to the agent's backend server. The request may
// still be in flight when the agent crashes, and start its task afterwards.
func (sim *simulation) startBackend(a *agentNode, ef executor.StartTask) {
	b := &backendCall{incarnation: a.incarnation}
	a.started[ef.Task] = b
	backend := &node{name: "backend of " + a.name, up: true}
	sim.send(&packet{
		label: fmt.Sprintf("start of %v at the %s", ef.Task, backend.name), to: backend, single: true,
		lost: func() {
			err := structs.Errorf(structs.CodeUnavailable, structs.NotRun, "connection refused")
			sim.backendDone(a, b, ef.Task, structs.TaskResult{Index: ef.Task.Index, Verdict: structs.NotRun, Error: err})
		},
		deliver: func() {
			sim.checker.started(a.name, ef.Task, ef.Spec.Payload)
			sim.sendResult(a, b, ef)
		},
	})
}

func (sim *simulation) sendResult(a *agentNode, b *backendCall, ef executor.StartTask) {
	backend := &node{name: "backend of " + a.name, up: true}
	result := structs.TaskResult{Index: ef.Task.Index, Verdict: structs.Ran, Body: resultBody(ef.Spec.Payload)}
	sim.send(&packet{
		label: fmt.Sprintf("end of %v at the %s", ef.Task, backend.name), to: backend, single: true,
		deliver: func() { sim.backendDone(a, b, ef.Task, result) },
		lost: func() {
			err := structs.Errorf(structs.CodeBackend, structs.MayHaveRun, "connection reset")
			sim.backendDone(a, b, ef.Task, structs.TaskResult{Index: ef.Task.Index, Verdict: structs.MayHaveRun, Error: err})
		},
	})
}

// stopBackend ends a call early. A request that is still in flight may reach
// the backend server nevertheless.
func (sim *simulation) stopBackend(a *agentNode, id structs.TaskID) {
	b := a.started[id]
	if b == nil {
		return
	}
	sim.logf("stop of %v at %s", id, a.name)
	err := structs.Errorf(structs.CodeCanceled, structs.MayHaveRun, "stopped")
	sim.backendDone(a, b, id, structs.TaskResult{Index: id.Index, Verdict: structs.MayHaveRun, Error: err})
}

// backendDone reports the end of a call to the agent incarnation that made it.
func (sim *simulation) backendDone(a *agentNode, b *backendCall, id structs.TaskID, r structs.TaskResult) {
	if b.ended {
		return
	}
	b.ended = true
	sim.send(&packet{
		label: fmt.Sprintf("end of %v to %s", id, a.name), to: &a.node, local: b.incarnation, single: true,
		deliver: func() { sim.stepAgent(a, executor.TaskFinished{Task: id, Result: r, ServiceTime: 1}) },
	})
}
