package taskrunner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// orderRanked orders one task that takes all of the server for 100 ms.
func (h *harness) orderRanked(job string, id uint64, rank int, within time.Duration) {
	h.lastCall++
	h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Start: []session.JobPart{{
		Job: job, Service: "booking", CPU: 20_000, MemMB: 1, Estimate: 100 * time.Millisecond, Priority: rank, StartWithin: within,
		Tasks: []session.Placement{{ID: id, Attempt: 1}},
	}}}})
}

// started returns the jobs whose tasks the last step started.
func (h *harness) started() []string {
	var jobs []string
	for _, s := range effects[taskrunner.StartTask](h) {
		jobs = append(jobs, s.Key.Job)
	}
	return jobs
}

// Entries that know nothing of each other order more than the server can start in time:
// the task of the highest priority starts first, and the other one is told to the operators.
func TestHigherPriorityStartsFirstUnderShortage(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.orderRanked("running", 1, 5, time.Second)
	h.acceptStart(runKey("running", 0))
	h.orderRanked("long", 2, 8, 110*time.Millisecond)
	h.orderRanked("short", 3, 2, 120*time.Millisecond)
	h.Expect(h.runner.Deferred()).To(Equal(1))
	h.advance(100 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(h.started()).To(Equal([]string{"short"}))
	h.Expect(h.runner.Dump(h.now).Deferred).To(Equal(1))
}

// Entries of earlier builds, and those without shares, order by the latest start.
func TestEqualRanksStartByLatestStart(t *testing.T) {
	h := newHarness(t)
	h.makeReady()
	h.orderRanked("running", 1, 0, time.Second)
	h.acceptStart(runKey("running", 0))
	h.orderRanked("later", 2, 0, 130*time.Millisecond)
	h.orderRanked("sooner", 3, 0, 120*time.Millisecond)
	h.advance(100 * time.Millisecond)
	h.step(taskrunner.Ticked{})
	h.answerRenewal(h.newestRenewalID(), nil, taskrunner.EndRow{Index: 1, Key: runKey("running", 0), Outcome: taskrunner.EndDone})
	h.Expect(h.started()).To(Equal([]string{"sooner"}))
	h.Expect(h.runner.Deferred()).To(BeZero())
}
