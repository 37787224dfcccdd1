// Package rpcconn opens client connections for net/rpc with a timeout on every
// write, so that a peer that stops reading cannot block the caller forever.
// Package rpcserver is the server side.
package rpcconn

import (
	"context"
	"fmt"
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
	idle time.Duration // bounds each read; zero for no bound
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
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
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
	return dial(ctx, addr, 0)
}

func dial(ctx context.Context, addr string, idle time.Duration) (*rpc.Client, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return rpc.NewClientWithCodec(newCodec(&conn{Conn: c, idle: idle})), nil
}

// Timeouts bound a Call.
type Timeouts struct {
	Dial time.Duration // connecting
	// Idle is how long no data of the reply may arrive. It also bounds the time until
	// the first data, and thus how long the peer may take for the call.
	Idle  time.Duration
	Total time.Duration // from the request to the end of the reply
}

// Call connects to addr, makes one call and closes the connection. A long reply over a
// slow link ends, while a connection that carries no data is noticed early.
func Call(addr, method string, req, reply any, t Timeouts) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.Dial)
	defer cancel()
	client, err := dial(ctx, addr, t.Idle)
	if err != nil {
		return err
	}
	defer client.Close()
	call := client.Go(method, req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(t.Total)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		client.Close()
		<-call.Done // reply is not written to any more
		return fmt.Errorf("%s at %s: no complete reply within %v", method, addr, t.Total)
	}
}
