package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// crashed delivers the report of a crash of the agent's server, run ms after it had
// started task 0 of the job.
func (h *harness) crashed(agent dispatch.SessionID, incarnation int64, job string, ms int) {
	st := h.state(idle)
	st.Ready = false
	st.Crashes = []session.Crash{{Run: incarnation, Tasks: []session.LostTask{{Job: job, Queue: "holds", Ran: ms, Started: true}}}}
	h.step(dispatch.PollReplied{ID: agent, Reply: session.PollReply{State: st}})
}

// crashUnder crashes each server that gets the job's task, until the job is answered
// or refused, and returns how many there were.
func (h *harness) crashUnder(job string, ms, agents int) int {
	crashes := 0
	for ; crashes < agents && len(effects[dispatch.Answered](h))+len(effects[dispatch.Refused](h)) == 0; crashes++ {
		counts, ids := h.placed()
		h.Expect(counts).To(HaveLen(1))
		for agent := range counts {
			h.crashed(agent, 1, job, ms)
			h.report(agent, serverState{capacity: 20_000, slowness: 1000}, ids[0], session.Lost)
		}
	}
	return crashes
}

func newHarnessWithAgents(t *testing.T, n int) *harness {
	h := newHarness(t)
	for id := range n {
		h.agent(dispatch.SessionID(id+1), idle)
	}
	return h
}

// Guards against a task that crashes one server after the other: it was lost like any
// task of a crashed server, and placed again up to maxPlacements times.
func TestTaskThatCrashesServersAtItsStartIsGivenUpAtSecondCrash(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.submit("deadly", 1, 1000, 60*time.Millisecond)
	h.Expect(h.crashUnder("deadly", 8, 12)).To(Equal(2))
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Failed)))
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
}

// Guards against a task that crashes its servers late after its start, and therefore
// looks like one that was there by chance.
func TestTaskThatCrashesServersLateIsGivenUp(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.submit("deadly", 1, 1000, 60*time.Millisecond)
	h.Expect(h.crashUnder("deadly", 300, 12)).To(Equal(4))
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Failed)))
}

// Guards against an unbounded number of starts of a task whose servers crash without a
// report, because their agents are lost with them.
func TestTaskLostTooOftenIsNotPlacedAgain(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.submit("job", 1, 1000, 60*time.Millisecond)
	losses := 0
	for ; len(effects[dispatch.Refused](h)) == 0; losses++ {
		counts, ids := h.placed()
		for agent := range counts {
			h.report(agent, serverState{capacity: 20_000, slowness: 1000}, ids[0], session.Lost)
		}
	}
	h.Expect(losses).To(Equal(4))
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
}

// A task that has run long before its server crashed twice was there by chance.
func TestBystanderOfTwoCrashesIsPlacedAgain(t *testing.T) {
	h := newHarnessWithAgents(t, 4)
	h.submit("bystander", 1, 1000, 600*time.Millisecond)
	for range 2 {
		counts, ids := h.placed()
		for agent := range counts {
			h.crashed(agent, 1, "bystander", 250)
			h.report(agent, serverState{capacity: 20_000, slowness: 1000}, ids[0], session.Lost)
		}
	}
	counts, _ := h.placed()
	h.Expect(counts).To(HaveLen(1), "a third server got it")
}

// Guards against a count of crashes that ends with the submission: agents tell every
// entry which tasks their server had started, whoever placed them.
func TestJobSubmittedAgainIsNotStartedAfterItsTaskCrashedServers(t *testing.T) {
	h := newHarnessWithAgents(t, 4)
	h.crashed(1, 1, "deadly", 8)
	h.crashed(2, 1, "deadly", 9)
	h.submit("deadly", 1, 1000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Failed)))
	h.Expect(effects[dispatch.Order](h)).To(BeEmpty())

	h.submit("deadly", 1, 1000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(ConsistOf(HaveField("Status", dispatch.Failed)), "and the answer is retained")
}

// A new session reports recent crashes again.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	h := newHarnessWithAgents(t, 4)
	for range 3 {
		h.crashed(1, 1, "job", 8)
	}
	h.submit("job", 1, 1000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Answered](h)).To(BeEmpty())
}

// Guards against a job that is shown as failed although its task was not on the servers
// that crashed: their agents had sent the start, and got no reply.
func TestTaskWhoseStartsWereNotAcknowledgedIsNotFailed(t *testing.T) {
	h := newHarnessWithAgents(t, 12)
	h.submit("job", 1, 1000, 60*time.Millisecond)
	crashes := 0
	for ; len(effects[dispatch.Refused](h)) == 0; crashes++ {
		counts, ids := h.placed()
		h.Expect(counts).To(HaveLen(1))
		for agent := range counts {
			st := h.state(idle)
			st.Crashes = []session.Crash{{Run: 1, Tasks: []session.LostTask{{Job: "job", Queue: "holds"}}}}
			h.step(dispatch.PollReplied{ID: agent, Reply: session.PollReply{State: st}})
			h.report(agent, serverState{capacity: 20_000, slowness: 1000}, ids[0], session.Lost)
		}
	}
	h.Expect(crashes).To(Equal(4))
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
	h.submit("job", 1, 1000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)), "nor started again")
}
