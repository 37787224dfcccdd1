package taskrunner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// labeledServer is the server of the harness with the label a.
func labeledServer() taskrunner.ServerInfo {
	return taskrunner.ServerInfo{ID: "server-1", Incarnation: incarnation, Seq: 2, Service: "booking", CPU: 20_000, MemMB: 1000, Labels: []string{"a", "rack-1"}}
}

// successor is the next incarnation of labeledServer.
func successor(id string, change func(*taskrunner.ServerInfo)) taskrunner.ServerInfo {
	info := labeledServer()
	info.ID, info.Incarnation, info.Seq = id, incarnation+1, 1
	change(&info)
	return info
}

func unchanged(*taskrunner.ServerInfo) {}

// newLabeledHarness returns a harness whose server has the label a.
func newLabeledHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.ServerReported{Info: labeledServer()})
	return h
}

// orderPart orders one task of the part.
func (h *harness) orderPart(sessionID uint64, reading session.ClockReading, part session.JobPart, tasks ...session.Placement) {
	part.Service, part.MemMB, part.Estimate, part.StartWithin = "booking", 1, 100*time.Millisecond, 300*time.Millisecond
	part.Tasks = tasks
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: sessionID, Request: session.OrderRequest{Echo: reading, Start: []session.JobPart{part}}})
}

// queueTask fills the server and queues the task with the ID 2.
func (h *harness) queueTask(part session.JobPart) {
	h.order(1, h.reading(), "running", 15_000, 1)
	h.acceptStart(runKey("running", 0))
	part.Job, part.CPU = "waiting", 10_000
	h.orderPart(1, h.reading(), part, session.Placement{ID: 2})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// answerSuccessor replies to a lease renewal as the next incarnation of the server.
func (h *harness) answerSuccessor() {
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: incarnation + 1, Clock: h.clock})
}

// pollSuccessor polls as an entry that knows the clock of the next incarnation, and returns
// the reports and the starts.
func (h *harness) pollSuccessor() ([]session.Report, []taskrunner.StartTask) {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: 1, Request: session.PollRequest{Echo: session.ClockReading{Run: incarnation + 1, Clock: h.clock}}})
	starts := effects[taskrunner.StartTask](h)
	var reports []session.Report
	for _, r := range effects[taskrunner.ReplyPoll](h) {
		reports = append(reports, r.Reply.Reports...)
	}
	return reports, starts
}

func isReturned(id uint64) OmegaMatcher {
	return And(HaveField("ID", id), HaveField("Outcome", session.NotStarted), HaveField("Reason", Not(BeEmpty())))
}

// Guards against a queued task that starts on a server that came back without what the task
// needs, or waits there until its latest start time.
func TestQueuedTaskIsReturnedByUnsuitableSuccessorOfServer(t *testing.T) {
	for change, apply := range map[string]func(*taskrunner.ServerInfo){
		"label":   func(s *taskrunner.ServerInfo) { s.Labels = []string{"b", "rack-1"} },
		"labels":  func(s *taskrunner.ServerInfo) { s.Labels = nil },
		"service": func(s *taskrunner.ServerInfo) { s.Service = "billing" },
		"size":    func(s *taskrunner.ServerInfo) { s.CPU = 9_000 },
		"memory":  func(s *taskrunner.ServerInfo) { s.MemMB = 0 },
	} {
		for _, id := range []string{"server-1", "server-2"} {
			for _, heartbeatFirst := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/heartbeat_first=%t", change, id, heartbeatFirst), func(t *testing.T) {
					h := newLabeledHarness(t)
					h.queueTask(session.JobPart{RequiredLabel: "a"})
					if !heartbeatFirst {
						h.answerSuccessor()
					}
					h.step(taskrunner.ServerReported{Info: successor(id, apply)})
					h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
					if heartbeatFirst {
						h.answerSuccessor() // the report takes effect when the server confirms it
					}
					h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
					h.Expect(h.pollReports(1)).To(ContainElement(isReturned(2)), "at once")
					_, starts := h.pollSuccessor()
					h.Expect(starts).To(BeEmpty())
				})
			}
		}
	}
}

// Guards against queued tasks that are returned by a successor that suits them, those of
// earlier builds included, which state no requirements.
func TestQueuedTaskStartsOnSuitableSuccessorOfServer(t *testing.T) {
	for name, test := range map[string]struct {
		part  session.JobPart
		apply func(*taskrunner.ServerInfo)
	}{
		"same label":     {session.JobPart{RequiredLabel: "a"}, unchanged},
		"no label":       {session.JobPart{}, func(s *taskrunner.ServerInfo) { s.Labels = []string{"b"} }},
		"smaller server": {session.JobPart{RequiredLabel: "a", MaxPerServer: 1}, func(s *taskrunner.ServerInfo) { s.CPU = 10_000 }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLabeledHarness(t)
			h.queueTask(test.part)
			h.step(taskrunner.ServerReported{Info: successor("server-2", test.apply)})
			h.answerSuccessor()
			reports, starts := h.pollSuccessor()
			h.Expect(reports).NotTo(ContainElement(HaveField("ID", uint64(2))))
			h.Expect(starts).To(ConsistOf(And(HaveField("Key", runKey("waiting", 0)), HaveField("ServerID", "server-2"))))
		})
	}
}

// Guards against an entry with an old view of the server, whose task starts without the
// label that it needs.
func TestTaskWithoutItsLabelIsRefused(t *testing.T) {
	h := newLabeledHarness(t)
	h.orderPart(1, h.reading(), session.JobPart{Job: "job", CPU: 1000, RequiredLabel: "b"}, session.Placement{ID: 1})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.Expect(h.pollReports(1)).To(ConsistOf(And(isReturned(1), HaveField("Reason", And(ContainSubstring(`"b"`), ContainSubstring(`["a" "rack-1"]`))))))
}

