// Package rpcconn makes net/rpc connections whose writes cannot block for ever,
// and serves them.
package rpcconn

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// WriteTimeout bounds one write to a peer that does not read.
const WriteTimeout = 2 * time.Second

// conn closes itself when a write fails: what was written of a message cannot
// be taken back, so the stream is of no more use.
type conn struct {
	net.Conn
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}

// Dial connects to addr within timeout.
func Dial(addr string, timeout time.Duration) (*rpc.Client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(&conn{Conn: c}), nil
}

// Server accepts connections and serves one receiver on them.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen binds addr and registers receiver under name; see net/rpc for the
// methods it needs. Serve must be called to accept connections.
func Listen(addr, name string, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listener = l
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			c.Close()
			return
		}
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	s.rpc.ServeConn(&conn{Conn: c})
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}
