// Package rpcserver serves net/rpc connections with bounds on what a peer can
// make the process hold: connections, calls, message sizes and idle time. It
// uses net/rpc's own gob encoding, so that an ordinary rpc.Client is the other
// end.
package rpcserver

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Options bounds a Server.
type Options struct {
	MaxConns        int           // at the cap the one idle for longest gives way
	MaxCallsPerConn int           // pending calls; more are not read until some are answered
	MaxMessageBytes int           // a longer request ends its connection
	IdleTimeout     time.Duration // without a whole request
	WriteTimeout    time.Duration // per reply
}

// DefaultOptions returns bounds fit for links between the system's processes.
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
	receiver func(conn context.Context) any

	mu      sync.Mutex
	conns   map[*codec]struct{}
	closing bool
	wg      sync.WaitGroup
}

// New returns a Server of the service called name. Receiver makes the service's
// methods for one connection; its context ends when the peer has gone, and its
// pending calls need no answer any more.
func New(opts Options, name string, receiver func(conn context.Context) any) *Server {
	return &Server{opts: opts, name: name, receiver: receiver, conns: make(map[*codec]struct{})}
}

// Serve accepts connections until l is closed, and returns the reason; nil
// after Shutdown.
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
			time.Sleep(acceptPause)
		}
	}
}

// acceptPause spares the processor while accepting fails.
const acceptPause = 10 * time.Millisecond

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// connKey is the context key of a connection's codec.
type connKey struct{}

// CloseConn ends the connection that a receiver's context stands for.
func CloseConn(conn context.Context) {
	if c, ok := conn.Value(connKey{}).(*codec); ok {
		c.Close()
	}
}

func (s *Server) accept(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCodec(s, conn, cancel)
	ctx = context.WithValue(ctx, connKey{}, c)
	if !s.add(c) {
		c.Close()
		return
	}
	go s.serve(ctx, c)
}

// add takes a connection in, unless the server stops. Connections whose peers
// have gone silent must not keep new ones out.
func (s *Server) add(c *codec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if len(s.conns) >= s.opts.MaxConns {
		s.dropIdlest()
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	return true
}

// dropIdlest closes the connection whose last request is the oldest. It is
// called with s.mu held.
func (s *Server) dropIdlest() {
	var idlest *codec
	for c := range s.conns {
		if idlest == nil || c.lastRequest.Load() < idlest.lastRequest.Load() {
			idlest = c
		}
	}
	if idlest != nil {
		delete(s.conns, idlest)
		idlest.Close()
	}
}

func (s *Server) serve(ctx context.Context, c *codec) {
	defer s.wg.Done()
	srv := rpc.NewServer()
	if err := srv.RegisterName(s.name, s.receiver(ctx)); err != nil {
		panic(err) // the receiver's type has no suitable methods
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

// Shutdown reads no further request, waits until the pending ones are answered
// and closes the connections. If ctx ends first, it cuts the rest and returns
// the context's error. The listener is the caller's to close.
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
