package coordinator

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func lostRef(index int) structs.TaskRef {
	return structs.TaskRef{Task: structs.TaskID{Job: structs.JobID{Home: other, Seq: 9}, Index: index}, Attempt: 1}
}

func status(index int, phase structs.TaskPhase, result structs.TaskResult) structs.TaskStatus {
	return structs.TaskStatus{Task: lostRef(index).Task, Attempt: 1, Phase: phase, JobTasks: 2, Result: result}
}

func finished(index int) structs.TaskStatus {
	return status(index, structs.TaskDone, structs.TaskResult{Verdict: structs.Ran, Body: []byte("ok")})
}

// recoverTwo starts the recovery of a job of two tasks at two agents.
func recoverTwo(dead bool) *session {
	s := newSession()
	s.service(agentA, agentB)
	submitted := spec(2)
	s.step(RecoverCalled{Call: 1, ID: lostRef(0).Task.Job, Spec: &submitted, Dead: dead})
	return s
}

func (s *session) told(agent structs.Incarnation, statuses ...structs.TaskStatus) []Effect {
	return s.step(QueryReplied{Call: 1, Agent: agent, Reply: structs.SettleReply{Statuses: statuses}})
}

func TestRecoveryGivesTheWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	s := recoverTwo(false)
	g.Expect(s.told(agentA, finished(1))).To(BeEmpty())
	r := reply(s.told(agentB, finished(0)))
	g.Expect(r.Answer.State).To(Equal(structs.JobComplete))
	g.Expect(r.Answer.Results).To(HaveLen(2))
}

func TestRecoveryAwaitsRunningTasks(t *testing.T) {
	g := NewWithT(t)
	s := recoverTwo(true)
	s.told(agentA, finished(1))
	effects := s.told(agentB, status(0, structs.TaskRunning, structs.TaskResult{}))
	g.Expect(effects).To(ContainElement(QueryAwait{Call: 1, Agent: agentB, Ref: lostRef(0)}))
	result := structs.TaskResult{Verdict: structs.Ran, Body: []byte("late")}
	r := reply(s.step(QueryAwaited{Call: 1, Agent: agentB, Ref: lostRef(0), Reply: structs.RunReply{Result: result}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobComplete))
}

func TestRecoveryVerdictsOfADeadHome(t *testing.T) {
	g := NewWithT(t)
	s := recoverTwo(true)
	waited := structs.TaskResult{Error: structs.Errorf(structs.CodeHomeFenced, structs.NotRun, "waited")}
	s.told(agentA, status(1, structs.TaskFenced, waited))
	r := reply(s.told(agentB))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Answer.Results[1].Verdict).To(Equal(structs.NotRun))
}

// While the home may live, nothing but a whole answer is final.
func TestRecoveryOfAnUnreachableHomeStaysOpen(t *testing.T) {
	g := NewWithT(t)
	s := recoverTwo(false)
	s.told(agentA, finished(1))
	r := reply(s.step(QueryFailed{Call: 1, Agent: agentB}))
	g.Expect(r.Error.Code).To(Equal(structs.CodeHomeLost))
	g.Expect(r.Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Error.RetryAfter).NotTo(BeZero())
}

// What was refused because this home is fenced is not placed again, for another
// entry may have told the caller that it has not run.
func TestFencedHomePlacesNothingAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.service(agentA)
	s.step(SubmitCalled{Call: 1, Spec: spec(1), Wait: true})
	s.service(agentB)
	effects := s.refused(agentA, refOf(1, 0, 1), structs.CodeHomeFenced)
	g.Expect(runs(effects)).To(BeEmpty())
	g.Expect(reply(effects).Answer.Results[0].Verdict).To(Equal(structs.NotRun))
}
