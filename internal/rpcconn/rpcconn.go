// Package rpcconn opens client connections for net/rpc with a timeout on every
// write, so that a peer that stops reading cannot block the caller forever.
// Package rpcserver is the server side.
package rpcconn

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// WriteTimeout limits one write to a connection.
const WriteTimeout = 2 * time.Second

// conn closes itself when a write fails: part of a message may have been sent
// already, after which the peer can no longer decode the stream.
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

// Traffic counts the bytes and writes of all connections opened by Dial in this
// process. A request that fits into the write buffer is one write.
type Traffic struct {
	BytesSent, BytesReceived, Writes int64
}

// TotalTraffic returns the traffic since the start of the process.
func TotalTraffic() Traffic {
	return Traffic{BytesSent: sent.Load(), BytesReceived: received.Load(), Writes: writes.Load()}
}

// Dial connects to addr; timeout limits the time to connect.
func Dial(addr string, timeout time.Duration) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return DialContext(ctx, addr)
}

// DialContext connects to addr until ctx ends, which has no effect on the
// connection afterwards.
func DialContext(ctx context.Context, addr string) (*rpc.Client, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(&conn{Conn: c}), nil
}
