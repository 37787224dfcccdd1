package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against tasks that start although their callers may have been refused elsewhere: an entry is
// suspended for longer than callers wait before they submit a job again, its callers close or reset
// their connections, and it finds its agents again before it learns of that.
func TestResumedEntryStartsNothingForCallersThatHaveLeft(t *testing.T) {
	const (
		rounds    = 3
		jobs      = 40
		suspended = resubmitAfter + 300*time.Millisecond
		settled   = 1500 * time.Millisecond // sessions are open again, and lost tasks placed
	)
	g := NewWithT(t)
	s := newSystem(t, 1, 4)
	entry := s.entries[0]
	g.Expect(s.post(t.Context(), entry, "00e0", 1, 10, 300, "ok").code).To(Equal(http.StatusOK))
	total := 0
	for round := range 2 * rounds {
		id := func(i int) string { return fmt.Sprintf("%016x", 0x10000*(round+1)+i) }
		starts := func() int {
			n := 0
			for i := range jobs {
				n += s.invariants.startCount(id(i))
			}
			return n
		}
		var conns []*net.TCPConn
		for i := range jobs {
			conns = append(conns, s.submitTasks(g, entry, id(i), 2, 600))
		}
		time.Sleep(time.Duration(20+60*round) * time.Millisecond)
		entry.signal(syscall.SIGSTOP)
		for _, c := range conns {
			if round%2 == 0 {
				g.Expect(c.SetLinger(0)).To(Succeed())
			}
			g.Expect(c.Close()).To(Succeed())
		}
		time.Sleep(suspended)
		before := starts()
		entry.signal(syscall.SIGCONT)
		time.Sleep(settled)
		after := starts() - before
		t.Logf("round %d: %d starts before the resumption, %d after", round, before, after)
		total += after
	}
	g.Expect(s.invariants.err()).NotTo(HaveOccurred())
	g.Expect(total).To(BeZero(), "starts after the resumption")
}

// submitTasks sends a submission of equal tasks, which take some ms each, and returns its connection.
func (s *system) submitTasks(g *WithT, p *process, id string, tasks, ms int) *net.TCPConn {
	const cpu = 300
	body := fmt.Sprintf(`{"spec":"%d,%d,ok","bestEffort":true,"steps":[{"replicas":%d,"cpu":%d,"memMb":16,"estimateMs":%d}]}`, ms, cpu, tasks, cpu, ms)
	conn, err := net.Dial("tcp", p.jobsAddr)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /holds/%s HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 6000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn)
}
