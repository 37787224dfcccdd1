package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// evacuate delivers evacuations with a poll of the session.
func (h *harness) evacuate(sessionID uint64, version int64, zones ...string) {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: sessionID, Request: session.PollRequest{
		Echo: h.reading(), Evacuation: session.Evacuation{Version: version, Zones: zones},
	}})
}

func (h *harness) pollOutcomes() map[session.Outcome]int {
	outcomes := make(map[session.Outcome]int)
	for _, p := range effects[taskrunner.ReplyPoll](h) {
		for _, r := range p.Reply.Reports {
			outcomes[r.Outcome]++
		}
	}
	return outcomes
}

func TestEvacuationReturnsQueuedTasksAndLetsStartedOnesEnd(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "running", 15_000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
	h.order(1, h.reading(), "queued", 15_000, 2)
	h.evacuate(1, 5, "zone-a")
	h.Expect(h.pollOutcomes()).To(Equal(map[session.Outcome]int{session.NotStarted: 1}))
	h.Expect(effects[taskrunner.StopTask](h)).To(BeEmpty(), "what runs ends by itself")
	h.Expect(effects[taskrunner.ReplyPoll](h)[0].Reply.State.Ready).To(BeFalse())
}

// An entry that is cut off from the store and its peers, or was frozen, does not know of
// the evacuation. Its session is alive, and another entry has informed the agent.
func TestOrderOfEntryWithOldViewStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.open(2, 22)
	h.evacuate(2, 5, "zone-a")
	h.order(1, h.reading(), "late", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.evacuate(1, 4) // the old view says that no zone is evacuated
	h.order(1, h.reading(), "later", 1000, 2)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

func TestEvacuationThatComesWithAnOrderAppliesToIt(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.OrderCalled{Call: 9, Session: 1, Request: session.OrderRequest{
		Echo: h.reading(), Evacuation: session.Evacuation{Version: 5, Zones: []string{"zone-a"}},
		Start: []session.JobPart{{Job: "job", Service: "booking", CPU: 1000, Estimate: time.Second, StartWithin: time.Second, Tasks: []session.Placement{{ID: 1, Attempt: 1}}}},
	}})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// A start without a reply is sent again; during an evacuation it is stopped instead.
func TestUnansweredStartIsNotRepeatedDuringEvacuation(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "job", 1000, 1)
	h.evacuate(1, 5, "zone-a")
	h.step(taskrunner.StartReplied{Key: runKey("job", 0), Result: taskrunner.StartUnknown, Reason: "timed out"})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.Expect(effects[taskrunner.StopTask](h)).To(HaveLen(1))
}

func TestTasksStartAgainWhenZoneIsRestored(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.evacuate(1, 5, "zone-a", "zone-b")
	h.evacuate(1, 6, "zone-b")
	h.order(1, h.reading(), "job", 1000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}

// An agent that has just started is told by the first entry that opens a session, before
// any order, and passes it on to entries that open one later.
func TestStartedAgentLearnsOfEvacuationWithItsFirstSession(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	h.heartbeat(1, false)
	h.answerRenewal(id, nil)
	known := session.Evacuation{Version: 7, Zones: []string{"zone-a"}}
	h.step(taskrunner.HelloCalled{Call: 1, Session: 1, Request: session.HelloRequest{Entry: "entry-1", Incarnation: 11, Evacuation: known}})
	h.Expect(effects[taskrunner.ReplyHello](h)[0].Reply.State.Ready).To(BeFalse())
	h.step(taskrunner.HelloCalled{Call: 2, Session: 2, Request: session.HelloRequest{Entry: "entry-2", Incarnation: 22}})
	h.Expect(effects[taskrunner.ReplyHello](h)[0].Reply.Evacuation).To(Equal(known))
}

// A zone that is back with cold servers got its full load at once, and all of it was late.
func TestColdServerIsTakenUpStepByStep(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	heartbeat := func(seq int64, cold time.Duration) {
		h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{
			ID: "server-1", Incarnation: incarnation, Seq: seq, Service: "booking", CPU: 20_000, MemMB: 1000, Cold: cold,
		}})
	}
	free := func() int {
		h.evacuate(1, 1)
		h.advance(taskrunner.DefaultPollWait)
		h.step(taskrunner.Ticked{})
		return effects[taskrunner.ReplyPoll](h)[0].Reply.State.FreeCPU
	}
	heartbeat(2, 4*time.Second)
	h.Expect(free()).To(BeNumerically("~", 5_000, 800))
	h.advance(200 * time.Millisecond)
	heartbeat(3, 2*time.Second)
	h.Expect(free()).To(BeNumerically(">", 5_800))
	heartbeat(4, 0)
	h.Expect(free()).To(Equal(20_000))
}

// Heartbeats come late, and a server may be replaced while it is cold.
func TestWarmUpFollowsHeartbeatsAndIncarnations(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	freeAfterHeartbeat := func(incarnation, seq int64, cold time.Duration) int {
		h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{
			ID: "server-1", Incarnation: incarnation, Seq: seq, Service: "booking", CPU: 20_000, MemMB: 1000, Cold: cold,
		}})
		h.order(1, h.reading(), "none", 1)
		return effects[taskrunner.ReplyOrder](h)[0].Reply.State.FreeCPU
	}
	h.Expect(freeAfterHeartbeat(incarnation, 2, 4*time.Second)).To(BeNumerically("~", 5_000, 100))
	h.advance(400 * time.Millisecond)
	h.Expect(freeAfterHeartbeat(incarnation, 3, 100*time.Millisecond)).To(BeNumerically(">", 19_000))
	h.advance(200 * time.Millisecond)
	h.Expect(freeAfterHeartbeat(incarnation, 4, 100*time.Millisecond)).To(BeNumerically(">", 19_000), "a little later than predicted")
	h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: incarnation + 1, Clock: time.Second})
	h.Expect(freeAfterHeartbeat(incarnation+1, 1, 2*time.Second)).To(BeNumerically("~", 5_000, 100), "a new incarnation")
}

