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

// veryLong is the estimate of tasks that run longer than callers wait before they submit again.
const veryLong = 2500 * time.Millisecond

// stopTime is how long a task may run on after it was stopped, if its server does not reply to stops.
const stopTime = 815 * time.Millisecond

// silent lets the callers give no sign any more.
func (h *harness) silent(callers ...dispatch.CallID) {
	h.Silent = make(map[dispatch.CallID]bool)
	for _, call := range callers {
		h.Silent[call] = true
	}
}

// wait lets time pass. The entry polls its agents and is woken when it asks for that; do is called
// after each step.
func (h *harness) wait(d time.Duration, do func()) {
	const pollInterval = 40 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		next := h.now.Add(pollInterval)
		if wake := h.d.NextWake(); !wake.IsZero() && wake.Before(next) {
			next = wake
		}
		if end.Before(next) {
			next = end
		}
		h.now = next
		h.step(dispatch.Ticked{})
		do()
	}
}

// waitForStop is wait, and returns when the tasks of the only job are over that are stopped meanwhile: stopTime after
// the clock reading that the order to stop them echoes.
func (h *harness) waitForStop(d time.Duration, do func()) time.Time {
	var over time.Time
	h.wait(d, func() {
		do()
		over = h.overAfterStop(over)
	})
	h.Expect(over).NotTo(BeZero())
	return over
}

// overAfterStop returns when tasks are over if the last step has stopped them, and otherwise the time given.
func (h *harness) overAfterStop(otherwise time.Time) time.Time {
	for _, o := range effects[dispatch.Order](h) {
		if len(o.Stop) == 0 {
			continue
		}
		if !o.EchoBefore.IsZero() && o.EchoBefore.Before(h.now) {
			return o.EchoBefore.Add(stopTime)
		}
		return h.now.Add(stopTime)
	}
	return otherwise
}

// Guards against a task that runs twice: its caller is cut off and submits the job elsewhere, and nobody
// stops the task.
func TestTasksOfSilentCallerAreOverBeforeItsCopyMayRun(t *testing.T) {
	for name, silentAfter := range map[string]time.Duration{"at once": 0, "later": 1100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.agent(1, idle)
			call := h.submit("job", 2, 1000, veryLong)
			h.wait(silentAfter, func() {})
			lastSign := h.now
			h.silent(call)
			var refused []dispatch.Refused
			over := h.waitForStop(dispatch.ResubmissionDelay, func() { refused = append(refused, effects[dispatch.Refused](h)...) })
			h.Expect(over.Sub(lastSign)).To(BeNumerically("<", dispatch.ResubmissionDelay))
			h.Expect(refused).To(ConsistOf(HaveField("Error.Verdict", structs.MayHaveRun)))
			h.Expect(h.d.OpenJobs()).To(BeZero())
		})
	}
}

// Guards against a job that is given up although its caller waits.
func TestLongJobOfCallerThatAcknowledgesProbesGoesOn(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("job", 2, 1000, veryLong)
	probes := 0
	h.wait(2900*time.Millisecond, func() {
		h.Expect(h.stopped()).To(BeEmpty())
		probes += len(effects[dispatch.ProbeCallers](h))
	})
	h.Expect(h.d.OpenJobs()).To(Equal(1))
	h.Expect(probes).To(BeNumerically("~", 11, 1))
}

// Guards against probes that cost short jobs anything.
func TestCallersOfShortJobsAreNotProbed(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.submit("job", 1, 1000, 200*time.Millisecond)
	_, ids := h.placed()
	h.wait(240*time.Millisecond, func() { h.Expect(effects[dispatch.ProbeCallers](h)).To(BeEmpty()) })
	h.report(1, idle, ids[0], session.Done)
	h.Expect(effects[dispatch.Answered](h)).To(HaveLen(1))
	h.wait(time.Second, func() { h.Expect(effects[dispatch.ProbeCallers](h)).To(BeEmpty()) })
	h.Expect(h.d.NextWake()).To(BeZero())
}

