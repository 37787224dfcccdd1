package platform_test

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// cancelAckTimeout is by when a cancel has to be acknowledged, as agreed with the users.
const cancelAckTimeout = 4 * time.Second

var canceledAnswer = answer{code: 200, state: "cancelled"}

// runningTasks returns how many tasks of a job run at the servers.
func (c *invariantChecker) runningTasks(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.running {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	return n
}

// startLongJob submits a job of two tasks that end only when they are stopped, and waits until they run.
func (s *system) startLongJob(g *WithT, p *process, id string) <-chan answer {
	ch := make(chan answer, 1)
	go func() { ch <- s.post(context.Background(), p, id, 2, 1500, 2000, "hang") }()
	g.Eventually(func() int { return s.invariants.runningTasks(id) }, "3s", "5ms").Should(Equal(2))
	return ch
}

// startsOfEnded waits until no task of a canceled job runs, and returns how many were
// started.
func (s *system) startsOfEnded(g *WithT, id string) int {
	g.Eventually(func() int { return s.invariants.runningTasks(id) }, "3s", "5ms").Should(BeZero())
	return s.invariants.startCount(id)
}

// Guards against a cancel that another entry than the job's answers with "no such job", and
// against a copy that runs at a third entry later.
func TestCancelAtAnotherEntry(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 3, 3)
	first := s.startLongJob(g, s.entries[0], "00c1")
	g.Expect(s.cancel(t.Context(), s.entries[1], "00c1")).To(Equal(canceledAnswer))
	g.Expect(<-first).To(Equal(canceledAnswer))
	starts := s.startsOfEnded(g, "00c1")
	g.Expect(s.post(t.Context(), s.entries[2], "00c1", 2, 50, 2000, "ok")).To(Equal(canceledAnswer))
	g.Expect(s.invariants.startCount("00c1")).To(Equal(starts))

	g.Expect(s.cancel(t.Context(), s.entries[1], "00c2").code).To(Equal(410), "no entry has it")
	g.Expect(s.post(t.Context(), s.entries[2], "00c2", 2, 50, 2000, "ok")).To(Equal(canceledAnswer), "the cancel has overtaken it")
}

// Guards against an entry that was suspended as the cancel came, and runs the job on, or a
// copy of it, when it resumes: the agents hold the mark, and tell it.
func TestCancelWhileJobsEntryIsSuspended(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 3)
	first := s.startLongJob(g, s.entries[0], "00c3")
	s.entries[0].signal(syscall.SIGSTOP)
	// 503 says that an agent has not confirmed yet; the caller asks again.
	g.Eventually(func() answer {
		a := s.cancel(t.Context(), s.entries[1], "00c3")
		g.Expect(a).To(BeElementOf(canceledAnswer, answer{code: 503}))
		return a
	}, cancelAckTimeout, "50ms").Should(Equal(canceledAnswer))
	starts := s.startsOfEnded(g, "00c3")
	time.Sleep(time.Second) // sessions of the suspended entry end
	s.entries[0].signal(syscall.SIGCONT)
	// 504 says that the job may have run: the entry finds that it has lost its sessions before
	// an agent tells it of the cancel.
	g.Expect(<-first).To(BeElementOf(canceledAnswer, answer{code: 504}))
	g.Expect(s.post(t.Context(), s.entries[0], "00c3", 2, 50, 2000, "ok")).To(Equal(canceledAnswer))
	g.Expect(s.invariants.startCount("00c3")).To(Equal(starts))
}

// Guards against an entry that restarts between the cancel and the copy, and has forgotten.
func TestRestartedEntryLearnsOfCancels(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 2)
	s.startLongJob(g, s.entries[0], "00c4")
	g.Expect(s.cancel(t.Context(), s.entries[1], "00c4")).To(Equal(canceledAnswer))
	starts := s.startsOfEnded(g, "00c4")
	s.entries[0].kill()
	s.entries[0].start()
	s.entries[0].waitReady()
	g.Expect(s.post(t.Context(), s.entries[0], "00c4", 2, 50, 2000, "ok")).To(Equal(canceledAnswer))
	g.Expect(s.invariants.startCount("00c4")).To(Equal(starts))
}
