package instance

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

const (
	// readHeaderTimeout and readTimeout bound how long a caller may take to send the
	// header and the whole of a request. They cover several lost packets.
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 10 * time.Second
	// idleTimeout is how long a connection without requests is kept open. Callers
	// reuse a connection as long as they have work.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of a request. Callers send far less.
	maxHeaderBytes = 16 << 10
)

// Listeners are the listeners of a process, in the order of the bindings.
type Listeners []net.Listener

// Binding is a TCP address to listen at.
type Binding struct {
	Addr string
	// Conns bounds the connections. Zero is for a server that bounds them itself.
	Conns int
}

// Listen binds TCP addresses. If one cannot be bound, it closes the others.
func Listen(logger log.Logger, bindings ...Binding) (Listeners, error) {
	var bound Listeners
	for _, b := range bindings {
		l, err := b.listen(logger)
		if err != nil {
			bound.Close()
			return nil, err
		}
		bound = append(bound, l)
	}
	return bound, nil
}

func (b Binding) listen(logger log.Logger) (net.Listener, error) {
	if b.Conns == 0 {
		return net.Listen("tcp", b.Addr)
	}
	return intake.Listen(b.Addr, b.Conns, logger)
}

// Counts returns the open connections of all listeners that bound them, and how many were closed to make
// way for others.
func (b Listeners) Counts() (open int, closed int64) {
	for _, l := range b {
		if l, ok := l.(*intake.Listener); ok {
			o, c := l.Counts()
			open, closed = open+o, closed+c
		}
	}
	return open, closed
}

// Close closes all listeners. It may be called more than once.
func (b Listeners) Close() {
	for _, l := range b {
		l.Close()
	}
}

// Serve starts an HTTP server that limits the duration and the header size of
// requests, and uses the bounds of package intake if l is one of its listeners. It
// has no write timeout, because the answer to a job is sent when the job has ended.
func Serve(l net.Listener, h http.Handler, logger log.Logger) *http.Server {
	s := &http.Server{
		Handler:           h,
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Stdlib(logger, "http_server"),
	}
	if bounded, ok := l.(*intake.Listener); ok {
		bounded.Attach(s)
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			level.Error(logger).Log("event", "http_server_failed", "addr", l.Addr(), "reason", err)
		}
	}()
	return s
}