// Guards against many wake-ups for callers whose signs have about the same age.
func TestCallersAreProbedTogether(t *testing.T) {
	const jobs = 10
	h := newHarness(t)
	h.agent(1, serverState{capacity: 200_000, free: 200_000, slowness: 1000})
	for i := range jobs {
		h.submit(fmt.Sprint("job-", i), 1, 1000, veryLong)
		h.now = h.now.Add(2 * time.Millisecond)
	}
	var batches []int
	h.wait(400*time.Millisecond, func() {
		for _, p := range effects[dispatch.ProbeCallers](h) {
			batches = append(batches, len(p.Calls))
		}
	})
	h.Expect(batches).To(Equal([]int{jobs}))
}

// Guards against tasks that start twice: an entry that was suspended finds its agents again, and no end of
// its callers' connections has reached it.
func TestLostTasksAreNotPlacedAgainForSilentCallers(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("job-1", 2, 1000, longEstimate)
	h.submit("job-2", 2, 1000, longEstimate)
	heard := h.now
	h.silent(first)
	h.now = h.now.Add(callersGone)
	h.step(dispatch.SessionEnded{ID: 1, LastHeard: heard, Reason: "no reply"})
	h.step(dispatch.SessionOpened{ID: 2, Agent: "agent-1", Zone: "zone-a", State: h.state(idle)})
	counts, _ := h.placed()
	h.Expect(counts).To(Equal(map[dispatch.SessionID]int{2: 2}), "tasks of the caller that gives signs")
	h.wait(time.Second, h.expectNoStart)
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}

// Guards against a job of a caller that waits being given up because the entry was suspended, so that it
// could not ask. Its tasks are stopped until the caller gives a sign.
func TestCallerIsAskedAfterSuspensionBeforeItIsGivenUp(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("job", 1, 1000, veryLong/2)
	_, ids := h.placed()
	h.silent(call)
	h.now = h.now.Add(700 * time.Millisecond)
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.ProbeCallers](h)).To(HaveLen(1))
	h.Expect(h.stopped()).To(Equal(ids))
	h.now = h.now.Add(20 * time.Millisecond)
	h.report(1, idle, ids[0], session.Stopped)
	h.expectNoStart()
	h.now = h.now.Add(190 * time.Millisecond)
	h.step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{call}})
	_, ids = h.placed()
	h.Expect(ids).To(HaveLen(1), "placed again")
	h.silent()
	h.wait(300*time.Millisecond, func() {})
	h.step(dispatch.CallClosed{Call: call})
	h.Expect(effects[dispatch.Order](h)).To(ConsistOf(And(HaveField("Stop", ids), HaveField("EchoBefore", BeZero()))),
		"the time of the earlier silence does not count any more")
}

// Guards against a caller that is given up because the acknowledgement of its probe was lost while the whole
// machine was suspended.
func TestCallerIsAskedAgainAfterSuspensionDuringProbe(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("job", 1, 1000, veryLong)
	h.silent(call)
	h.wait(255*time.Millisecond, func() {})
	h.now = h.now.Add(2 * time.Second)
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.ProbeCallers](h)).To(HaveLen(1))
	refused := 0
	h.wait(time.Second, func() { refused += len(effects[dispatch.Refused](h)) })
	h.Expect(refused).To(Equal(1), "given up in the end")
}

// Guards against a task that runs twice: the entry is suspended for less than a session, so that its agents keep the
// task of a silent caller, and stops it late.
func TestTasksOfSilentCallerAreOverInTimeAfterShortSuspension(t *testing.T) {
	for name, at := range map[string]time.Duration{"before the probe": 240 * time.Millisecond, "after the probe": 260 * time.Millisecond, "before the stop": 470 * time.Millisecond} {
		for _, pause := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 215 * time.Millisecond, 440 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", ", pause), func(t *testing.T) {
				h := newHarness(t)
				h.agent(1, idle)
				call := h.submit("job", 2, 1000, veryLong)
				lastSign := h.now
				h.silent(call)
				h.wait(at, func() { h.Expect(h.stopped()).To(BeEmpty()) })
				h.now = h.now.Add(pause)
				h.step(dispatch.Ticked{})
				over := h.overAfterStop(time.Time{})
				if over.IsZero() {
					over = h.waitForStop(dispatch.ResubmissionDelay, func() {})
				}
				h.Expect(over.Sub(lastSign)).To(BeNumerically("<", dispatch.ResubmissionDelay))
			})
		}
	}
}

