package taskrunner_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

func (h *harness) hello(id uint64, req session.HelloRequest) session.HelloReply {
	h.lastCall++
	h.step(taskrunner.HelloCalled{Call: h.lastCall, Session: id, Request: req})
	replies := effects[taskrunner.ReplyHello](h)
	h.Expect(replies).To(HaveLen(1))
	return replies[0].Reply
}

// The configuration in each Hello filled the links of small entries after a power
// loss: polls waited behind it until the sessions that had just opened ended again.
func TestConfigIsOmittedFromHelloOnRequest(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	config := session.Config{Version: 7, Text: []byte("text")}
	h.step(taskrunner.ConfigReceived{Config: config})

	reply := h.hello(2, session.HelloRequest{Incarnation: 12, ConfigVersion: 3, OmitConfig: true})
	h.Expect(reply.Config).To(Equal(session.Config{}))
	h.Expect(reply.ConfigVersion).To(Equal(int64(7)))
	reply = h.hello(3, session.HelloRequest{Incarnation: 13})
	h.Expect(reply.Config).To(Equal(config), "an entry of an earlier build")
	h.Expect(h.runner.ConfigOutdated()).To(BeFalse())

	h.hello(4, session.HelloRequest{Incarnation: 14, ConfigVersion: 9, OmitConfig: true})
	h.Expect(h.runner.ConfigOutdated()).To(BeTrue())
	h.Expect(h.runner.Config()).To(Equal(config))
	h.step(taskrunner.ConfigReceived{Config: session.Config{Version: 9, Text: []byte("newer")}})
	h.Expect(h.runner.ConfigOutdated()).To(BeFalse())
}

// A step looks at each session, so idle ones cost little but not nothing.
func BenchmarkPollWithIdleSessions(b *testing.B) {
	for _, sessions := range []int{1, 8, 35} {
		b.Run(strconv.Itoa(sessions), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			m := taskrunner.New(taskrunner.Options{SessionTTL: time.Second, PollWait: 200 * time.Millisecond, Lease: time.Second})
			m.Step(now, taskrunner.RenewReplied{OK: true, ServerIncarnation: 1, Clock: time.Second})
			for i := range sessions {
				m.Step(now, taskrunner.HelloCalled{Session: uint64(i + 1), Request: session.HelloRequest{Incarnation: structs.Incarnation(i + 1)}})
			}
			for b.Loop() {
				m.Step(now, taskrunner.PollCalled{Session: 1})
			}
		})
	}
}

// A session that lasts for days must not keep each placement that was stopped after it
// had ended.
func TestStoppedPlacementsAreForgotten(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	for id := range uint64(20_000) {
		h.step(taskrunner.OrderCalled{Call: 1, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{id + 1}}})
	}
	h.Expect(h.runner.Dump(h.now).Sessions[0].Canceled).To(BeNumerically("<=", 5000))
	// The newest ones still keep a start that arrives late from running.
	h.order(1, h.reading(), "job", 1000, 20_000)
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// While renewals failed, a runner that waited for its next attempt was woken each ms.
func TestRunnerSleepsUntilNextRenewal(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	first := h.newestRenewalID()
	h.advance(30 * time.Millisecond)
	h.step(taskrunner.Ticked{}) // sends another without waiting for the first
	h.Expect(h.newestRenewalID()).NotTo(Equal(first))
	h.advance(15 * time.Millisecond)
	h.step(taskrunner.RenewReplied{ID: first, Reason: "refused"})
	h.advance(10 * time.Millisecond) // the second is overdue
	h.step(taskrunner.Ticked{})
	h.Expect(h.runner.NextWake()).To(BeTemporally(">", h.now))
}
