package taskrunner_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// report returns a report of the server at its present clock.
func (h *harness) report(seq int64, draining bool) taskrunner.ServerInfo {
	return taskrunner.ServerInfo{
		ID: "server-1", Incarnation: incarnation, Seq: seq, Clock: h.clock, Service: "booking", Draining: draining, CPU: 20_000, MemMB: 1000,
	}
}

// renew lets the server answer the next lease renewal, or the last one if none is due.
func (h *harness) renew() { h.answerRenewal(h.nextRenewalID(), nil) }

func (h *harness) nextRenewalID() uint64 {
	h.advance(10 * time.Millisecond)
	h.pollReports(1)
	if len(effects[taskrunner.RenewLease](h)) == 0 {
		h.advance(taskrunner.DefaultRenewalWait + 50*time.Millisecond)
		h.step(taskrunner.Ticked{})
	}
	return h.newestRenewalID()
}

// starts orders a task and reports whether it is started at once.
func (h *harness) starts(job string, id uint64) bool {
	h.pollReports(1)
	h.order(1, h.reading(), job, 1000, id)
	return len(effects[taskrunner.StartTask](h)) > 0
}

// Guards against an agent that is disabled until it restarts by one report of another
// writer: it took the report as a new incarnation of its server.
func TestReportOfUnknownServerDoesNotDisableAgent(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	other := taskrunner.ServerInfo{ID: "other", Incarnation: incarnation + 1, Seq: 1, Service: "unnamed", CPU: 20_000, MemMB: 1000}
	h.step(taskrunner.ServerReported{Info: other})
	h.answerRenewal(h.newestRenewalID(), nil)
	h.Expect(effects[taskrunner.LogEvent](h)).To(ContainElement(HaveField("Event", "report_refuted")))
	h.Expect(h.starts("job", 1)).To(BeTrue())
	h.Expect(h.runner.Server().ID).To(Equal("server-1"))
	h.heartbeat(2, true)
	h.Expect(h.runner.Server().Draining).To(BeTrue())
}

// Guards against a drain that is not noticed: a report with the server's own id and
// incarnation and a high sequence number made all later ones look late.
func TestHighSequenceNumberDoesNotHideDrain(t *testing.T) {
	for name, clocks := range map[string]bool{"with clock readings": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			send := func(seq int64, draining bool) {
				info := h.report(seq, draining)
				if !clocks {
					info.Clock = 0
				}
				h.step(taskrunner.ServerReported{Info: info})
				h.renew()
			}
			send(math.MaxInt64, false)
			h.Expect(h.starts("before", 1)).To(BeTrue())
			send(3, true)
			h.Expect(h.starts("after", 2)).To(BeFalse())
			h.Expect(h.runner.Server().Draining).To(BeTrue())
		})
	}
}

// Guards against a report that hides all later ones because it claims to be made in the
// future, by the server's clock.
func TestReportAheadOfServerClockIsRefuted(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	ahead := h.report(2, false)
	ahead.Clock += time.Hour
	ahead.CPU = 1
	h.step(taskrunner.ServerReported{Info: ahead})
	h.renew()
	h.Expect(h.runner.Server().CPU).To(Equal(20_000))
	h.step(taskrunner.ServerReported{Info: h.report(3, true)})
	h.renew()
	h.Expect(h.runner.Server().Draining).To(BeTrue())
}

// Guards against starts at a server after it was told that its drain is known, and
// against a delay of the drain until the lease is due to be renewed.
func TestStartsAreHeldWhileDrainIsVerified(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.advance(20 * time.Millisecond)
	h.step(taskrunner.ServerReported{Info: h.report(2, true)})
	id := h.newestRenewalID()
	h.Expect(effects[taskrunner.RenewLease](h)[0].Wait).To(BeZero())
	h.Expect(h.starts("job", 1)).To(BeFalse())
	h.answerRenewal(id, nil)
	h.Expect(h.runner.Server().Draining).To(BeTrue())
	h.Expect(effects[taskrunner.StartTask](h)).To(BeEmpty())
}

// Guards against an agent that does not notice a new incarnation of its server because
// it waits for the old one to confirm the report.
func TestNewIncarnationIsRegisteredWhenItAnswers(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	next := taskrunner.ServerInfo{ID: "server-2", Incarnation: incarnation + 1, Seq: 1, Clock: time.Second, Service: "booking", CPU: 8_000, MemMB: 1000}
	h.step(taskrunner.ServerReported{Info: next})
	renewal := effects[taskrunner.RenewLease](h)[0]
	h.Expect(renewal.ServerID).To(BeEmpty(), "the new server rejects calls that are addressed to the old one")
	h.Expect(h.starts("job", 1)).To(BeFalse(), "the new server may lack what the task needs")
	h.step(taskrunner.RenewReplied{ID: renewal.ID, OK: true, ServerIncarnation: incarnation + 1, Clock: 2 * time.Second})
	h.Expect(h.runner.Server().ID).To(Equal("server-2"))
	h.Expect(effects[taskrunner.ServerChanged](h)).To(HaveLen(1))
}

