package platform_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// resubmitAfter is when a caller submits a job again whose connection broke.
	resubmitAfter = 1300 * time.Millisecond
	// longTask is longer than any time after which a task may be placed again.
	longTask = 1600 * time.Millisecond
)

// startWhereStopsHang submits a job of long tasks whose servers leave stops without a reply. The
// answer is zero if the caller has left before.
func (s *system) startWhereStopsHang(ctx context.Context, g *WithT, p *process, id string) <-chan answer {
	for _, server := range s.servers {
		server.SetHangingStops(1)
	}
	ch := make(chan answer, 1)
	go func() { ch <- s.post(ctx, p, id, 2, int(longTask.Milliseconds()), 2000, "ok") }()
	g.Eventually(func() int { return s.invariants.runningTasks(id) }, "3s", "5ms").Should(Equal(2))
	return ch
}

// Guards against a task that runs twice: its entry has lost the session with the agent, and the
// server leaves the agent's stops without a reply.
func TestTaskOfLostSessionRunsOnceWhileStopsHang(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 1, 3)
	done := s.startWhereStopsHang(t.Context(), g, s.entries[0], "00d1")
	for _, px := range s.proxies {
		px.setFaults(0, true, true)
		time.AfterFunc(700*time.Millisecond, func() { px.setFaults(0, false, false) })
	}
	<-done
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}

// Guards against a task that runs twice: its entry is suspended, another one gets the next
// submission, and the server leaves the agent's stops without a reply.
func TestTaskOfSuspendedEntryRunsOnceWhileStopsHang(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 3)
	s.startWhereStopsHang(t.Context(), g, s.entries[0], "00d2")
	s.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(resubmitAfter)
	s.post(t.Context(), s.entries[1], "00d2", 2, 100, 2000, "ok")
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}

// Guards against a task that runs twice: its caller has left and submits the job to another entry,
// and the server leaves the agent's stops without a reply.
func TestTaskOfCallerThatLeftRunsOnceWhileStopsHang(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 3)
	call, leave := context.WithCancel(t.Context())
	s.startWhereStopsHang(call, g, s.entries[0], "00d3")
	leave()
	time.Sleep(resubmitAfter)
	s.post(t.Context(), s.entries[1], "00d3", 2, 100, 2000, "ok")
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}

// Guards against tasks that run twice: an entry short of processor time reads a submission whose
// connection was reset before, and starts its tasks while those of the copy run that the caller has
// sent to another entry.
func TestSubmissionReadAfterItsConnectionWasResetIsNotStarted(t *testing.T) {
	const jobs = 20
	g := NewWithT(t)
	s := newSystem(t, 1, 2)
	g.Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	id := func(i int) string { return fmt.Sprintf("%016x", 0xe00+i) }
	s.entries[0].signal(syscall.SIGSTOP)
	for i := range jobs {
		s.postAndReset(g, s.entries[0], id(i))
	}
	s.entries[0].signal(syscall.SIGCONT)
	g.Expect(s.post(t.Context(), s.entries[0], "00e1", 1, 100, 300, "ok").err).NotTo(HaveOccurred())
	started := 0
	for i := range jobs {
		started += s.invariants.startCount(id(i))
	}
	g.Expect(started).To(BeZero(), "tasks of jobs whose callers had left")
}

// postAndReset sends a submission and resets its connection.
func (s *system) postAndReset(g *WithT, p *process, id string) {
	conn := s.submitTasks(g, p, id, 1, 300)
	g.Expect(conn.SetLinger(0)).To(Succeed())
	g.Expect(conn.Close()).To(Succeed())
}

// Guards against tasks that run twice, or run although their job was refused: servers lose replies
// all the while and decline calls by turns, and agents pause.
func TestTasksRunOnceWhileRepliesAreLostAndCallsDeclined(t *testing.T) {
	const (
		rounds        = 8
		round         = time.Second
		declinedShare = 0.4
		lostShare     = 0.1
		longestPause  = 400 // ms
	)
	const seed = 1
	s := newSoak(t, seed, 3, 6)
	rng := rand.New(rand.NewSource(seed))
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 2 * minCallers {
		callers.Go(func() { s.submitJobs(ctx, rand.New(rand.NewSource(int64(i))), i) })
	}
	for range rounds {
		declining := rng.Intn(len(s.servers))
		for i, server := range s.servers {
			share := 0.0
			if i == declining || i == (declining+1)%len(s.servers) {
				share = declinedShare
			}
			server.SetUnhealthy(share, lostShare)
		}
		time.Sleep(round / 2)
		paused := s.agents[rng.Intn(len(s.agents))]
		paused.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.Intn(longestPause)) * time.Millisecond)
		paused.signal(syscall.SIGCONT)
		time.Sleep(round / 2)
	}
	cancel()
	callers.Wait()
	t.Log(s.counts)
	NewWithT(t).Expect(s.invariants.err()).NotTo(HaveOccurred())
}
