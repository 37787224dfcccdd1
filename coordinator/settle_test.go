package coordinator

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func settleEffects(effects []Effect) []Settle {
	var list []Settle
	for _, eff := range effects {
		if s, ok := eff.(Settle); ok {
			list = append(list, s)
		}
	}
	return list
}

// Canceling a job sends each agent one settle message, however many of the
// job's tasks it holds.
func TestCancelSendsOneSettlePerAgent(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	g.Expect(placements(s.step(SubmitCalled{Call: 1, Spec: jobSpec(2)}))).To(HaveLen(2))
	settles := settleEffects(s.step(CancelCalled{Call: 2, ID: jobID(1)}))
	g.Expect(settles).To(HaveLen(1))
	g.Expect(settles[0].Request.Tasks).To(HaveLen(2))
}

// While a settle with an agent is in flight, further attempts to settle wait
// for the next message.
func TestOneSettleInFlightPerAgent(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA, agentB)
	first := placements(s.step(SubmitCalled{Call: 1, Spec: jobSpec(4)}))
	g.Expect(first).To(HaveLen(4))
	var broken []structs.TaskRef
	for ref, agent := range first {
		if agent == agentA {
			broken = append(broken, ref)
		}
	}
	g.Expect(broken).To(HaveLen(2))
	settles := settleEffects(s.step(RunInDoubt{Agent: agentA, Ref: broken[0]}))
	g.Expect(settles).To(HaveLen(1))
	g.Expect(settleEffects(s.step(RunInDoubt{Agent: agentA, Ref: broken[1]}))).To(BeEmpty())
	again := settleEffects(s.step(SettleFailed{Agent: agentA, Tasks: settles[0].Request.Tasks}))
	again = append(again, settleEffects(s.advance(defaultSettleRetryInterval).step(Ticked{}))...)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Request.Tasks).To(ConsistOf(broken))
}

// An agent answers for a limited number of tasks of one settle. The tasks beyond it must
// not stay in doubt.
func TestAttemptsWithoutStatusAreSettledAgain(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(SubmitCalled{Call: 1, Spec: jobSpec(2), Wait: true})
	first := settleEffects(s.step(CancelCalled{Call: 2, ID: jobID(1)}))
	g.Expect(first).To(HaveLen(1))
	refs := first[0].Request.Tasks
	g.Expect(refs).To(HaveLen(2))
	fenced := func(ref structs.TaskRef) structs.SettleReply {
		status := structs.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, Phase: structs.TaskFenced}
		return structs.SettleReply{Statuses: []structs.TaskStatus{status}, State: s.nextState(agentA)}
	}
	again := settleEffects(s.step(SettleReplied{Agent: agentA, Tasks: refs, Reply: fenced(refs[0])}))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Request.Tasks).To(ConsistOf(refs[1]))
	g.Expect(again[0].Request.Mode).To(Equal(first[0].Request.Mode))
	r := findReply(s.step(SettleReplied{Agent: agentA, Tasks: refs[1:], Reply: fenced(refs[1])}))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Results[1].Verdict).To(Equal(structs.NotRun))
}