// Guards against an agent that addresses its calls to an id of another writer for as long
// as the incarnation runs.
func TestAgentRecoversFromReportUnderAnotherID(t *testing.T) {
	h := newHarness(t)
	h.step(taskrunner.Ticked{})
	id := h.newestRenewalID()
	wrong := h.report(1, false)
	wrong.ID = "other"
	h.step(taskrunner.ServerReported{Info: wrong})
	h.answerRenewal(id, nil)
	addressed := effects[taskrunner.RenewLease](h)
	h.Expect(addressed).To(HaveLen(1))
	h.Expect(addressed[0].ServerID).To(Equal("other"))
	h.step(taskrunner.RenewReplied{ID: addressed[0].ID, OtherServer: true})
	h.advance(50 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	open := effects[taskrunner.RenewLease](h)
	h.Expect(open).To(HaveLen(1))
	h.Expect(open[0].ServerID).To(BeEmpty())
	h.Expect(open[0].Until).To(BeZero(), "an unknown server gets no lease")
	h.answerRenewal(open[0].ID, nil)
	h.Expect(h.runner.Server().ID).To(BeEmpty())
	h.step(taskrunner.ServerReported{Info: h.report(2, false)})
	h.Expect(h.runner.Server().ID).To(Equal("server-1"))
}

// Guards against starts at a server that has left, after a report that it sent before, and
// against an agent that is disabled by another's deregistration of its server.
func TestOnlyLaterReportFollowsDeregistration(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.step(taskrunner.ServerReported{Info: h.report(2, false)})
	h.renew()
	h.advance(10 * time.Millisecond)
	before := h.report(3, false)
	h.renew()
	h.step(taskrunner.ServerLeft{ID: "server-1"})
	h.step(taskrunner.ServerReported{Info: before})
	h.renew()
	h.Expect(h.starts("before", 1)).To(BeFalse())
	h.step(taskrunner.ServerReported{Info: h.report(4, false)})
	h.renew()
	h.Expect(h.starts("after", 2)).To(BeTrue())
}

// Guards against reports of other writers that have a lasting effect: whatever they sent
// before, the next report of the server itself decides whether tasks start.
func TestReportsOfOthersHaveNoLastingEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.GomegaWithT = NewWithT(rt)
		h.makeReady()
		seq := int64(1)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			h.advance(time.Duration(rapid.IntRange(0, 30).Draw(rt, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				seq++
				h.step(taskrunner.ServerReported{Info: h.report(seq, false)})
			case 1:
				h.renew()
			default:
				info := h.report(rapid.Int64().Draw(rt, "seq"), rapid.Bool().Draw(rt, "draining"))
				info.ID = rapid.SampledFrom([]string{"server-1", "server-1", "other", ""}).Draw(rt, "id")
				info.Incarnation = rapid.SampledFrom([]int64{incarnation, incarnation, incarnation - 1, incarnation + 1, 0, math.MaxInt64}).Draw(rt, "incarnation")
				info.Clock = rapid.SampledFrom([]time.Duration{0, h.clock - time.Second, h.clock, h.clock + 20*time.Millisecond, math.MaxInt64}).Draw(rt, "clock")
				info.Service = rapid.SampledFrom([]string{"booking", "unnamed"}).Draw(rt, "service")
				info.CPU = rapid.SampledFrom([]int{0, 20_000, math.MaxInt}).Draw(rt, "cpu")
				h.step(taskrunner.ServerReported{Info: info})
			}
		}
		h.renew()
		draining := rapid.Bool().Draw(rt, "server drains")
		h.advance(taskrunner.DefaultRenewalWait)
		h.step(taskrunner.ServerReported{Info: h.report(seq+1, draining)})
		h.renew()
		h.Expect(h.runner.Server()).To(Equal(h.lastReport(seq+1, draining)))
		h.Expect(h.starts("last", 1)).To(Equal(!draining))
	})
}

// lastReport returns a report as report does, with the clock reading of the registered one.
func (h *harness) lastReport(seq int64, draining bool) taskrunner.ServerInfo {
	info := h.report(seq, draining)
	info.Clock = h.runner.Server().Clock
	return info
}
