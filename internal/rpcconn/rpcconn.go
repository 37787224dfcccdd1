// Package rpcconn makes the client side of net/rpc connections whose writes
// cannot block for ever. Package rpcserver is the other end.
package rpcconn

import (
	"net"
	"net/rpc"
	"sync/atomic"
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
	sent.Add(int64(n))
	writes.Add(1)
	if err != nil {
		c.Close()
	}
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received.Add(int64(n))
	return n, err
}

var sent, received, writes atomic.Int64

// Traffic is what the connections made by Dial in this process have carried. A
// request that fits a buffer is one write.
type Traffic struct {
	BytesSent, BytesReceived, Writes int64
}

// TotalTraffic returns the traffic up to now.
func TotalTraffic() Traffic {
	return Traffic{BytesSent: sent.Load(), BytesReceived: received.Load(), Writes: writes.Load()}
}

// Dial connects to addr within timeout.
func Dial(addr string, timeout time.Duration) (*rpc.Client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(&conn{Conn: c}), nil
}
