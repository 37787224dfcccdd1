package intake

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

const (
	// socketBuffer is the size in bytes of the buffers of a connection in each direction. The kernel takes
	// twice as much. It bounds what is received and not read, and what is sent and not acknowledged.
	socketBuffer = 16 << 10
	// writeTimeout bounds the time in which a client reads nothing of a response.
	writeTimeout = 5 * time.Second
	// logInterval is the least time between two log lines of one kind.
	logInterval = time.Second
)

// Listener accepts a bounded number of connections. It is a net.Listener for one http.Server, see Attach.
type Listener struct {
	net.Listener
	logger  log.Logger
	logging rate.Sometimes

	mu     sync.Mutex
	table  connTable
	closed int64 // connections closed for new ones
}

// Listen binds a TCP address. The listener keeps at most conns connections.
func Listen(addr string, conns int, logger log.Logger) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = limitBuffers(int(fd)) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(l.(*net.TCPListener), conns); err != nil {
		l.Close()
		return nil, err
	}
	return &Listener{
		Listener: l, logger: logger, logging: rate.Sometimes{Interval: logInterval}, table: connTable{limit: conns},
	}, nil
}

// limitBuffers sets the buffers of a listening socket, which its connections inherit. It has to be called
// before the socket listens.
func limitBuffers(fd int) error {
	for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, socketBuffer); err != nil {
			return err
		}
	}
	return nil
}

// limitBacklog bounds the connections that wait to be accepted, as long as the process is late. Their buffers
// count as its memory, too. The system's own limit, which net.Listen sets, holds if it is lower.
func limitBacklog(l *net.TCPListener, conns int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), conns) })
	if controlErr != nil {
		return controlErr
	}
	return os.NewSyscallError("listen", err)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: accepted.(*net.TCPConn), listener: l}
		c.member.conn = c
		if l.add(c) {
			return c, nil
		}
	}
}

// add reports whether c was added to the table. It closes the connection that has to make way, which may be
// c itself.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	closed := l.table.add(time.Now(), &c.member)
	if closed != nil {
		l.closed++
	}
	total, limit := l.closed, l.table.limit
	l.mu.Unlock()
	if closed == nil {
		return true
	}
	closed.conn.TCPConn.Close()
	l.logging.Do(func() {
		level.Warn(l.logger).Log("event", "connections_limited", "addr", l.Addr(), "limit", limit, "closed", total)
	})
	return closed != &c.member
}

// Counts returns the number of open connections, and how many were closed to make way for others.
func (l *Listener) Counts() (open int, closed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.count, l.closed
}

// Attach makes s tell the listener what its connections do. It has to be called before s.Serve(l).
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			l.move(c.(*conn), receiving)
		case http.StateIdle:
			l.move(c.(*conn), idle)
		}
	}
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = respondEarly(s.Handler)
}

func (l *Listener) move(c *conn, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.move(time.Now(), &c.member, p)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come over a connection of a Listener.
func connOf(r *http.Request) *conn {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c
}

// conn is a connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener
	member   member // guarded by listener.mu
	whole    bool   // the current request has arrived as a whole; used by the goroutine that serves it
}

// received records that the current request has arrived as a whole.
func (c *conn) received() {
	c.whole = true
	c.listener.move(c, serving)
}

// Write implements net.Conn. A connection whose client does not read the response may be closed for a new one.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.move(c, receiving)
	written := 0
	for part := range slices.Chunk(p, socketBuffer) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.table.remove(&c.member)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
