// Package slowlink simulates the slow or busy link of an instance.
package slowlink

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// writeSize bounds the bytes that are sent at once.
const writeSize = 4 << 10

// Listener accepts connections that share a link: all data that is written to them
// is sent at a limited rate.
type Listener struct {
	net.Listener
	limiter *rate.Limiter
}

// NewListener returns a Listener on l with a rate in bytes per second.
func NewListener(l net.Listener, rateLimit int) *Listener {
	return &Listener{Listener: l, limiter: rate.NewLimiter(rate.Limit(rateLimit), writeSize)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limiter: l.limiter}, nil
}

type conn struct {
	net.Conn
	limiter *rate.Limiter
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), writeSize)]
		if err := c.limiter.WaitN(context.Background(), len(part)); err != nil {
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