// Guards against a start that rests on a look at the connection which is old when it is handled: the entry was
// suspended between the two.
func TestReplyToCheckThatIsLateStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	h.submit("job", 1, 1000, longEstimate)
	counts, ids := h.placed()
	h.now = h.now.Add(200 * time.Millisecond)
	for agent := range counts {
		h.last = h.d.Step(h.now, dispatch.PollReplied{ID: agent, Reply: session.PollReply{
			Reports: []session.Report{{ID: ids[0], Outcome: session.NotStarted}}, State: h.state(idle),
		}})
	}
	check := effects[dispatch.CheckCallers](h)
	h.Expect(check).To(HaveLen(1))
	h.now = h.now.Add(440 * time.Millisecond)
	h.last = h.d.Step(h.now, dispatch.CallersChecked{Connected: check[0].Calls})
	h.expectNoStart()
	h.Expect(effects[dispatch.ProbeCallers](h)).To(HaveLen(1))
}

// Guards against a start that rests on an acknowledgement that is old when it is handled: the entry was
// suspended after it had sent the probe.
func TestOldAcknowledgementStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.agent(2, idle)
	call := h.submit("job", 1, 1000, longEstimate)
	counts, ids := h.placed()
	h.silent(call)
	h.now = h.now.Add(300 * time.Millisecond)
	for agent := range counts {
		h.report(agent, idle, ids[0], session.NotStarted)
	}
	h.expectNoStart()
	h.now = h.now.Add(400 * time.Millisecond)
	h.step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{call}})
	h.expectNoStart()
	h.Expect(effects[dispatch.ProbeCallers](h)).To(HaveLen(1), "asked again")
	h.now = h.now.Add(5 * time.Millisecond)
	h.step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{call}})
	_, ids = h.placed()
	h.Expect(ids).To(HaveLen(1))
}

// Guards against a task that starts for a submission that was sent long before: it has waited in the
// socket of an entry that was suspended or short of processor time.
func TestSubmissionThatIsReadLateWaitsForSign(t *testing.T) {
	submit := func(h *harness, lastReceived time.Duration) dispatch.CallID {
		h.call++
		h.step(dispatch.SubmitCalled{Call: h.call, LastReceived: lastReceived, Job: dispatch.Job{
			Name: "job", Queue: queue(), Tasks: 1, CPU: 1000, MemMB: 1, Estimate: longEstimate, Timeout: 3 * time.Second,
		}})
		return h.call
	}
	for name, arrive := range map[string]func(*harness) dispatch.CallID{
		"received long ago": func(h *harness) dispatch.CallID { return submit(h, time.Second) },
		"entry has paused, and is busy with what has arrived": func(h *harness) dispatch.CallID {
			h.now = h.now.Add(callersGone)
			for range 20 {
				h.poll(1, idle)
				h.now = h.now.Add(20 * time.Millisecond)
			}
			return submit(h, 0)
		},
		"entry has paused": func(h *harness) dispatch.CallID {
			h.now = h.now.Add(callersGone)
			h.poll(1, idle)
			return submit(h, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.agent(1, idle)
			h.silent(1)
			call := arrive(h)
			h.expectNoStart()
			h.Expect(effects[dispatch.ProbeCallers](h)).To(ConsistOf(dispatch.ProbeCallers{Calls: []dispatch.CallID{call}}))
			refused, logged := 0, 0
			h.wait(time.Second, func() {
				h.expectNoStart()
				refused += len(effects[dispatch.Refused](h))
				for _, line := range effects[dispatch.LogEvent](h) {
					if line.Event == "job_abandoned" && line.Job == "job" {
						logged++
					}
				}
			})
			h.Expect(refused).To(Equal(1))
			h.Expect(logged).To(Equal(1))
			h.Expect(h.d.OpenJobs()).To(BeZero())
		})
		t.Run(name+", the caller waits", func(t *testing.T) {
			h := newHarness(t)
			h.agent(1, idle)
			arrive(h)
			_, ids := h.placed()
			h.Expect(ids).To(HaveLen(1))
		})
	}
}

