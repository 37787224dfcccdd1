package instance

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

const (
	// headerTimeout and readTimeout bound how long a caller may take to send
	// the header and the whole of a request: several lost packets.
	headerTimeout = 3 * time.Second
	readTimeout   = 10 * time.Second
	// idleTimeout is when a connection without requests is closed; callers keep
	// theirs for a whole session of work.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds a request's header: far more than callers send.
	maxHeaderBytes = 16 << 10
)

// Listeners are the bound addresses of a process, in the order of Listen.
type Listeners []net.Listener

// Listen binds TCP addresses, all or none.
func Listen(addrs ...string) (Listeners, error) {
	var bound Listeners
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			bound.Close()
			return nil, err
		}
		bound = append(bound, l)
	}
	return bound, nil
}

// Close closes all listeners; those that are closed already stay so.
func (b Listeners) Close() {
	for _, l := range b {
		l.Close()
	}
}

// Serve starts an HTTP server on which slow and oversized requests cost little.
// It has no write timeout: the answer to a job comes when the job has ended.
func Serve(l net.Listener, h http.Handler, logger log.Logger) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Stdlib(logger, "http_server"),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			level.Error(logger).Log("event", "http_server_failed", "addr", l.Addr(), "reason", err)
		}
	}()
	return s
}