// Guards against another copy of an unanswered start that goes to the successor of the
// server, which lacks the label.
func TestStartIsNotSentAgainToUnsuitableSuccessorOfServer(t *testing.T) {
	for _, result := range []taskrunner.StartResult{taskrunner.StartUnknown, taskrunner.StartRefused, taskrunner.StartNumberUsed} {
		t.Run(result.String(), func(t *testing.T) {
			h := newLabeledHarness(t)
			h.orderPart(1, h.reading(), session.JobPart{Job: "job", CPU: 1000, RequiredLabel: "a"}, session.Placement{ID: 1})
			h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
			h.step(taskrunner.ServerReported{Info: successor("server-1", func(s *taskrunner.ServerInfo) { s.Labels = []string{"b"} })})
			h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: result})
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
		})
	}
}

// Guards against a start that reaches a successor of the server with the same ID and other
// labels before the agent has noticed: while the server does not answer, tasks that need a
// label wait.
func TestTaskThatNeedsLabelWaitsWhileServerIsSilent(t *testing.T) {
	silent := 2*taskrunner.DefaultRenewalWait + 21*time.Millisecond
	for name, interrupt := range map[string]func(h *harness){
		"no answer": func(h *harness) { h.advance(silent) },
		"renewal failed": func(h *harness) {
			h.step(taskrunner.RenewReplied{Reason: "connection reset"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLabeledHarness(t)
			reading := h.reading()
			interrupt(h)
			h.orderPart(1, reading, session.JobPart{Job: "free", CPU: 1000}, session.Placement{ID: 1})
			h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1), "a task without a label does not wait")
			h.orderPart(1, reading, session.JobPart{Job: "bound", CPU: 1000, RequiredLabel: "a"}, session.Placement{ID: 2})
			h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
			h.answerNextRenewal([]taskrunner.RunningRow{{Key: runKey("free", 0)}})
			h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Key", runKey("bound", 0))))
		})
	}
}

// Guards against the tasks of a job on one server that are more than it allows: more in one
// order, or at different entries, and those that are being stopped count.
func TestTasksOfJobOnOneServerAreBounded(t *testing.T) {
	h := newLabeledHarness(t)
	h.open(2, 12)
	part := session.JobPart{Job: "job", CPU: 1000, MaxPerServer: 2}
	h.orderPart(1, h.reading(), part, session.Placement{ID: 1, Index: 0}, session.Placement{ID: 2, Index: 1}, session.Placement{ID: 3, Index: 2})
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(2))
	h.Expect(h.pollReports(1)).To(ConsistOf(isReturned(3)))

	h.acceptStart(runKey("job", 0))
	h.acceptStart(runKey("job", 1))
	h.step(taskrunner.SessionClosed{Session: 1})
	h.orderPart(2, h.reading(), part, session.Placement{ID: 1, Index: 2})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "both tasks of the first entry may be running")
	h.Expect(h.pollReports(2)).To(ConsistOf(isReturned(1)))

	h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("job", 1)}}, taskrunner.EndRow{Index: 1, Key: runKey("job", 0), Outcome: taskrunner.EndStopped})
	h.orderPart(2, h.reading(), part, session.Placement{ID: 2, Index: 2})
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}

// Guards against a queued task that starts over the bound, because an entry of an earlier
// build, which does not state it, has placed others of the job since.
func TestQueuedTaskIsReturnedWhenItsJobHasReachedItsBound(t *testing.T) {
	h := newLabeledHarness(t)
	h.queueTask(session.JobPart{MaxPerServer: 1})
	h.orderPart(1, h.reading(), session.JobPart{Job: "waiting", CPU: 1000}, session.Placement{ID: 3, Index: 1})
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.Expect(h.pollReports(1)).To(ContainElement(isReturned(2)))
}

// Guards against tasks that are lost with a newer configuration: it holds for jobs that are
// submitted under it, and tasks that an earlier version has placed run on.
func TestQueuedTaskOutlivesVersionOfConfiguration(t *testing.T) {
	h := newLabeledHarness(t)
	h.queueTask(session.JobPart{ConfigVersion: 7})
	h.step(taskrunner.ConfigReceived{Config: session.Config{Version: 8, Text: []byte("without the queue")}})
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Key", runKey("waiting", 0))))
}

// Guards against entries, and restarted agents, that go by the labels that the server had
// before: tasks would be placed and returned again and again.
func TestChangedLabelsAreReportedAndStored(t *testing.T) {
	h := newLabeledHarness(t)
	h.pollReports(1)
	h.pollReports(1)
	info := labeledServer()
	info.Seq, info.Labels = 3, []string{"b"}
	h.step(taskrunner.ServerReported{Info: info})
	h.Expect(effects[taskrunner.ServerChanged](h)).To(ConsistOf(HaveField("Info.Labels", []string{"b"})))
	replies := effects[taskrunner.ReplyPoll](h)
	h.Expect(replies).To(HaveLen(1))
	h.Expect(replies[0].Reply.State.Identity).To(HaveField("Labels", []string{"b"}))
}

// Guards against an agent that was suspended and takes a reply that waited for it as proof
// that its server is still the same.
func TestReplyReceivedLateDoesNotProveThatServerIsTheSame(t *testing.T) {
	h := newLabeledHarness(t)
	reading := h.reading()
	h.step(taskrunner.Ticked{})
	h.advance(taskrunner.DefaultRenewalWait + 25*time.Millisecond)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.advance(200 * time.Millisecond)
	h.answerRenewal(id, nil)
	h.orderPart(1, reading, session.JobPart{Job: "job", CPU: 1000, RequiredLabel: "a"}, session.Placement{ID: 1})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.answerNextRenewal(nil)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}
