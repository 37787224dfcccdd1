package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// announced returns what the entry replies if another one announces a job.
func (h *harness) announced(job string, age time.Duration) session.JobState {
	h.step(dispatch.PeerJobs{From: "entry-2", Jobs: []session.OpenJob{{Job: job, AgeMs: age.Milliseconds()}}})
	return effects[dispatch.PeerJobsCompared](h)[0].States[0]
}

// Guards against a task that runs twice: a proxy hides the end of the first attempt, and another entry has
// the next one.
func TestOlderSubmissionIsStoppedForNewerOneElsewhere(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("job", 1, 1000, veryLong)
	_, ids := h.placed()
	h.wait(dispatch.ResubmissionDelay, func() {})
	h.Expect(h.announced("job", time.Millisecond)).To(Equal(session.JobEnding))
	h.Expect(h.stopped()).To(Equal(ids))
	h.Expect(effects[dispatch.Refused](h)).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
	h.Expect(h.announced("job", 10*time.Millisecond)).To(Equal(session.JobEnding))
	h.report(1, idle, ids[0], session.Stopped)
	h.Expect(h.announced("job", 20*time.Millisecond)).To(Equal(session.JobUnknown))
	h.Expect(h.d.OpenJobs()).To(BeZero())
}

// Guards against a job whose caller waits being stopped for its own earlier attempt, or for one that cannot
// be the next.
func TestSubmissionIsKeptUnlessNewerOneIsElsewhere(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("job", 1, 1000, veryLong)
	h.Expect(h.announced("job", dispatch.ResubmissionDelay)).To(Equal(session.JobNewer))
	h.Expect(h.stopped()).To(BeEmpty())
	h.Expect(h.announced("job", 200*time.Millisecond)).To(Equal(session.JobUnknown))
	h.Expect(h.stopped()).To(BeEmpty())
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}

// Guards against a task that runs twice: the job is still open at the entry that had the attempt before.
func TestSubmissionWaitsForEndOfJobElsewhere(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.announced("job", 700*time.Millisecond)
	h.now = h.now.Add(600 * time.Millisecond)
	h.poll(1, idle)
	job := dispatch.Job{Name: "job", Queue: queue(), Tasks: 1, CPU: 1000, MemMB: 1, Estimate: longEstimate, Timeout: 3 * time.Second}
	asked := 0
	for _, ef := range h.d.Step(h.now, dispatch.SubmitCalled{Call: 1, Job: job}) {
		switch ef := ef.(type) {
		case dispatch.Order:
			h.Expect(ef.Start).To(BeEmpty())
		case dispatch.AskPeers:
			h.Expect(ef).To(Equal(dispatch.AskPeers{Entry: "entry-2", Jobs: []session.OpenJob{{Job: "job"}}}))
			asked++
		}
	}
	h.Expect(asked).To(Equal(1))
	h.poll(1, idle)
	h.expectNoStart()
	h.step(dispatch.PeersAsked{Jobs: []session.OpenJob{{Job: "job"}}})
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
}

// Guards against submissions that wait because of an announcement of long ago, and against memory for it.
func TestJobsElsewhereAreForgotten(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	for i := range 20 {
		h.announced(fmt.Sprint("job-", i), time.Second)
		h.now = h.now.Add(200 * time.Millisecond)
		h.poll(1, idle)
	}
	h.submit("job-0", 1, 1000, longEstimate)
	h.Expect(effects[dispatch.AskPeers](h)).To(BeEmpty())
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
	h.Expect(h.d.JobsElsewhere()).To(BeNumerically("<=", 12))
}

// Guards against tasks that start twice: an entry that was suspended finds its agents again, and another one
// has the next submission of the job.
func TestLostTasksAreNotPlacedAgainIfJobIsOpenElsewhere(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("job-1", 2, 1000, longEstimate)
	h.submit("job-2", 2, 1000, longEstimate)
	heard := h.now
	h.Newer = []dispatch.JobElsewhere{{Job: "job-1", Entry: "entry-2"}}
	h.now = h.now.Add(callersGone)
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: heard, Reason: "no reply"})
	h.Expect(effects[dispatch.AskPeers](h)).To(HaveLen(1), "one question for both")
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 2}), "tasks of the job that is not open elsewhere")
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}

// Guards against messages for jobs that no caller can have submitted again yet.
func TestOnlyJobsThatAreOpenForLongAreAnnounced(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("old", 1, 1000, veryLong)
	h.wait(500*time.Millisecond, func() {})
	h.submit("young", 1, 1000, veryLong)
	h.wait(200*time.Millisecond, func() {})
	h.Expect(h.d.LongOpenJobs(h.now)).To(Equal([]session.OpenJob{{Job: "old", AgeMs: 700}}))
}

// Guards against questions without end about the callers of a held job: a copy of it arrives while the other
// entries are asked, so that nothing but their reply is missing.
func TestCopyOfHeldJobArrivesWhileOtherEntriesAreAsked(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	job := dispatch.Job{Name: "job", Queue: queue(), Tasks: 1, CPU: 1000, MemMB: 1, Estimate: longEstimate, Timeout: 10 * time.Second}
	var asked []session.OpenJob
	placed, questions := 0, 0
	var step func(ev dispatch.Event)
	step = func(ev dispatch.Event) {
		for _, ef := range h.d.Step(h.now, ev) {
			switch ef := ef.(type) {
			case dispatch.AskPeers:
				asked = append(asked, ef.Jobs...)
			case dispatch.Order:
				placed += len(ef.Start)
			case dispatch.ProbeCallers:
				step(dispatch.CallersAcknowledged{Calls: ef.Calls})
			case dispatch.CheckCallers:
				questions++
				h.Expect(questions).To(BeNumerically("<", 20))
				step(dispatch.CallersChecked{Connected: ef.Calls})
			}
		}
	}
	opened := dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)}
	step(dispatch.SubmitCalled{Call: 1, Job: job})
	h.now = h.now.Add(1200 * time.Millisecond)
	step(opened)
	h.Expect(asked).To(HaveLen(1))
	h.Expect(placed).To(BeZero())
	step(dispatch.SubmitCalled{Call: 2, Job: job})
	step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{1}})
	step(dispatch.PeersAsked{Jobs: asked})
	h.Expect(placed).To(Equal(1))
}
