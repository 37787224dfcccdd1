// Package rpcserver serves net/rpc connections with limits on the resources that
// peers can occupy: connections, pending calls, message sizes and idle time. It
// uses the gob encoding of net/rpc, so a standard rpc.Client can connect to it.
package rpcserver

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
)

// Options are the limits of a Server.
type Options struct {
	MaxConns        int           // at the limit, a new connection replaces the one that has been idle longest
	MaxCallsPerConn int           // pending calls; further requests are not read until some have got a reply
	MaxMessageBytes int           // limit of one request; a longer one fails
	IdleTimeout     time.Duration // maximum wait for the next complete request
	WriteTimeout    time.Duration // per reply
	// Messages bounds the memory of all requests that are being read; nil for no bound.
	Messages *intake.Messages
}

// DefaultOptions returns limits suitable for connections between the system's
// own processes.
func DefaultOptions() Options {
	return Options{
		MaxConns:        64,
		MaxCallsPerConn: 2048,
		MaxMessageBytes: 512 << 10,
		IdleTimeout:     5 * time.Minute,
		WriteTimeout:    10 * time.Second,
	}
}

// Server serves one net/rpc service.
type Server struct {
	opts     Options
	name     string
	receiver func(connCtx context.Context) any

	mu      sync.Mutex
	conns   map[*codec]struct{}
	closing bool
	wg      sync.WaitGroup
}

// New returns a Server of the service called name. The receiver function creates
// the object whose methods serve one connection. Its context is canceled when
// the connection is lost or closed; pending calls then need no reply.
func New(opts Options, name string, receiver func(connCtx context.Context) any) *Server {
	return &Server{opts: opts, name: name, receiver: receiver, conns: make(map[*codec]struct{})}
}

// Serve accepts connections until l is closed or Accept fails after Shutdown has
// been called. It always returns nil; other errors of Accept are retried.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err == nil {
			s.accept(conn)
			continue
		}
		if s.isClosing() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptRetryDelay prevents a busy loop while Accept fails.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// connKey is the context key of a connection's codec.
type connKey struct{}

// CloseConn closes the connection that a receiver's context belongs to.
func CloseConn(connCtx context.Context) {
	if c, ok := connCtx.Value(connKey{}).(*codec); ok {
		c.Close()
	}
}

func (s *Server) accept(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCodec(ctx, s, conn, cancel)
	ctx = context.WithValue(ctx, connKey{}, c)
	if !s.add(c) {
		c.Close()
		return
	}
	go s.serve(ctx, c)
}

// add registers a connection, unless the server is shutting down. At the limit
// it closes the connection that has been idle longest, because connections of
// unresponsive peers must not block new ones.
func (s *Server) add(c *codec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if len(s.conns) >= s.opts.MaxConns {
		s.closeMostIdle()
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	return true
}

// closeMostIdle closes the oldest connection that has sent no request, or else the
// one whose last request is the oldest. The caller must hold s.mu.
func (s *Server) closeMostIdle() {
	var mostIdle *codec
	for c := range s.conns {
		if mostIdle == nil || c.isMoreIdle(mostIdle) {
			mostIdle = c
		}
	}
	if mostIdle != nil {
		delete(s.conns, mostIdle)
		mostIdle.Close()
	}
}

func (s *Server) serve(ctx context.Context, c *codec) {
	defer s.wg.Done()
	srv := rpc.NewServer()
	if err := srv.RegisterName(s.name, s.receiver(ctx)); err != nil {
		panic(err) // programming error: the receiver's type has no suitable methods
	}
	srv.ServeCodec(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown stops reading requests, waits until the pending ones have got a reply and
// closes the connections. If ctx ends first, it closes the remaining connections
// and returns the context's error. The caller closes the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.stopReading()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	return ctx.Err()
}
