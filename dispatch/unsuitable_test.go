package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Admission control: a job that fits no server was held for 300 ms, or tried at one
// agent after the other, before it was refused.
func TestJobThatFitsNoServerIsRefusedAtOnce(t *testing.T) {
	for name, change := range map[string]func(*dispatch.Job){
		"processor": func(j *dispatch.Job) { j.CPU = 30_000 },
		"memory":    func(j *dispatch.Job) { j.MemMB = 2000 },
		"GPUs":      func(j *dispatch.Job) { j.GPU = 1 },
		"label":     func(j *dispatch.Job) { j.RequiredLabel = "b" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			state := h.state(idle)
			state.Identity.MemMB, state.Identity.Labels = 1000, []string{"a"}
			h.step(dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: state})
			job := dispatch.Job{Name: "poison", Queue: queue(), Tasks: 2, CPU: 6000, MemMB: 1, Estimate: 60 * time.Millisecond, Timeout: 3 * time.Second}
			change(&job)
			h.step(dispatch.SubmitCalled{Call: 1, Job: job})
			refused := effects[dispatch.Refused](h)
			h.Expect(refused).To(HaveLen(1))
			h.Expect(refused[0].Error.Code).To(Equal(structs.CodeRejected))
			h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
			if name == "label" {
				h.Expect(refused[0].Error.RetryAfter).To(BeNumerically("<=", 2*time.Second), "another entry may know a server with the label")
			} else {
				h.Expect(refused[0].Error.RetryAfter).To(BeNumerically(">=", 10*time.Second))
			}
			h.Expect(effects[dispatch.Order](h)).To(BeEmpty())
		})
	}
}

// An agent of an earlier build states neither memory nor GPUs; it refuses what does
// not fit itself.
func TestMemoryOfOlderAgentsIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.step(dispatch.SubmitCalled{Call: 1, Job: dispatch.Job{Name: "j", Queue: queue(), Tasks: 1, CPU: 6000, MemMB: 2000, Estimate: 60 * time.Millisecond}})
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1))
	h.Expect(effects[dispatch.Order](h)[0].Start[0].Tasks).To(Equal([]session.Placement{{ID: 1, Attempt: 1}}))
}

// Guards against callers that are told to stay away for long although a server has
// shrunk and may grow again.
func TestJobThatFitsShrunkServerIsToldToComeBackSoon(t *testing.T) {
	h := newHarness(t)
	h.agent(1, idle)
	h.poll(1, serverState{capacity: 4_000, free: 4_000, slowness: 1000})
	h.submit("job", 1, 10_000, 60*time.Millisecond)
	refused := effects[dispatch.Refused](h)
	h.Expect(refused).To(HaveLen(1))
	h.Expect(refused[0].Error.Verdict).To(Equal(structs.NotRun))
	h.Expect(refused[0].Error.Code).To(Equal(structs.CodeOverloaded))
	h.Expect(refused[0].Error.RetryAfter).To(Equal(2 * time.Second))
	h.poll(1, idle)
	h.submit("again", 1, 10_000, 60*time.Millisecond)
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1))
}

// Guards against an agent that can't check what its server must have when a queued task
// starts, because its order does not say so.
func TestOrderCarriesRequirementsOfTasks(t *testing.T) {
	h := newHarness(t)
	state := h.state(idle)
	state.Identity.MemMB, state.Identity.Labels = 1000, []string{"a"}
	h.step(dispatch.SessionOpened{ID: 1, Agent: "agent-1", Zone: "zone-a", State: state})
	job := dispatch.Job{Name: "j", Queue: queue(), Tasks: 2, CPU: 1000, MemMB: 1, Estimate: 60 * time.Millisecond, RequiredLabel: "a", MaxPerServer: 2, ConfigVersion: 7}
	h.step(dispatch.SubmitCalled{Call: 1, Job: job})
	h.Expect(effects[dispatch.Order](h)).To(HaveLen(1))
	h.Expect(effects[dispatch.Order](h)[0].Start).To(ConsistOf(And(
		HaveField("RequiredLabel", "a"), HaveField("MaxPerServer", 2), HaveField("ConfigVersion", int64(7)), HaveField("Tasks", HaveLen(2)))))
}
