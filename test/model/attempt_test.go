package model_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TestWordOfAnEarlierAttempt gives the home, late, the agent's word on an
// attempt before the present one at the same agent. It says nothing of the
// present one, which may be running.
func TestWordOfAnEarlierAttempt(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 1, &tally{})
	e, a := w.entries[0], w.agents[0]
	var runs []structs.RunRequest
	var answer *structs.JobAnswer
	step := func(ev coordinator.Event) {
		for _, ef := range e.c.Step(w.now, ev) {
			if r, ok := ef.(coordinator.Run); ok {
				runs = append(runs, r.Request)
			}
			if r, ok := ef.(coordinator.Reply); ok {
				answer = r.Answer
			}
		}
	}
	state := structs.AgentState{Incarnation: a.run, Slots: a.slots}
	wait := func(ticks int) {
		for range ticks {
			w.now = w.now.Add(coordinator.TickInterval)
			state.Seq++
			step(coordinator.AgentStateReceived{Agent: a.run, State: state})
			step(coordinator.Ticked{})
		}
	}
	for len(w.packets) > 0 {
		w.deliver(w.take(0))
	}
	jb := w.newJob(1, time.Minute)
	step(coordinator.SubmitCalled{Call: 1000, Spec: jb.spec, Wait: true})
	g.Expect(runs).To(HaveLen(1))
	first := structs.TaskRef{Task: runs[0].Task, Attempt: runs[0].Attempt}
	refused := structs.Errorf(structs.CodeOverloaded, structs.NotRun, "no room")
	step(coordinator.RunReplied{Agent: a.run, Ref: first, Reply: structs.RunReply{
		Result: structs.TaskResult{Verdict: structs.NotRun, Error: refused}, State: state,
	}})
	wait(50)
	g.Expect(runs).To(HaveLen(2), "placed again at the only agent")
	step(coordinator.SettleReplied{Agent: a.run, Tasks: []structs.TaskRef{first}, Reply: structs.SettleReply{
		Statuses: []structs.TaskStatus{{Task: first.Task, Attempt: first.Attempt, Phase: structs.TaskFenced}},
		State:    state,
	}})
	wait(700)
	g.Expect(runs).To(HaveLen(2), "placed a third time while the second attempt may run")
	g.Expect(answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
}