// pollUnheard polls the session for an entry that has not heard the operators' topic for the
// time, or hears it if that is zero.
func (h *harness) pollUnheard(sessionID uint64, unheard time.Duration) {
	h.lastCall++
	h.step(taskrunner.PollCalled{Call: h.lastCall, Session: sessionID, Request: session.PollRequest{Echo: h.reading(), TopicUnheard: unheard}})
}

// readTopic delivers a reply to a read of the operators' topic.
func (h *harness) readTopic(next int64, records ...evacuation.Record) {
	h.step(taskrunner.TopicRead{Batch: evacuation.Batch{Records: records, Next: next}})
}

// Guards against starts in an evacuated zone while all entries are cut off from the store:
// nobody told the agent.
func TestAgentReadsTheTopicWhileNoEntryHearsIt(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.evacuate(1, 5) // the version that the entry has read
	h.pollUnheard(1, 2100*time.Millisecond)
	h.Expect(effects[taskrunner.WatchTopic](h)).To(Equal([]taskrunner.WatchTopic{{From: 5}}), "not the configuration, which is older")
	h.order(1, h.reading(), "before", 15_000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1), "work goes on while no reply has come")
	h.order(1, h.reading(), "queued", 15_000, 2)
	h.readTopic(6, evacuation.Record{Zone: "zone-a", Evacuated: true, Offset: 5})
	h.order(1, h.reading(), "after", 1000, 3)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
	h.pollUnheard(1, 2300*time.Millisecond)
	h.Expect(effects[taskrunner.WatchTopic](h)).To(BeEmpty(), "a second reader")
	h.Expect(h.pollOutcomes()).To(Equal(map[session.Outcome]int{session.NotStarted: 2}))
}

// Guards against a price and a load on the store that nothing is gained from: an agent that
// reads although an entry in session hears the topic, or that starts nothing anyway.
func TestAgentReadsTheTopicOnlyWhileNeeded(t *testing.T) {
	const unheard = 3 * time.Second
	h := newHarness(t)
	h.makeReady()
	h.open(2, 22)
	h.pollUnheard(1, unheard)
	h.Expect(effects[taskrunner.WatchTopic](h)).To(BeEmpty(), "the other entry hears it")
	h.pollUnheard(2, unheard)
	h.Expect(effects[taskrunner.WatchTopic](h)).To(HaveLen(1))
	h.pollUnheard(1, 0)
	h.Expect(effects[taskrunner.UnwatchTopic](h)).To(HaveLen(1))
	h.step(taskrunner.SessionClosed{Session: 1})
	h.Expect(effects[taskrunner.WatchTopic](h)).To(HaveLen(1), "the entry that heard it has gone")
	h.step(taskrunner.SessionClosed{Session: 2})
	h.Expect(effects[taskrunner.UnwatchTopic](h)).To(BeEmpty(), "the next entry may be cut off too")
	h.open(3, 33)
	h.Expect(effects[taskrunner.UnwatchTopic](h)).To(HaveLen(1), "it hears the topic")
	h.step(taskrunner.SessionClosed{Session: 3})
	h.Expect(effects[taskrunner.WatchTopic](h)).To(BeEmpty(), "the view is current")

	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: 4, Request: session.HelloRequest{Entry: "entry", Incarnation: 44, TopicUnheard: unheard}})
	h.Expect(effects[taskrunner.WatchTopic](h)).To(HaveLen(1), "said by the first message")
	h.step(taskrunner.LeaveRequested{})
	h.Expect(effects[taskrunner.UnwatchTopic](h)).To(HaveLen(1), "the agent leaves")
}

// Guards against starts in an evacuated zone by the orders of a first session whose entry has
// an old view, before the agent's own read has a reply.
func TestAgentWithoutSessionsReadsTheTopic(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.SessionClosed{Session: 1})
	h.advance(evacuation.StaleAfter)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.WatchTopic](h)).To(BeEmpty())
	h.advance(time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.Expect(effects[taskrunner.WatchTopic](h)).To(HaveLen(1))
}

// Guards against entries that go on ordering tasks in an evacuated zone, or hold jobs that
// fit nowhere else, because only the agents know; and against echoes of what they sent.
func TestAgentTellsItsEntriesWhatItHasRead(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	reply := func() session.Evacuation {
		h.advance(taskrunner.DefaultPollWait)
		h.step(taskrunner.Ticked{})
		replies := effects[taskrunner.ReplyPoll](h)
		h.Expect(replies).To(HaveLen(1))
		return replies[0].Reply.Evacuation
	}
	h.evacuate(1, 5)
	h.Expect(reply()).To(BeZero(), "the entry has sent it")
	h.pollUnheard(1, 3*time.Second)
	h.readTopic(6, evacuation.Record{Zone: "zone-b", Evacuated: true, Offset: 5})
	h.Expect(reply()).To(Equal(session.Evacuation{Version: 6, Zones: []string{"zone-b"}}), "of another zone than the agent's")
	h.pollUnheard(1, 3*time.Second)
	h.Expect(reply()).To(BeZero(), "the session has carried it")
}
