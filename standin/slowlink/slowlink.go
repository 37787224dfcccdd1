// Package slowlink simulates the slow or busy link of an instance.
package slowlink

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// partSize bounds the bytes that pass at once.
const partSize = 4 << 10

// Listener accepts connections that share a link: all data in each direction passes
// at a limited rate.
type Listener struct {
	net.Listener
	in, out *rate.Limiter
}

// NewListener returns a Listener on l with a rate in bytes per second.
func NewListener(l net.Listener, rateLimit int) *Listener {
	return &Listener{Listener: l, in: rate.NewLimiter(rate.Limit(rateLimit), partSize), out: rate.NewLimiter(rate.Limit(rateLimit), partSize)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: l.in, out: l.out}, nil
}

type conn struct {
	net.Conn
	in, out *rate.Limiter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), partSize)])
	if n > 0 {
		if err := c.in.WaitN(context.Background(), n); err != nil {
			return n, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), partSize)]
		if err := c.out.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		p = p[len(part):]
	}
	return written, nil
}
