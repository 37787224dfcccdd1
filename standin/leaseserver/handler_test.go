package leaseserver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// Guards against a stand-in that carries out calls while it is down: their runs never end, and
// the checks of soaks count them as running.
func TestServerThatIsDownCarriesOutNothing(t *testing.T) {
	g := NewWithT(t)
	started := make(chan leaseserver.RunningTask, 1)
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID: "server-1", HeartbeatURL: "http://127.0.0.1:1",
		BehaviorOf: func(string, string) leaseserver.Behavior { return leaseserver.Behavior{Duration: time.Hour} },
		OnStart:    func(_ string, run leaseserver.RunningTask, _ time.Time) { started <- run },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server.Serve(l)
	defer server.Close()

	// The call has reached its handler, which reads the body while the server crashes.
	body, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/chestnuthollow/run-start", body)
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer func() { recover() }() // the handler aborts the call
		server.Handler().ServeHTTP(discard{}, request)
	}()
	_, err = io.WriteString(writer, `{"task":"0123456789abcdef.0.0.0","run":1,`)
	g.Expect(err).NotTo(HaveOccurred())
	server.CrashFor(time.Minute)
	_, err = io.Copy(writer, strings.NewReader(`"deadlineMs":9000000000}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.Close()).To(Succeed())
	g.Eventually(served).Should(BeClosed())
	g.Expect(started).To(BeEmpty(), "a server that is down starts no run")
}

// Guards against a stand-in whose connections outlast an incarnation: a call that is bound to one
// of them is carried out by the next incarnation, by the clock of the earlier one.
func TestConnectionsEndWithTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	started := make(chan leaseserver.RunningTask, 1)
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID: "server-1", HeartbeatURL: "http://127.0.0.1:1",
		BehaviorOf: func(string, string) leaseserver.Behavior { return leaseserver.Behavior{Duration: time.Hour} },
		OnStart:    func(_ string, run leaseserver.RunningTask, _ time.Time) { started <- run },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server.Serve(l)
	defer server.Close()
	post := func(c net.Conn, call, body string) error {
		request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/chestnuthollow/"+call, strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		if err := request.Write(c); err != nil {
			return err
		}
		reply, err := http.ReadResponse(bufio.NewReader(c), request)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, reply.Body)
		return errors.Join(err, reply.Body.Close())
	}
	connect := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}

	earlier := connect()
	g.Expect(post(earlier, "hold", `{}`)).To(Succeed())
	server.Crash()
	start := `{"task":"0123456789abcdef.0.0.0","run":1,"deadlineMs":9000000000}`
	g.Expect(post(earlier, "run-start", start)).NotTo(Succeed())
	g.Expect(started).To(BeEmpty(), "the connection has ended with the incarnation")
	g.Expect(post(connect(), "run-start", start)).To(Succeed(), "the next incarnation serves at once")
	g.Expect(started).To(HaveLen(1))
}

// Guards against a stand-in that carries out calls for another server, at once or late: the
// platform's servers reject them.
func TestCallsForOtherServerAreRejected(t *testing.T) {
	for _, late := range []float64{0, 1} {
		for _, call := range []string{"run-start", "run-stop", "hold"} {
			t.Run(fmt.Sprintf("%s/late share %v", call, late), func(t *testing.T) {
				g := NewWithT(t)
				server := leaseserver.NewHTTPServer(leaseserver.Options{ID: "server-1", HeartbeatURL: "http://127.0.0.1:1"})
				defer server.Close()
				server.SetDelayedCallShare(late)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/chestnuthollow/"+call, strings.NewReader(`{}`))
				request.Header.Set("Expect-Instance", "server-2")
				reply := httptest.NewRecorder()
				server.Handler().ServeHTTP(reply, request)
				g.Expect(reply.Code).To(Equal(http.StatusMisdirectedRequest))
			})
		}
	}
}

// Guards against an end that is told by the time at which a busy machine got round to it.
func TestEndsAreToldByTheServersClock(t *testing.T) {
	g := NewWithT(t)
	const runTime = 20 * time.Millisecond
	var startedAt, endedAt time.Time
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID:         "server-1",
		BehaviorOf: func(string, string) leaseserver.Behavior { return leaseserver.Behavior{Duration: runTime} },
		OnStart:    func(_ string, _ leaseserver.RunningTask, at time.Time) { startedAt = at },
		OnEnd:      func(_ string, _ leaseserver.TaskRun, _ string, at time.Time) { endedAt = at },
	})
	call := func(path, body string) {
		request, err := http.NewRequest(http.MethodPost, "/chestnuthollow/"+path, strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		server.Handler().ServeHTTP(discard{}, request)
	}
	call("run-start", `{"task":"0123456789abcdef.0.0.0","run":1,"deadlineMs":9000000000}`)
	time.Sleep(5 * runTime)
	call("hold", `{}`) // the clock is advanced late
	g.Expect(endedAt.Sub(startedAt)).To(Equal(runTime))
}

// discard is a connection that is closed.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
