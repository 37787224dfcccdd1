package platformlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/standin/slowlink"
)

const testTimeout = 200 * time.Millisecond

func start(t *testing.T, f logserver.Faults) (*logserver.Server, *platformlog.Client) {
	t.Helper()
	g := NewWithT(t)
	srv, err := logserver.Start("127.0.0.1:0", f)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { srv.Close() })
	c, err := platformlog.NewClient(srv.URL(), testTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	return srv, c
}

func TestAppendAndRead(t *testing.T) {
	g := NewWithT(t)
	srv, c := start(t, logserver.Faults{KeepRecords: 2})
	ctx := context.Background()
	for want, text := range []string{"a", "b", "c"} {
		offset, err := c.Append(ctx, []byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(offset).To(Equal(uint64(want)))
	}
	records, err := c.Read(ctx, 1, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal([]platformlog.Record{{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")}}))
	g.Expect(c.Read(ctx, 3, 10)).To(BeEmpty())
	_, err = c.Read(ctx, 0, 10)
	g.Expect(err).To(MatchError(platformlog.ErrTruncated))
	_, err = c.Read(ctx, 4, 10)
	g.Expect(err).To(MatchError(platformlog.ErrOutOfRange))
	earliest, next, err := c.Bounds(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]uint64{earliest, next}).To(Equal([]uint64{1, 3}))
	g.Expect(srv.Faults().KeepRecords).To(Equal(2))
}

// TestNotAppendedOnlyIfCertain: the client must not return ErrNotAppended for an
// append in doubt, such as one whose reply was lost.
func TestNotAppendedOnlyIfCertain(t *testing.T) {
	tests := []struct {
		name     string
		faults   logserver.Faults
		certain  bool
		appended uint64
	}{
		{"down", logserver.Faults{Down: true}, false, 0},
		{"reply lost", logserver.Faults{DropReplies: true}, false, 1},
		{"slow", logserver.Faults{Delay: logserver.Duration(10 * testTimeout)}, false, 0},
		{"over the rate", logserver.Faults{AppendsPerSecond: 0.001}, true, 1}, // the first append is within the rate
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			srv, c := start(t, tt.faults)
			if tt.certain {
				_, err := c.Append(context.Background(), []byte("first"))
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err := c.Append(context.Background(), []byte("a"))
			g.Expect(err).To(HaveOccurred())
			if tt.certain {
				g.Expect(err).To(MatchError(platformlog.ErrNotAppended))
			} else {
				g.Expect(err).NotTo(MatchError(platformlog.ErrNotAppended))
			}
			_, next := srv.Bounds()
			g.Expect(next).To(Equal(tt.appended))
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		g := NewWithT(t)
		srv, c := start(t, logserver.Faults{})
		srv.Close()
		_, err := c.Append(context.Background(), []byte("a"))
		g.Expect(err).To(MatchError(platformlog.ErrNotAppended))
	})
	t.Run("too large", func(t *testing.T) {
		g := NewWithT(t)
		_, c := start(t, logserver.Faults{})
		_, err := c.Append(context.Background(), make([]byte, platformlog.MaxRecordBytes+1))
		g.Expect(err).To(MatchError(platformlog.ErrNotAppended))
	})
}

// blackholeProxy forwards connections to a server. When generation increases,
// the open connections stop forwarding bytes but stay open; new ones work.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	generation atomic.Int64
	accepted   atomic.Int64
}

func (p *blackholeProxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		generation := p.generation.Load()
		var once sync.Once
		closeBoth := func() { once.Do(func() { in.Close(); out.Close() }) }
		go p.copy(out, in, generation, closeBoth)
		go p.copy(in, out, generation, closeBoth)
	}
}

func (p *blackholeProxy) copy(to, from net.Conn, generation int64, done func()) {
	defer done()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.generation.Load() != generation {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestUnresponsiveConnectionsAreReplaced: when all pooled connections have
// stopped carrying data without being closed, one request times out, and the
// next must use a new connection rather than another pooled one.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	srv, _ := start(t, logserver.Faults{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	proxy := &blackholeProxy{listener: l, target: srv.Addr()}
	go proxy.run()
	c, err := platformlog.NewClient("http://"+l.Addr().String(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()

	var wg sync.WaitGroup
	for range 3 { // several idle connections
		wg.Go(func() { _, _, _ = c.Bounds(context.Background()) })
	}
	wg.Wait()
	proxy.generation.Add(1)
	_, _, err = c.Bounds(context.Background())
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	_, _, err = c.Bounds(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a follower that never gets past a large record, such as a checkpoint: a
// read was given up after a fixed time with all that had arrived, and started again from
// the same offset.
func TestLargeRecordIsReadOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	const size, rateLimit = 200_000, 400_000 // bytes, bytes per second
	record := platformlog.Record{Offset: 7, Data: bytes.Repeat([]byte("x"), size)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(platformlog.ReadReply{Records: []platformlog.Record{record}})
	})}
	go srv.Serve(slowlink.NewListener(l, rateLimit))
	defer srv.Close()
	c, err := platformlog.NewClient("http://"+l.Addr().String(), testTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.Read(t.Context(), 7, 10)).To(Equal([]platformlog.Record{record}))
}

// Guards against a large record, such as a checkpoint, that is appended again and again:
// an append was given up after a fixed time, whatever its size.
func TestLargeRecordIsAppendedOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	const size, rateLimit = 100_000, 100_000 // bytes, bytes per second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	received := make(chan []byte, 1)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- body
		json.NewEncoder(w).Encode(platformlog.AppendReply{Offset: 9})
	})}
	go srv.Serve(slowlink.NewListener(l, rateLimit))
	defer srv.Close()
	c, err := platformlog.NewClient("http://"+l.Addr().String(), testTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	data := bytes.Repeat([]byte("x"), size)
	g.Expect(c.Append(t.Context(), data)).To(BeEquivalentTo(9))
	g.Expect(received).To(Receive(Equal(data)))
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	g := NewWithT(t)
	b := platformlog.Backoff{Base: time.Millisecond, Max: 4 * time.Millisecond}
	for _, bound := range []time.Duration{1, 2, 4, 4, 4} {
		g.Expect(b.Next()).To(And(BeNumerically(">=", bound*time.Millisecond/2), BeNumerically("<=", bound*time.Millisecond)))
	}
	b.Reset()
	g.Expect(b.Next()).To(BeNumerically("<=", time.Millisecond))
}
