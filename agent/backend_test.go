package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const testTimeout = 5 * time.Second

func newStartTask(index int) *executor.StartTask {
	return &executor.StartTask{
		Task:    structs.TaskID{Job: structs.JobID{Home: 7, Seq: 1}, Index: index},
		Spec:    structs.TaskSpec{Kind: "hold", ContentType: "text/plain", Payload: []byte("payload")},
		Team:    "front-desk",
		Timeout: testTimeout,
	}
}

// rawServer is a backend server whose connections are handled by a function of the
// test.
type rawServer struct {
	url string

	mu     sync.Mutex
	starts map[string]int // by task id
}

func startRawServer(t *testing.T, serve func(*rawServer, net.Conn)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	s := &rawServer{url: "http://" + l.Addr().String(), starts: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(s, conn)
			}()
		}
	}()
	return s
}

// read reads one request and counts it as a start of its task.
func (s *rawServer) read(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, req.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[req.Header.Get(HeaderTaskID)]++
	return true
}

func (s *rawServer) startsOf(ef *executor.StartTask) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[ef.Task.String()]
}

// startAnsweringServer starts a server that reads one request per connection and
// answers it with the given bytes.
func startAnsweringServer(t *testing.T, response string) *rawServer {
	return startRawServer(t, func(s *rawServer, conn net.Conn) {
		if s.read(bufio.NewReader(conn)) {
			io.WriteString(conn, response)
		}
	})
}

func TestVerdictOfBackendAnswer(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name, response string
		verdict        structs.Verdict
		code           structs.ErrorCode
	}{
		{"success", ok, structs.Ran, ""},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", structs.Ran, ""},
		{"declined with the not-run verdict", "HTTP/1.1 503 x\r\nChestnuthollow-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", structs.NotRun, structs.CodeUnavailable},
		{"unavailable without a verdict", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"verdict with another status", "HTTP/1.1 500 x\r\nChestnuthollow-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"redirect to a GET", "HTTP/1.1 302 x\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"redirect", "HTTP/1.1 307 x\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"failure", "HTTP/1.1 500 x\r\nContent-Length: 4\r\n\r\noops", structs.Ran, structs.CodeBackend},
		{"truncated result", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", structs.Ran, structs.CodeResultLost},
		{"result too large", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", structs.MaxResultBytes+1), structs.Ran, structs.CodeTooLarge},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxBackendHeader), structs.MayHaveRun, structs.CodeBackend},
		{"not HTTP", "hello\r\n\r\n", structs.MayHaveRun, structs.CodeBackend},
		{"closed without an answer", "", structs.MayHaveRun, structs.CodeBackend},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			s := startAnsweringServer(t, tt.response)
			ef := newStartTask(3)
			done := newBackend(s.url, 1).call(context.Background(), ef)
			g.Expect(done.Result.Verdict).To(Equal(tt.verdict))
			g.Expect(codeOfResult(&done.Result)).To(Equal(tt.code))
			g.Expect(done.Result.Index).To(Equal(3))
			g.Expect(s.startsOf(ef)).To(Equal(1))
		})
	}
}

func codeOfResult(r *structs.TaskResult) structs.ErrorCode {
	if r.Error == nil {
		return ""
	}
	return r.Error.Code
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	done := newBackend("http://"+l.Addr().String(), 1).call(context.Background(), newStartTask(0))
	g.Expect(done.Result.Verdict).To(Equal(structs.NotRun))
	g.Expect(done.Result.Error.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(done.ServiceTime).To(BeZero())
}

func TestTimeoutOrStopAfterSendingMayHaveRun(t *testing.T) {
	for name, code := range map[string]structs.ErrorCode{"timeout": structs.CodeTimeout, "stop": structs.CodeCanceled} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, stop := context.WithCancelCause(context.Background())
			s := startRawServer(t, func(s *rawServer, conn net.Conn) {
				r := bufio.NewReader(conn)
				s.read(r)
				if name == "stop" {
					stop(errStopped)
				}
				r.ReadByte() // blocks until the client closes the connection
			})
			ef := newStartTask(0)
			if name == "timeout" {
				ef.Timeout = 50 * time.Millisecond
			}
			done := newBackend(s.url, 1).call(ctx, ef)
			g.Expect(done.Result.Verdict).To(Equal(structs.MayHaveRun))
			g.Expect(done.Result.Error.Code).To(Equal(code))
		})
	}
}

