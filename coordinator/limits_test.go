package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// cappedSession has a small cap of each kind, and one agent.
func cappedSession() *session {
	s := newSession()
	s.c = New(Config{
		Self:           structs.EntryInfo{Name: "entry-1", Incarnation: home},
		Seed:           1,
		MaxReservedIDs: 3,
		MaxOpenJobs:    2,
		MaxOpenTasks:   4,
		MaxAnswers:     2,
		MaxHeldBytes:   64,
	})
	s.service(agentA)
	return s
}

// Each cap refuses at once, as not run, and says when to come back.
func TestCapsRefuseHonestly(t *testing.T) {
	refusals := map[string]func(s *session) *structs.Error{
		"reservations": func(s *session) *structs.Error {
			s.step(ReserveCalled{Call: 1, Count: 3})
			return s.step(ReserveCalled{Call: 2, Count: 1})[0].(ReplyIDs).Error
		},
		"open jobs": func(s *session) *structs.Error {
			s.step(SubmitCalled{Call: 1, Spec: spec(1)})
			s.step(SubmitCalled{Call: 2, Spec: spec(1)})
			return reply(s.step(SubmitCalled{Call: 3, Spec: spec(1)})).Error
		},
		"open tasks": func(s *session) *structs.Error {
			s.step(SubmitCalled{Call: 1, Spec: spec(4)})
			return reply(s.step(SubmitCalled{Call: 2, Spec: spec(1)})).Error
		},
		"held bytes": func(s *session) *structs.Error {
			large := spec(1)
			large.Tasks[0].Payload = make([]byte, 60)
			s.step(SubmitCalled{Call: 1, Spec: large})
			return reply(s.step(SubmitCalled{Call: 2, Spec: spec(1)})).Error
		},
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := refusal(cappedSession())
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Code).To(Equal(structs.CodeOverloaded))
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

// A result that finds no room fails its job, which says that the task ran.
func TestResultWithoutRoomIsLost(t *testing.T) {
	g := NewWithT(t)
	s := cappedSession()
	s.step(SubmitCalled{Call: 1, Spec: spec(1), Wait: true})
	result := structs.TaskResult{Verdict: structs.Ran, Body: make([]byte, 200)}
	r := reply(s.step(RunReplied{Agent: agentA, Ref: refOf(1, 0, 1), Reply: structs.RunReply{Result: result, State: s.state(agentA)}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Error.Code).To(Equal(structs.CodeResultLost))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.Ran))
}

// Answers beyond the cap are forgotten, oldest first; of those nothing better
// than may have run is known, and they never start again.
func TestForgottenAnswersNeverStartAgain(t *testing.T) {
	g := NewWithT(t)
	s := cappedSession()
	s.c.cfg.MaxHeldBytes = 1 << 20
	for seq := uint64(1); seq <= 3; seq++ {
		s.step(SubmitCalled{Call: CallID(seq), Spec: spec(1)})
		s.ran(agentA, refOf(seq, 0, 1))
	}
	s.after(time.Second).step(Ticked{})
	effects := s.step(SubmitCalled{Call: 9, ID: jobID(1), Spec: spec(1)})
	g.Expect(runs(effects)).To(BeEmpty())
	g.Expect(reply(effects).Error.Code).To(Equal(structs.CodeExpired))
	g.Expect(reply(effects).Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(reply(s.step(GetCalled{Call: 10, ID: jobID(3)})).Answer.State).To(Equal(structs.JobComplete))
}
