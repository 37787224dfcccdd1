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

func startEffect(index int) *executor.StartTask {
	return &executor.StartTask{
		Task:    structs.TaskID{Job: structs.JobID{Home: 7, Seq: 1}, Index: index},
		Spec:    structs.TaskSpec{Kind: "hold", ContentType: "text/plain", Payload: []byte("payload")},
		Team:    "front-desk",
		Timeout: testTimeout,
	}
}

// rawServer is a backend server that treats each connection as it likes.
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

// read takes one request off a connection and notes the start of its task.
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

// answering returns a server that reads a request and sends bytes for it.
func answering(t *testing.T, response string) *rawServer {
	return startRawServer(t, func(s *rawServer, conn net.Conn) {
		if s.read(bufio.NewReader(conn)) {
			io.WriteString(conn, response)
		}
	})
}

func TestVerdictsOfAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name, response string
		verdict        structs.Verdict
		code           structs.ErrorCode
	}{
		{"success", ok, structs.Ran, ""},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", structs.Ran, ""},
		{"declined", "HTTP/1.1 503 x\r\nChestnuthollow-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", structs.NotRun, structs.CodeUnavailable},
		{"unavailable without a verdict", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"verdict with another status", "HTTP/1.1 500 x\r\nChestnuthollow-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"redirect to a GET", "HTTP/1.1 302 x\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"redirect", "HTTP/1.1 307 x\r\nLocation: /tasks\r\nContent-Length: 0\r\n\r\n", structs.Ran, structs.CodeBackend},
		{"failure", "HTTP/1.1 500 x\r\nContent-Length: 4\r\n\r\noops", structs.Ran, structs.CodeBackend},
		{"result cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", structs.Ran, structs.CodeResultLost},
		{"result too large", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", structs.MaxResultBytes+1), structs.Ran, structs.CodeTooLarge},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxBackendHeader), structs.MayHaveRun, structs.CodeBackend},
		{"not HTTP", "hello\r\n\r\n", structs.MayHaveRun, structs.CodeBackend},
		{"closed without an answer", "", structs.MayHaveRun, structs.CodeBackend},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			s := answering(t, tt.response)
			ef := startEffect(3)
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
	done := newBackend("http://"+l.Addr().String(), 1).call(context.Background(), startEffect(0))
	g.Expect(done.Result.Verdict).To(Equal(structs.NotRun))
	g.Expect(done.Result.Error.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(done.ServiceTime).To(BeZero())
}

func TestTimeoutAndStopMayHaveRun(t *testing.T) {
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
				r.ReadByte() // until the client closes
			})
			ef := startEffect(0)
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
	s := answering(t, "")
	ef := startEffect(0)
	ef.Timeout = time.Nanosecond
	done := newBackend(s.url, 1).call(context.Background(), ef)
	g.Expect(done.Result.Verdict).To(Equal(structs.NotRun))
	g.Expect(done.Result.Error.Code).To(Equal(structs.CodeTimeout))
	g.Expect(s.startsOf(ef)).To(BeZero())
}

// A server that drops a kept connection after reading a second request on it is
// what net/http would retry by itself if it took the request for idempotent.
func TestDroppedKeptConnectionStartsNothingTwice(t *testing.T) {
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
		ef := startEffect(i)
		if i%2 == 1 {
			ef.Spec.Payload = nil // nothing to rewind
		}
		done := b.call(context.Background(), ef)
		want := map[structs.Verdict]int{structs.Ran: 1, structs.MayHaveRun: 1, structs.NotRun: 0}
		g.Expect(s.startsOf(ef)).To(Equal(want[done.Result.Verdict]))
	}
}

// A server that closes each connection right after its answer, without saying
// so, races the next request: whatever the verdict, it is true.
func TestClosedIdleConnectionsKeepVerdictsTrue(t *testing.T) {
	g := NewWithT(t)
	s := answering(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	b := newBackend(s.url, 1)
	for i := range 200 {
		ef := startEffect(i)
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

func TestRequestKeepsTheConvention(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	var payload []byte
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r
		payload, _ = io.ReadAll(r.Body)
	}))
	defer srv.Close()
	newBackend(srv.URL+"/", 1).call(context.Background(), startEffect(7))
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
	conn := &guardedConn{Conn: near}
	var sent guard
	sent.use(conn)
	g.Expect(sent.verdict()).To(Equal(structs.NotRun))
	_, err := conn.Write([]byte("late"))
	g.Expect(err).To(MatchError(errSealed))
	sent.use(conn)
	_, err = conn.Write([]byte("later"))
	g.Expect(err).To(MatchError(errSealed))
}

// FuzzAnswer holds any answer of a backend server to the convention.
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
		res := answer(resp)
		if res.Verdict == structs.MayHaveRun {
			t.Error("an answer says more than may have run")
		}
		if (res.Verdict == structs.NotRun) != saysNotRun(resp) {
			t.Errorf("verdict %v for %q", res.Verdict, data)
		}
		if len(res.Body) > structs.MaxResultBytes || len(res.ContentType) > maxContentType {
			t.Error("the result is over its limit")
		}
		if res.Error == nil && resp.StatusCode/100 != 2 {
			t.Errorf("status %d is no success", resp.StatusCode)
		}
	})
}
