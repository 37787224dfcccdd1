package coordinator

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// The refusal of another run says nothing of the run that was addressed, which
// may have got a copy of the message.
func TestRefusalOfAnotherRunIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.service(agentA)
	s.step(SubmitCalled{Call: 1, Spec: spec(1), Wait: true})
	refusal := structs.TaskResult{Error: structs.Errorf(structs.CodeStaleIncarnation, structs.NotRun, "other run"), Verdict: structs.NotRun}
	r := reply(s.step(RunReplied{Agent: agentA, Ref: refOf(1, 0, 1), Reply: structs.RunReply{Result: refusal, State: s.state(agentB)}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
}