// Guards against a submission that was read late being refused although its caller waits: the caller's system
// delays its acknowledgement.
func TestCallerOfSubmissionReadLateHasTimeToAcknowledge(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.call++
	h.silent(h.call)
	h.step(dispatch.SubmitCalled{Call: h.call, LastReceived: 2 * time.Second, Job: dispatch.Job{
		Name: "job", Queue: queue(), Tasks: 1, CPU: 1000, MemMB: 1, Estimate: longEstimate, Timeout: 3 * time.Second,
	}})
	h.wait(230*time.Millisecond, func() { h.Expect(effects[dispatch.Refused](h)).To(BeEmpty()) })
	h.step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{h.call}})
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
}

// Guards against held jobs that wait behind one whose caller gives no sign.
func TestSilentCallerDoesNotDelayHeldJobsOfOthers(t *testing.T) {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	first := h.submit("job-1", 1, 1000, longEstimate)
	h.submit("job-2", 1, 1000, longEstimate)
	h.silent(first)
	h.now = h.now.Add(290 * time.Millisecond)
	h.agent(1, idle)
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
	h.wait(time.Second, h.expectNoStart)
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}

// Guards against held jobs that wait behind many whose callers give no sign.
func TestManySilentCallersDoNotDelayHeldJobsOfOthers(t *testing.T) {
	const silent, live = 100, 300
	large := serverState{capacity: 200_000, free: 200_000, slowness: 1000}
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Started: start, InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention})
	var calls []dispatch.CallID
	for i := range silent {
		calls = append(calls, h.submit(fmt.Sprint("silent-", i), 1, 10, 200*time.Millisecond))
	}
	h.now = h.now.Add(200 * time.Millisecond)
	for i := range live {
		h.submit(fmt.Sprint("live-", i), 1, 10, 200*time.Millisecond)
	}
	h.silent(calls...)
	h.now = h.now.Add(80 * time.Millisecond) // the hold time is not over
	h.agent(1, large)
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(live))
	h.Expect(len(effects[dispatch.CheckCallers](h))).To(BeNumerically("<", 30), "checks, each in a step of its own")
	h.Expect(h.d.NextWake()).To(BeTemporally(">", h.now))
}

// Guards against a caller that is given up because a packet is lost: its sign was old when it was asked.
func TestCallerOfSubmissionReadLateIsKeptAfterOneLoss(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.silent(1)
	h.call++
	h.step(dispatch.SubmitCalled{Call: h.call, LastReceived: 420 * time.Millisecond, Job: dispatch.Job{
		Name: "job", Queue: queue(), Tasks: 1, CPU: 1000, MemMB: 1, Estimate: longEstimate, Timeout: 3 * time.Second,
	}})
	h.wait(210*time.Millisecond, func() { h.Expect(effects[dispatch.Refused](h)).To(BeEmpty()) })
	h.silent()
	h.step(dispatch.CallersAcknowledged{Calls: []dispatch.CallID{h.call}})
	_, ids := h.placed()
	h.Expect(ids).To(HaveLen(1))
}

// Guards against a job that is stopped although the caller of a copy waits for it.
func TestJobGoesOnForCallerOfCopy(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	first := h.submit("job", 1, 1000, veryLong)
	h.submit("job", 1, 1000, veryLong)
	h.silent(first)
	refused := 0
	h.wait(2*time.Second, func() {
		h.Expect(h.stopped()).To(BeEmpty())
		refused += len(effects[dispatch.Refused](h))
	})
	h.Expect(refused).To(Equal(1))
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}

// Guards against a caller that is given up although it has acknowledged the probe: the entry was short of
// processor time, or suspended, and has not looked at the acknowledgement yet.
func TestAcknowledgementThatIsHandledLateKeepsCaller(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	call := h.submit("job", 2, 1000, veryLong)
	h.silent(call)
	h.now = h.now.Add(260 * time.Millisecond)
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.ProbeCallers](h)).To(HaveLen(1))
	h.silent()
	h.now = h.now.Add(400 * time.Millisecond)
	h.step(dispatch.Ticked{})
	h.Expect(effects[dispatch.CheckProbes](h)).To(HaveLen(1))
	h.Expect(h.stopped()).To(BeEmpty())
	h.wait(time.Second, func() { h.Expect(h.stopped()).To(BeEmpty()) })
	h.Expect(h.d.OpenJobs()).To(Equal(1))
}
