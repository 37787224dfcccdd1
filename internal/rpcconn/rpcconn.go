// Package rpcconn makes the client side of net/rpc connections whose writes
// cannot block for ever. Package rpcserver is the other end.
package rpcconn

import (
	"net"
	"net/rpc"
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
