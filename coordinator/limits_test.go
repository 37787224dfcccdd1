package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newLimitedHarness returns a harness with one agent and a small limit of each
// kind.
func newLimitedHarness() *harness {
	s := newHarness()
	s.c = New(Options{
		Self:           structs.EntryInfo{Name: "entry-1", Incarnation: selfHome},
		Seed:           1,
		MaxReservedIDs: 3,
		MaxOpenJobs:    2,
		MaxOpenTasks:   4,
		MaxAnswers:     2,
		MaxHeldBytes:   64,
	})
	s.addService(agentA)
	return s
}

// Each limit refuses at once, with the verdict NotRun and a Retry-After hint.
func TestLimitsRefuseAsNotRunWithRetryAfter(t *testing.T) {
	refusals := map[string]func(s *harness) *structs.Error{
		"reservations": func(s *harness) *structs.Error {
			s.step(ReserveCalled{Call: 1, Count: 3})
			return s.step(ReserveCalled{Call: 2, Count: 1})[0].(ReplyIDs).Error
		},
		"open jobs": func(s *harness) *structs.Error {
			s.step(SubmitCalled{Call: 1, Spec: jobSpec(1)})
			s.step(SubmitCalled{Call: 2, Spec: jobSpec(1)})
			return findReply(s.step(SubmitCalled{Call: 3, Spec: jobSpec(1)})).Error
		},
		"open tasks": func(s *harness) *structs.Error {
			s.step(SubmitCalled{Call: 1, Spec: jobSpec(4)})
			return findReply(s.step(SubmitCalled{Call: 2, Spec: jobSpec(1)})).Error
		},
		"held bytes": func(s *harness) *structs.Error {
			large := jobSpec(1)
			large.Tasks[0].Payload = make([]byte, 60)
			s.step(SubmitCalled{Call: 1, Spec: large})
			return findReply(s.step(SubmitCalled{Call: 2, Spec: jobSpec(1)})).Error
		},
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := refusal(newLimitedHarness())
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Code).To(Equal(structs.CodeOverloaded))
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

// A result that exceeds the memory limit fails its job, and the verdict says
// that the task ran.
func TestResultOverMemoryLimitFailsJob(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedHarness()
	s.step(SubmitCalled{Call: 1, Spec: jobSpec(1), Wait: true})
	result := structs.TaskResult{Verdict: structs.Ran, Body: make([]byte, 200)}
	r := findReply(s.step(RunReplied{Agent: agentA, Ref: taskRef(1, 0, 1), Reply: structs.RunReply{Result: result, State: s.nextState(agentA)}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Error.Code).To(Equal(structs.CodeResultLost))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.Ran))
}

// Final answers beyond MaxAnswers are evicted, oldest first. A job whose answer
// was evicted gets the verdict MayHaveRun and never starts again.
func TestEvictedJobsNeverStartAgain(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedHarness()
	s.c.opts.MaxHeldBytes = 1 << 20
	for seq := uint64(1); seq <= 3; seq++ {
		s.step(SubmitCalled{Call: CallID(seq), Spec: jobSpec(1)})
		s.replyRan(agentA, taskRef(seq, 0, 1))
	}
	s.advance(time.Second).step(Ticked{})
	effects := s.step(SubmitCalled{Call: 9, ID: jobID(1), Spec: jobSpec(1)})
	g.Expect(placements(effects)).To(BeEmpty())
	g.Expect(findReply(effects).Error.Code).To(Equal(structs.CodeExpired))
	g.Expect(findReply(effects).Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(findReply(s.step(GetCalled{Call: 10, ID: jobID(3)})).Answer.State).To(Equal(structs.JobComplete))
}

// After an answer was evicted for lack of space, the agents were told at once to forget
// the job's records, and no entry could recover the answer.
func TestWatermarkWaitsForEvictedJobs(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedHarness()
	s.c.opts.MaxHeldBytes = 1 << 20
	for seq := uint64(1); seq <= 4; seq++ {
		s.step(SubmitCalled{Call: CallID(seq), Spec: jobSpec(1)})
		s.replyRan(agentA, taskRef(seq, 0, 1))
	}
	for range int(defaultWatermarkLag/TickInterval) - 1 {
		s.advance(TickInterval).step(Ticked{})
		g.Expect(s.c.Dump().Answers).To(Equal(2))
		g.Expect(s.c.Dump().Watermark).To(Equal(uint64(1)))
	}
	s.advance(TickInterval).step(Ticked{})
	g.Expect(s.c.Dump().Watermark).To(Equal(uint64(5)))
	g.Expect(s.c.evictedEarly).To(BeEmpty())
}
