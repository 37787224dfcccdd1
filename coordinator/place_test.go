package coordinator

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// A refusal from the process that replaced an agent is no evidence about the
// agent process that was addressed, which may have got a copy of the message.
func TestRefusalFromReplacementAgentIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(SubmitCalled{Call: 1, Spec: jobSpec(1), Wait: true})
	refusal := structs.TaskResult{Error: structs.Errorf(structs.CodeStaleIncarnation, structs.NotRun, "addressed to another process"), Verdict: structs.NotRun}
	r := findReply(s.step(RunReplied{Agent: agentA, Ref: taskRef(1, 0, 1), Reply: structs.RunReply{Result: refusal, State: s.nextState(agentB)}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
}
