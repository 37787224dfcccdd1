package coordinator

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func settles(effects []Effect) []Settle {
	var list []Settle
	for _, eff := range effects {
		if s, ok := eff.(Settle); ok {
			list = append(list, s)
		}
	}
	return list
}

// A canceled job costs each agent one message, whatever it holds of it.
func TestCancelAsksAnAgentOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.service(agentA)
	g.Expect(runs(s.step(SubmitCalled{Call: 1, Spec: spec(2)}))).To(HaveLen(2))
	asked := settles(s.step(CancelCalled{Call: 2, ID: jobID(1)}))
	g.Expect(asked).To(HaveLen(1))
	g.Expect(asked[0].Request.Tasks).To(HaveLen(2))
}

// While an agent has yet to answer, what comes up meanwhile waits for the next
// message.
func TestSettlesWaitForTheOneUnderWay(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.service(agentA, agentB)
	first := runs(s.step(SubmitCalled{Call: 1, Spec: spec(4)}))
	g.Expect(first).To(HaveLen(4))
	var broken []structs.TaskRef
	for ref, agent := range first {
		if agent == agentA {
			broken = append(broken, ref)
		}
	}
	g.Expect(broken).To(HaveLen(2))
	asked := settles(s.step(RunInDoubt{Agent: agentA, Ref: broken[0]}))
	g.Expect(asked).To(HaveLen(1))
	g.Expect(settles(s.step(RunInDoubt{Agent: agentA, Ref: broken[1]}))).To(BeEmpty())
	again := settles(s.step(SettleFailed{Agent: agentA, Tasks: asked[0].Request.Tasks}))
	again = append(again, settles(s.after(defaultSettleRetryInterval).step(Ticked{}))...)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Request.Tasks).To(ConsistOf(broken))
}
