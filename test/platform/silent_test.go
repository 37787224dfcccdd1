package platform_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// silence is dropIncoming for a test.
func silence(g *WithT, conn *net.TCPConn) {
	g.Expect(dropIncoming(conn)).To(Succeed())
}

// dropIncoming cuts a connection off at its client's side without a word: the kernel drops all segments
// that arrive for it, and the other side gets no acknowledgement, FIN or RST, as after a partition.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	return errors.Join(err, filterErr)
}

// unseenEnds are the ways in which the end of a caller's connection does not reach its entry. A proxy between
// the two keeps the connection to the entry open, and acknowledges what the entry sends.
var unseenEnds = map[string]func(*WithT, *net.TCPConn){
	"cut off": silence,
	"proxied": func(*WithT, *net.TCPConn) {},
}

// Guards against a task that runs twice: an entry is suspended with jobs open, the ends of their callers'
// connections never reach it, the callers submit their jobs again at another entry, and the first one is
// resumed.
func TestResumedEntryStartsNothingForCallersWhoseEndIsUnseen(t *testing.T) {
	for name, end := range unseenEnds {
		t.Run(name, func(t *testing.T) { resumeAfterUnseenEnds(t, end) })
	}
}

func resumeAfterUnseenEnds(t *testing.T, end func(*WithT, *net.TCPConn)) {
	const rounds, jobs = 4, 20
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	g.Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	for round := range rounds {
		id := func(i int) string { return fmt.Sprintf("%016x", 0x100*(round+1)+i) }
		var conns []*net.TCPConn
		for i := range jobs {
			conns = append(conns, s.submitTasks(g, s.entries[0], id(i), 2, 600))
		}
		time.Sleep(time.Duration(20+60*round) * time.Millisecond)
		s.entries[0].signal(syscall.SIGSTOP)
		for _, c := range conns {
			end(g, c)
		}
		time.Sleep(resubmitAfter)
		for i := range jobs {
			conns = append(conns, s.submitTasks(g, s.entries[1], id(i), 2, 600))
		}
		time.Sleep(time.Duration(60+60*(round%2)) * time.Millisecond)
		s.entries[0].signal(syscall.SIGCONT)
		time.Sleep(2 * time.Second)
		for _, c := range conns {
			c.Close()
		}
	}
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}

// Guards against a task that runs twice: a caller of long tasks is cut off from its entry, which still
// reaches its agents, and submits its job again at another entry.
func TestLongTasksOfSilentCallersAreStoppedBeforeCopiesRun(t *testing.T) {
	for name, end := range unseenEnds {
		for when, cutAfter := range map[string]time.Duration{"at once": 0, "later": 1200 * time.Millisecond} {
			t.Run(name+" "+when, func(t *testing.T) { submitAgainDuringLongTasks(t, end, cutAfter) })
		}
	}
}

func submitAgainDuringLongTasks(t *testing.T, end func(*WithT, *net.TCPConn), cutAfter time.Duration) {
	const jobs = 20
	g := NewWithT(t)
	s := newSystem(t, 2, 4)
	g.Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	id := func(i int) string { return fmt.Sprintf("%016x", 0x100+i) }
	var conns []*net.TCPConn
	for i := range jobs {
		conns = append(conns, s.submitTasks(g, s.entries[0], id(i), 2, 3000))
	}
	g.Eventually(func() int { return s.invariants.runningTasks(id(jobs - 1)) }, "3s", "5ms").Should(Equal(2))
	time.Sleep(cutAfter)
	for _, c := range conns {
		end(g, c)
	}
	time.Sleep(resubmitAfter)
	for i := range jobs {
		conns = append(conns, s.submitTasks(g, s.entries[1], id(i), 2, 300))
	}
	time.Sleep(2 * time.Second)
	for _, c := range conns {
		c.Close()
	}
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}

// Guards against a task that runs twice: its caller is cut off without a word, its entry is suspended for less than a
// session, so that the agents keep the task, and the servers leave stops without a reply.
func TestTasksOfSilentCallerAreOverInTimeWhileStopsHang(t *testing.T) {
	const rounds, pausedAfter = 4, 235 * time.Millisecond
	for name, pause := range map[string]time.Duration{"not suspended": 0, "suspended": 330 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSystem(t, 2, 6)
			g.Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
			for round := range rounds {
				id := fmt.Sprintf("%016x", 0x100+round)
				for _, server := range s.servers {
					server.SetHangingStops(1)
				}
				sent := time.Now()
				first := s.submitTasks(g, s.entries[0], id, 2, 3000)
				g.Eventually(func() int { return s.invariants.runningTasks(id) }, "3s", "2ms").Should(Equal(2))
				silence(g, first)
				if pause > 0 {
					time.Sleep(time.Until(sent.Add(pausedAfter)))
					s.entries[0].signal(syscall.SIGSTOP)
					time.Sleep(pause)
					s.entries[0].signal(syscall.SIGCONT)
				}
				time.Sleep(time.Until(sent.Add(resubmitAfter)))
				second := s.submitTasks(g, s.entries[1], id, 2, 300)
				time.Sleep(resubmitAfter)
				for _, server := range s.servers {
					server.SetHangingStops(0)
				}
				second.Close()
				first.Close()
			}
			g.Expect(s.invariants.err()).NotTo(HaveOccurred())
		})
	}
}

// enoughForRepeats is a deadline that leaves time to run long tasks again whose agent was lost, as it is on a machine
// that is short of processor time.
const enoughForRepeats = 20 * time.Second

// Guards against jobs that are given up although their callers still wait.
func TestLongTasksOfCallersThatWaitAreCompleted(t *testing.T) {
	const jobs = 8
	g := NewWithT(t)
	s := newSystem(t, 1, 4)
	s.callerDeadline = enoughForRepeats
	g.Expect(s.post(t.Context(), s.entries[0], "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	answers := make(chan answer, jobs)
	for i := range jobs {
		go func() {
			answers <- s.post(t.Context(), s.entries[0], fmt.Sprintf("%016x", 0x100+i), 2, 2500, 300, "ok")
		}()
	}
	for range jobs {
		a := <-answers
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.code).To(Equal(http.StatusOK), a.reason)
	}
}

// Guards against callers that are given up because the entry was suspended: their systems have acknowledged
// the probes that it had sent before.
func TestCallersThatWaitAreNotGivenUpAfterSuspensions(t *testing.T) {
	const (
		rounds    = 8
		jobs      = 40
		suspended = 600 * time.Millisecond
	)
	g := NewWithT(t)
	s := newSystem(t, 1, 4)
	entry := s.entries[0]
	g.Expect(s.post(t.Context(), entry, "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	givenUp := 0
	for round := range rounds {
		answers := make(chan answer, jobs)
		for i := range jobs {
			go func() {
				answers <- s.post(t.Context(), entry, fmt.Sprintf("%016x", 0x100*(round+1)+i), 2, 1500, 300, "ok")
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Duration(50+35*round) * time.Millisecond)
		entry.signal(syscall.SIGSTOP)
		time.Sleep(suspended)
		entry.signal(syscall.SIGCONT)
		for range jobs {
			if a := <-answers; a.givenUp {
				givenUp++
			}
		}
	}
	g.Expect(givenUp).To(BeZero())
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
}