func TestTimeoutBeforeSendingIsNotRun(t *testing.T) {
	g := NewWithT(t)
	s := startAnsweringServer(t, "")
	ef := newStartTask(0)
	ef.Timeout = time.Nanosecond
	done := newBackend(s.url, 1).call(context.Background(), ef)
	g.Expect(done.Result.Verdict).To(Equal(structs.NotRun))
	g.Expect(done.Result.Error.Code).To(Equal(structs.CodeTimeout))
	g.Expect(s.startsOf(ef)).To(BeZero())
}

// The server closes a keep-alive connection after it has read a second request on it.
// net/http would send that request again if it regarded it as idempotent.
func TestDroppedKeepAliveConnectionCausesNoSecondStart(t *testing.T) {
	g := NewWithT(t)
	s := startRawServer(t, func(s *rawServer, conn net.Conn) {
		r := bufio.NewReader(conn)
		if s.read(r) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			s.read(r)
		}
	})
	b := newBackend(s.url, 1)
	for i := range 10 {
		ef := newStartTask(i)
		if i%2 == 1 {
			ef.Spec.Payload = nil // a request without a body could be sent again without GetBody
		}
		done := b.call(context.Background(), ef)
		want := map[structs.Verdict]int{structs.Ran: 1, structs.MayHaveRun: 1, structs.NotRun: 0}
		g.Expect(s.startsOf(ef)).To(Equal(want[done.Result.Verdict]))
	}
}

// The server closes each connection right after its answer, without a Connection:
// close header, which races with the next request. The verdict must always agree
// with the number of starts.
func TestVerdictMatchesStartsWhenServerClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s := startAnsweringServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	b := newBackend(s.url, 1)
	for i := range 200 {
		ef := newStartTask(i)
		switch done := b.call(context.Background(), ef); done.Result.Verdict {
		case structs.Ran:
			g.Expect(s.startsOf(ef)).To(Equal(1))
		case structs.NotRun:
			g.Expect(s.startsOf(ef)).To(BeZero())
		default:
			g.Expect(s.startsOf(ef)).To(BeNumerically("<=", 1))
		}
	}
}

func TestBackendRequestFormat(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	var payload []byte
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r
		payload, _ = io.ReadAll(r.Body)
	}))
	defer srv.Close()
	newBackend(srv.URL+"/", 1).call(context.Background(), newStartTask(7))
	g.Expect(got.Method).To(Equal(http.MethodPost))
	g.Expect(got.URL.Path).To(Equal("/tasks"))
	g.Expect(string(payload)).To(Equal("payload"))
	for key, want := range map[string]string{
		HeaderJob:      "0000000000000007-1",
		HeaderTask:     "7",
		HeaderTaskID:   "0000000000000007-1/7",
		HeaderTeam:     "front-desk",
		HeaderKind:     "hold",
		HeaderTimeout:  "5000",
		"Content-Type": "text/plain",
	} {
		g.Expect(got.Header.Get(key)).To(Equal(want), key)
	}
	deadline, err := time.Parse(time.RFC3339Nano, got.Header.Get(HeaderDeadline))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(deadline).To(BeTemporally("~", time.Now().Add(testTimeout), testTimeout))
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	var tracker sendTracker
	tracker.connObtained(conn)
	g.Expect(tracker.verdict()).To(Equal(structs.NotRun))
	_, err := conn.Write([]byte("late"))
	g.Expect(err).To(MatchError(errSealed))
	tracker.connObtained(conn)
	_, err = conn.Write([]byte("later"))
	g.Expect(err).To(MatchError(errSealed))
}

// FuzzAnswer checks the result of arbitrary answers of a backend server: it is within
// the limits, and its verdict is NotRun only if the server declined the task.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 503 x\r\nChestnuthollow-Verdict: not-run\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(data))), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		res := replyResult(resp)
		if res.Verdict == structs.MayHaveRun {
			t.Error("verdict MayHaveRun although the backend server answered")
		}
		if (res.Verdict == structs.NotRun) != declined(resp) {
			t.Errorf("verdict %v for %q", res.Verdict, data)
		}
		if len(res.Body) > structs.MaxResultBytes || len(res.ContentType) > maxContentType {
			t.Error("the result exceeds its size limits")
		}
		if res.Error == nil && resp.StatusCode/100 != 2 {
			t.Errorf("result without an error for status %d", resp.StatusCode)
		}
	})
}
