package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// heartbeatWith reports a capacity of the running server.
func (h *harness) heartbeatWith(seq int64, cpu, memMB int) {
	h.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{
		ID: "server-1", Incarnation: incarnation, Seq: seq, Service: "booking", CPU: cpu, MemMB: memMB,
	}})
}

// Guards against entries that place tasks by a capacity that has changed since the
// server was registered.
func TestChangedCapacityIsReportedToEntriesAtOnce(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.pollReports(1)
	for i, cpu := range []int{8_000, 20_000} {
		h.heartbeatWith(int64(2+i), cpu, 1000)
		replies := effects[taskrunner.ReplyPoll](h)
		h.Expect(replies).To(HaveLen(1))
		h.Expect(replies[0].Reply.State.Identity).To(HaveField("Capacity", cpu))
		h.Expect(replies[0].Reply.State.FreeCPU).To(Equal(cpu))
		h.pollReports(1)
	}
	h.heartbeatWith(4, 20_000, 1000)
	h.Expect(effects[taskrunner.ReplyPoll](h)).To(BeEmpty(), "nothing has changed")
}

// Guards against an agent that restarts and starts tasks by the capacity that its
// server had before it shrank: the record of the server is written again.
func TestShrunkCapacityIsStoredForRestartedAgent(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.heartbeatWith(2, 8_000, 1000)
	changed := effects[taskrunner.ServerChanged](h)
	h.Expect(changed).To(ConsistOf(HaveField("Info.CPU", 8_000)))

	restarted := newHarness(t)
	restarted.step(taskrunner.Ticked{})
	restarted.answerRenewal(restarted.newestRenewalID(), nil)
	restarted.step(taskrunner.RecordLoaded{Server: changed[0].Info})
	restarted.open(1, 11)
	restarted.order(1, restarted.reading(), "job", 10_000, 1)
	restarted.Expect(effects[taskrunner.StartTask](restarted)).To(BeEmpty())
}

// Guards against tasks that wait until their latest start time at a server that has
// shrunk below their size, and against starts over the new capacity. A task that is
// being stopped still holds its capacity.
func TestShrunkServerStartsNothingOverItsCapacity(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.order(1, h.reading(), "running", 12_000, 1)
	h.acceptStart(runKey("running", 0))
	h.order(1, h.reading(), "large", 9_000, 2)
	h.order(1, h.reading(), "small", 6_000, 3)
	h.acceptStart(runKey("small", 0))
	h.order(1, h.reading(), "waiting", 4_000, 4)
	h.heartbeatWith(2, 8_000, 1000)
	h.Expect(h.pollReports(1)).To(ConsistOf(And(HaveField("ID", uint64(2)), HaveField("Outcome", session.NotStarted))))

	h.advance(20 * time.Millisecond)
	h.answerRenewal(0, []taskrunner.RunningRow{{Key: runKey("small", 0)}}, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty(), "6 of 8 cores are in use")
	h.answerRenewal(0, nil, taskrunner.EndRow{Index: 2, Key: runKey("small", 0), Outcome: taskrunner.EndDone})
	h.Expect(effects[taskrunner.StartTask](h)).To(ConsistOf(HaveField("Key", runKey("waiting", 0))))
}

// Guards against a room that is refused until the server restarts.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.heartbeatWith(2, 1_000, 1000)
	h.heartbeatWith(3, 20_000, 1000)
	h.order(1, h.reading(), "job", 15_000, 1)
	h.Expect(effects[taskrunner.StartTask](h)).To(HaveLen(1))
}
