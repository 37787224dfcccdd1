package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/refusals"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Guards against tasks that start although their callers were refused elsewhere: the connections of
// callers have ended, and the entry finds agents for their jobs before net/http cancels the
// contexts of their requests.
func TestHeldJobsOfCallersThatHaveLeftAreNotPlaced(t *testing.T) {
	for name, test := range map[string]struct {
		leave   func(*net.TCPConn) error
		started bool
	}{
		"waits":  {func(*net.TCPConn) error { return nil }, true},
		"closes": {(*net.TCPConn).Close, false},
		"resets": {func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := newIdleGateway(new(strings.Builder))
			gw.logger = log.NewNopLogger()
			gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Minute)})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s := instance.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				gw.Submit(context.WithoutCancel(r.Context()), dispatch.Job{
					Name: "job", Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Minute,
				}, nil)
			}), log.NewNopLogger())
			defer s.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a.example\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(gw.openJobs).Should(Equal(1))
			g.Expect(test.leave(conn.(*net.TCPConn))).To(Succeed())
			orders := 0
			for _, ef := range gw.step(dispatch.SessionOpened{ID: 1, Agent: "agent", State: session.State{
				Seq: 1, Ready: true, FreeCPU: 1000, FreeMem: 100, Slowness: 1000, Identity: &session.Identity{Service: "s", Capacity: 1000},
			}}) {
				if o, ok := ef.(dispatch.Order); ok {
					orders += len(o.Start)
				}
			}
			g.Expect(orders > 0).To(Equal(test.started))
			g.Expect(gw.openJobs() > 0).To(Equal(test.started))
		})
	}
}

// Guards against a job that is submitted after its caller has left.
func TestJobOfCallerThatHasLeftIsRejected(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	o := gw.Submit(ctx, dispatch.Job{Name: "job", Queue: routing.Queue{Name: "q"}, Tasks: 1}, nil)
	g.Expect(o.Refused).NotTo(BeNil())
	g.Expect(o.Refused.Verdict).To(Equal(structs.NotRun))
	g.Expect(gw.openJobs()).To(BeZero())
	g.Expect(out.String()).To(ContainSubstring("event=job_rejected job=job queue=q verdict=not_run"))
}

// Guards against a check of logs that takes a rejection for which no caller waits for a refusal.
func TestReasonOfCallerThatLeftIsKnownToTheCheckOfLogs(t *testing.T) {
	NewWithT(t).Expect(errCallerLeft.Error()).To(Equal(refusals.CallerLeft))
}

// Guards against requests that are kept until the process stops: net/http does not notice that a client
// has left if a byte stands behind its request.
func TestSubmitOfCallerThatHasLeftReturns(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(new(strings.Builder))
	gw.logger = log.NewNopLogger()
	gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Minute)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	outcome := make(chan Outcome, 1)
	s := instance.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		outcome <- gw.Submit(r.Context(), dispatch.Job{
			Name: "job", Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Minute,
		}, nil)
	}), log.NewNopLogger())
	defer s.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(gw.openJobs).Should(Equal(1))
	_, err = fmt.Fprint(conn, "\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	gw.step(dispatch.SessionOpened{ID: 1, Agent: "agent", State: session.State{
		Seq: 1, Ready: true, FreeCPU: 1000, FreeMem: 100, Slowness: 1000, Identity: &session.Identity{Service: "s", Capacity: 1000},
	}})
	g.Expect(gw.openJobs()).To(BeZero())
	g.Eventually(outcome).Should(Receive(Equal(Outcome{Status: dispatch.Canceled})))
}

// Guards against a job that is said not to have run while a copy of it is open: a client that has closed
// only its side of the connection still reads the answer.
func TestJobOfCallerThatHasLeftMayRunForCopy(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Minute)})
	job := dispatch.Job{Name: "job", Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Minute}
	go gw.Submit(t.Context(), job, nil)
	g.Eventually(gw.openJobs).Should(Equal(1))
	ctx, leave := context.WithCancel(t.Context())
	leave()
	o := gw.Submit(ctx, job, nil)
	g.Expect(o.Refused).To(HaveField("Verdict", structs.MayHaveRun))
	g.Expect(gw.openJobs()).To(Equal(1))
}

// Guards against an answer that cannot be read: it stands behind the beginning of an interim response. A client that has
// closed only its side of the connection still reads it.
func TestAnswerToHalfClosedClientIsReadable(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(new(strings.Builder))
	gw.logger = log.NewNopLogger()
	gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Minute)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := instance.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := gw.Submit(r.Context(), dispatch.Job{
			Name: "job", Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Minute,
		}, nil)
		fmt.Fprint(w, o.Status)
	}), log.NewNopLogger())
	defer s.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(gw.openJobs).Should(Equal(1))
	gw.mu.Lock()
	gw.probeCallers([]dispatch.CallID{1})
	gw.mu.Unlock()
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(all))), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.StatusCode).To(BeElementOf(100, 200))
}
