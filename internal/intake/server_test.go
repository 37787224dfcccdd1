package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
)

const (
	bodyLimit = 256 << 10
	patience  = "20s"
)

// server answers with the length of each body, or refuses it.
type server struct {
	addr     string
	listener *intake.Listener
	pool     *intake.Pool
}

func startServer(t testing.TB, limits intake.Limits) *server {
	g := NewWithT(t)
	l, err := intake.Listen("127.0.0.1:0", limits.Conns, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	s := &server{addr: l.Addr().String(), listener: l, pool: intake.NewPool(limits, log.NewNopLogger())}
	h := &http.Server{Handler: http.HandlerFunc(s.handle), ReadTimeout: 20 * time.Second}
	l.Attach(h)
	go h.Serve(l)
	t.Cleanup(func() { h.Close() })
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/unread":
		w.WriteHeader(http.StatusNotFound)
		return
	case "/large":
		w.Write(make([]byte, 16<<20)) // fails if the connection is closed
		return
	}
	body, err := s.pool.Read(w, r, bodyLimit)
	if shortage := (*intake.ShortageError)(nil); errors.As(err, &shortage) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer body.Close()
	err = body.Decode(r.Context(), func(text []byte) error {
		_, err := fmt.Fprintf(w, "%d %d", len(text), bytes.Count(text, []byte("x")))
		return err
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// roomy are limits that a test does not meet.
var roomy = intake.Limits{Conns: 100, OtherConns: 100, BodyBytes: 64 << 20, DecodeBytes: 64 << 20}

// dial sends text over a new connection.
func (s *server) dial(t testing.TB, text string) net.Conn {
	conn, err := net.Dial("tcp", s.addr)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	go io.WriteString(conn, text) // the server may refuse to read all
	return conn
}

func post(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n" + body
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// answer reads the response on a connection.
func answer(t testing.TB, conn net.Conn) (status int, body string) {
	g := NewWithT(t)
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(text)
}

func (s *server) held() int64 {
	held, _ := s.pool.Held()
	return held
}

// Guards against bodies that are cut or mixed up where their buffer grows, and against memory that stays
// counted.
func TestBodiesAreReadWhole(t *testing.T) {
	s := startServer(t, roomy)
	for _, n := range []int{0, 1, 511, 512, 513, intake.SmallBody - 1, intake.SmallBody, intake.SmallBody + 1, 2*intake.SmallBody - 1, 2 * intake.SmallBody, 100_000, bodyLimit - 1, bodyLimit} {
		for form, body := range map[string]io.Reader{
			"declared": strings.NewReader(strings.Repeat("x", n)),
			"chunked":  io.MultiReader(strings.NewReader(strings.Repeat("x", n))),
		} {
			t.Run(fmt.Sprintf("%s %d", form, n), func(t *testing.T) {
				g := NewWithT(t)
				resp, err := http.Post("http://"+s.addr, "text/plain", body)
				g.Expect(err).NotTo(HaveOccurred())
				defer resp.Body.Close()
				text, err := io.ReadAll(resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(text)).To(Equal(fmt.Sprintf("%d %d", n, n)))
				g.Eventually(s.held, patience).Should(BeZero())
			})
		}
	}
}

// Guards against a client that waits for its refusal until all of its body has arrived, and against one that
// gets a reset in its place.
func TestRefusalArrivesBeforeTheBody(t *testing.T) {
	s := startServer(t, roomy)
	part := strings.Repeat("x", 20_000)
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"declared too long":      {post("/", length(bodyLimit+1), part), http.StatusBadRequest},
		"chunked too long":       {post("/", "Transfer-Encoding: chunked\r\n", strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", bodyLimit/0x1000+1)), http.StatusBadRequest},
		"not read":               {post("/unread", length(bodyLimit), part), http.StatusNotFound},
		"not read, will close":   {post("/unread", "Connection: close\r\n"+length(bodyLimit), part), http.StatusNotFound},
		"chunked, not read":      {post("/unread", "Transfer-Encoding: chunked\r\n", "1000\r\n"), http.StatusNotFound},
		"expects to be asked":    {post("/unread", "Expect: 100-continue\r\n"+length(bodyLimit), ""), http.StatusNotFound},
		"too long, would wait":   {post("/", "Expect: 100-continue\r\n"+length(bodyLimit+1), ""), http.StatusBadRequest},
		"HTTP/1.0, not read":     {strings.Replace(post("/unread", length(bodyLimit), part), "HTTP/1.1", "HTTP/1.0", 1), http.StatusNotFound},
		"cut off in a chunk":     {post("/", "Transfer-Encoding: chunked\r\n", "zz\r\n"), http.StatusBadRequest},
		"nothing to be refused":  {post("/unread", length(0), ""), http.StatusNotFound},
		"whole body, not needed": {post("/unread", length(len(part)), part), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			status, _ := answer(t, s.dial(t, test.text))
			NewWithT(t).Expect(status).To(Equal(test.status))
		})
	}
	NewWithT(t).Eventually(s.held, patience).Should(BeZero())
}

// Guards against small bodies that are refused because of large ones, against large ones that are refused
// for longer than slow ones may hold the memory, and against clients that are not told.
func TestSlowBodiesMakeWay(t *testing.T) {
	const size, first = 100_000, 2 * intake.SmallBody
	g := NewWithT(t)
	limits := roomy
	limits.BodyBytes = 16 * first
	s := startServer(t, limits)
	text := func(n int) string { return strings.Repeat("x", n) }
	var slow [16]net.Conn
	for i := range slow {
		slow[i] = s.dial(t, post("/", length(size), text(first-1)))
	}
	g.Eventually(s.held, patience).Should(BeEquivalentTo(limits.BodyBytes))
	status, _ := answer(t, s.dial(t, post("/", length(size), text(size))))
	g.Expect(status).To(Equal(http.StatusTooManyRequests), "the slow bodies are young")
	status, _ = answer(t, s.dial(t, post("/", "Expect: 100-continue\r\n"+length(size), "")))
	g.Expect(status).To(Equal(http.StatusTooManyRequests), "refused before it is sent")
	status, _ = answer(t, s.dial(t, post("/", length(intake.SmallBody), text(intake.SmallBody))))
	g.Expect(status).To(Equal(http.StatusOK))

	g.Eventually(func() int {
		status, _ := answer(t, s.dial(t, post("/", length(size), text(size))))
		return status
	}, patience).Should(Equal(http.StatusOK))
	statuses := make(map[int]int)
	for _, conn := range slow {
		io.WriteString(conn, text(size-first+1)) // fails if the connection is closed already
		status, _ = answer(t, conn)
		statuses[status]++
	}
	g.Expect(statuses).To(And(HaveLen(2), HaveKey(http.StatusOK), HaveKey(http.StatusTooManyRequests)))
	g.Eventually(s.held, patience).Should(BeZero())
}

// Guards against clients that send nothing, or part of a request, and keep others from being served.
func TestConnectionsAreReplaced(t *testing.T) {
	for name, text := range map[string]string{
		"silent":      "",
		"in a header": "POST / HTTP/1.1\r\nHost:",
		"in a body":   post("/", length(10), "x"),
		"lingering":   post("/unread", length(10), "x"),
		"idle":        post("/", length(1), "x"),
		"deaf":        post("/large", length(0), ""),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			limits := roomy
			limits.Conns = 4
			s := startServer(t, limits)
			for range 3 * limits.Conns {
				s.dial(t, text)
				time.Sleep(10 * time.Millisecond) // so that none is replaced in its round trip
			}
			g.Eventually(func() int64 { _, closed := s.listener.Counts(); return closed }, patience).Should(BeNumerically(">=", 2*limits.Conns))
			open, _ := s.listener.Counts()
			g.Expect(open).To(BeNumerically("<=", limits.Conns))
			status, _ := answer(t, s.dial(t, post("/", length(1), "x")))
			g.Expect(status).To(Equal(http.StatusOK))
		})
	}
}

// Guards against connections that take memory before they are accepted, while the process is late.
func TestConnectionsThatWaitToBeAcceptedAreBounded(t *testing.T) {
	const conns, dials = 4, 40
	g := NewWithT(t)
	l, err := intake.Listen("127.0.0.1:0", conns, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	done := make(chan struct{}, dials)
	for range dials {
		go func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
			if err == nil {
				t.Cleanup(func() { conn.Close() })
			}
			done <- struct{}{}
		}()
	}
	for range dials {
		<-done
	}
	n := acceptQueue(g, l.Addr())
	g.Expect(n).To(BeNumerically("<=", conns+1), "the kernel takes one more than the backlog")
	g.Expect(n).To(BeNumerically(">", 0))
}

// acceptQueue returns how many connections wait to be accepted at addr.
func acceptQueue(g *WithT, addr net.Addr) int64 {
	const stateColumn, listening = 3, "0A"
	port := fmt.Sprintf(":%04X", addr.(*net.TCPAddr).Port)
	text, err := os.ReadFile("/proc/self/net/tcp")
	g.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > stateColumn+1 && strings.HasSuffix(f[1], port) && f[stateColumn] == listening {
			_, waiting, _ := strings.Cut(f[stateColumn+1], ":")
			n, err := strconv.ParseInt(waiting, 16, 64)
			g.Expect(err).NotTo(HaveOccurred())
			return n
		}
	}
	g.Expect(string(text)).To(ContainSubstring(port))
	return 0
}

// Guards against requests that are decoded at once and take more memory together than there is.
func TestBodiesAreDecodedWithinTheirMemory(t *testing.T) {
	g := NewWithT(t)
	limits := roomy
	limits.DecodeBytes = 10
	pool := intake.NewPool(limits, log.NewNopLogger())
	read := func() *intake.Body {
		r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader("xy"))
		g.Expect(err).NotTo(HaveOccurred())
		body, err := pool.Read(nil, r, bodyLimit)
		g.Expect(err).NotTo(HaveOccurred())
		return body
	}
	err := read().Decode(t.Context(), func([]byte) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		return read().Decode(ctx, func([]byte) error { return errors.New("decoded at the same time") })
	})
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(read().Decode(t.Context(), func(text []byte) error { return nil })).To(Succeed())
}

// FuzzConnection: whatever a client sends, the server goes on, closes the connection after the client has
// closed its side, and holds no memory for it.
func FuzzConnection(f *testing.F) {
	s := startServer(f, intake.Limits{Conns: 8, OtherConns: 8, BodyBytes: 2 * bodyLimit, DecodeBytes: 1 << 20})
	f.Add([]byte(""))
	f.Add([]byte(post("/", length(3), "xxx")))
	f.Add([]byte(post("/", "Transfer-Encoding: chunked\r\n", "2\r\nxx\r\n0\r\n\r\n") + post("/unread", length(5), "xx")))
	f.Add([]byte(post("/", "Expect: 100-continue\r\n"+length(20_000), strings.Repeat("x", 20_000))))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		go func() {
			conn.Write(data)
			conn.(*net.TCPConn).CloseWrite()
		}()
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.Copy(io.Discard, conn)
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			t.Error("the connection stays open after its client has closed it")
		}
		for end := time.Now().Add(10 * time.Second); s.held() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held", s.held())
			}
		}
	})
}
