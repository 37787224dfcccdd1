package coordinator

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func otherHomeRef(index int) structs.TaskRef {
	return structs.TaskRef{Task: structs.TaskID{Job: structs.JobID{Home: otherHome, Seq: 9}, Index: index}, Attempt: 1}
}

func taskStatus(index int, phase structs.TaskPhase, result structs.TaskResult) structs.TaskStatus {
	return structs.TaskStatus{Task: otherHomeRef(index).Task, Attempt: 1, Phase: phase, JobTasks: 2, Result: result}
}

func doneStatus(index int) structs.TaskStatus {
	return taskStatus(index, structs.TaskDone, structs.TaskResult{Verdict: structs.Ran, Body: []byte("ok")})
}

// startRecovery starts the recovery of a job with two tasks while the service
// has two agents.
func startRecovery(dead bool) *harness {
	s := newHarness()
	s.addService(agentA, agentB)
	submitted := jobSpec(2)
	s.step(RecoverCalled{Call: 1, ID: otherHomeRef(0).Task.Job, Spec: &submitted, Dead: dead})
	return s
}

func (s *harness) replyQuery(agent structs.Incarnation, statuses ...structs.TaskStatus) []Effect {
	return s.step(QueryReplied{Call: 1, Agent: agent, Reply: structs.SettleReply{Statuses: statuses}})
}

func TestRecoveryReturnsCompleteAnswer(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(false)
	g.Expect(s.replyQuery(agentA, doneStatus(1))).To(BeEmpty())
	r := findReply(s.replyQuery(agentB, doneStatus(0)))
	g.Expect(r.Answer.State).To(Equal(structs.JobComplete))
	g.Expect(r.Answer.Results).To(HaveLen(2))
}

func TestRecoveryAwaitsRunningTasks(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(true)
	s.replyQuery(agentA, doneStatus(1))
	effects := s.replyQuery(agentB, taskStatus(0, structs.TaskRunning, structs.TaskResult{}))
	g.Expect(effects).To(ContainElement(QueryAwait{Call: 1, Agent: agentB, Ref: otherHomeRef(0)}))
	result := structs.TaskResult{Verdict: structs.Ran, Body: []byte("late")}
	r := findReply(s.step(QueryAwaitReplied{Call: 1, Agent: agentB, Ref: otherHomeRef(0), Reply: structs.RunReply{Result: result}}))
	g.Expect(r.Answer.State).To(Equal(structs.JobComplete))
}

func TestRecoveryVerdictsForDeadHome(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(true)
	queuedAtFence := structs.TaskResult{Error: structs.Errorf(structs.CodeHomeFenced, structs.NotRun, "queued when its home was fenced")}
	s.replyQuery(agentA, taskStatus(1, structs.TaskFenced, queuedAtFence))
	r := findReply(s.replyQuery(agentB))
	g.Expect(r.Answer.State).To(Equal(structs.JobFailed))
	g.Expect(r.Answer.Results[0].Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Answer.Results[1].Verdict).To(Equal(structs.NotRun))
}

// Until the home is known to be dead, only a complete answer is final.
func TestRecoveryForUnreachableHomeIsNotFinal(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(false)
	s.replyQuery(agentA, doneStatus(1))
	r := findReply(s.step(QueryFailed{Call: 1, Agent: agentB}))
	g.Expect(r.Error.Code).To(Equal(structs.CodeHomeLost))
	g.Expect(r.Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Error.RetryAfter).NotTo(BeZero())
}

// A task that was refused because this home is fenced is not placed again:
// another entry may have told the caller that it has not run.
func TestTaskRefusedByFenceIsNotPlacedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(SubmitCalled{Call: 1, Spec: jobSpec(1), Wait: true})
	s.addService(agentB)
	effects := s.replyRefused(agentA, taskRef(1, 0, 1), structs.CodeHomeFenced)
	g.Expect(placements(effects)).To(BeEmpty())
	g.Expect(findReply(effects).Answer.Results[0].Verdict).To(Equal(structs.NotRun))
}

// An agent that was dropped because it did not answer may still have the result of the
// other task. A failed answer would be final, and the same job could later be reported
// as complete.
func TestRecoveryIsNotFinalWhenAgentIsLost(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(true)
	s.replyQuery(agentA, doneStatus(1))
	r := s.untilReply(g)
	g.Expect(r.Answer).To(BeNil())
	g.Expect(r.Error.Code).To(Equal(structs.CodeHomeLost))
	g.Expect(r.Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Error.RetryAfter).NotTo(BeZero())
}

// untilReply lets time pass without any message until the recovery replies.
func (s *harness) untilReply(g Gomega) *Reply {
	for range 400 {
		s.advance(TickInterval)
		if r := findReply(s.step(Ticked{})); r != nil {
			return r
		}
	}
	g.Expect(false).To(BeTrue(), "no reply within %s", 400*TickInterval)
	return nil
}

// A recovery waited, until its caller gave up, for the outcome of a task at an agent that
// had been dropped: a message that is still queued for an agent ends with its link.
func TestRecoveryEndsWhenAgentOfAwaitedTaskIsLost(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(true)
	s.replyQuery(agentA, doneStatus(1))
	s.replyQuery(agentB, taskStatus(0, structs.TaskRunning, structs.TaskResult{}))
	r := s.untilReply(g)
	g.Expect(r.Answer).To(BeNil(), "the agent may still report the outcome")
	g.Expect(r.Error.Code).To(Equal(structs.CodeHomeLost))
	g.Expect(r.Error.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(r.Error.RetryAfter).NotTo(BeZero())
}

// As above, if the agent was dropped before its records arrived.
func TestRecoveryDoesNotAwaitTaskOfLostAgent(t *testing.T) {
	g := NewWithT(t)
	s := startRecovery(true)
	var effects []Effect
	for range 400 {
		s.advance(TickInterval).step(AgentStateReceived{Agent: agentA, State: s.nextState(agentA)})
		if effects = s.step(Ticked{}); slices.Contains(effects, Effect(DropAgent{Agent: agentB})) {
			break
		}
	}
	g.Expect(effects).To(ContainElement(DropAgent{Agent: agentB}))
	s.replyQuery(agentB, taskStatus(0, structs.TaskRunning, structs.TaskResult{}))
	r := findReply(s.replyQuery(agentA, doneStatus(1)))
	g.Expect(r).NotTo(BeNil())
	g.Expect(r.Answer).To(BeNil())
	g.Expect(r.Error.Code).To(Equal(structs.CodeHomeLost))
	g.Expect(r.Error.Verdict).To(Equal(structs.MayHaveRun))
}
