package model_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TestStatusOfEarlierAttemptIsIgnored guards against a home that applies an
// agent's late status of an earlier attempt (fenced) to the present attempt at
// the same agent. The present attempt may be running, so a third placement
// could run the task twice.
func TestStatusOfEarlierAttemptIsIgnored(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, &statistics{})
	e, a := sim.entries[0], sim.agents[0]
	var runRequests []structs.RunRequest
	var answer *structs.JobAnswer
	step := func(ev coordinator.Event) {
		for _, ef := range e.c.Step(sim.now, ev) {
			if r, ok := ef.(coordinator.Run); ok {
				runRequests = append(runRequests, r.Request)
			}
			if r, ok := ef.(coordinator.Reply); ok {
				answer = r.Answer
			}
		}
	}
	state := structs.AgentState{Incarnation: a.incarnation, Slots: a.slots}
	wait := func(ticks int) {
		for range ticks {
			sim.now = sim.now.Add(coordinator.TickInterval)
			state.Seq++
			step(coordinator.AgentStateReceived{Agent: a.incarnation, State: state})
			step(coordinator.Ticked{})
		}
	}
	for len(sim.packets) > 0 {
		sim.deliver(sim.remove(0))
	}
	jb := sim.newJob(1, time.Minute)
	step(coordinator.SubmitCalled{Call: 1000, Spec: jb.spec, Wait: true})
	g.Expect(runRequests).To(HaveLen(1))
	first := structs.TaskRef{Task: runRequests[0].Task, Attempt: runRequests[0].Attempt}
	refusal := structs.Errorf(structs.CodeOverloaded, structs.NotRun, "queue full")
	step(coordinator.RunReplied{Agent: a.incarnation, Ref: first, Reply: structs.RunReply{
		Result: structs.TaskResult{Verdict: structs.NotRun, Error: refusal}, State: state,
	}})
	wait(50)
	g.Expect(runRequests).To(HaveLen(2), "the refused task was not placed again at the only agent")
	step(coordinator.SettleReplied{Agent: a.incarnation, Tasks: []structs.TaskRef{first}, Reply: structs.SettleReply{
		Statuses: []structs.TaskStatus{{Task: first.Task, Attempt: first.Attempt, Phase: structs.TaskFenced}},
		State:    state,
	}})
	wait(700)
	g.Expect(runRequests).To(HaveLen(2), "task was placed a third time while the second attempt may be running")
	g.Expect(answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
}
