package rpcserver

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
)

// codec is a gob server codec for net/rpc that enforces the limits of Options.
type codec struct {
	opts   Options
	conn   net.Conn
	cancel context.CancelFunc // cancels the context of the connection's calls
	limit  *io.LimitedReader
	// messages reads from conn within the bound of Options.Messages; nil if there is none.
	messages *intake.MessageReader
	dec      *gob.Decoder
	enc      *gob.Encoder
	buf      *bufio.Writer
	calls    chan struct{} // one element per pending call; reading stops while it is full

	accepted    time.Time
	lastRequest atomic.Int64 // time of the last request, Unix time in nanoseconds; zero if there was none

	stopping  atomic.Bool
	closeOnce sync.Once
}

func newCodec(ctx context.Context, s *Server, conn net.Conn, cancel context.CancelFunc) *codec {
	limit := &io.LimitedReader{R: conn}
	buf := bufio.NewWriter(conn)
	c := &codec{
		opts:   s.opts,
		conn:   conn,
		cancel: cancel,
		limit:  limit,
		dec:    gob.NewDecoder(limit),
		enc:    gob.NewEncoder(buf),
		buf:    buf,
		calls:  make(chan struct{}, s.opts.MaxCallsPerConn),

		accepted: time.Now(),
	}
	if s.opts.Messages != nil {
		c.messages = s.opts.Messages.Reader(ctx, conn)
		limit.R = c.messages
	}
	return c
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if c.messages != nil {
		c.messages.Next()
	}
	c.calls <- struct{}{}
	c.limit.N = int64(c.opts.MaxMessageBytes)
	c.conn.SetReadDeadline(time.Now().Add(c.opts.IdleTimeout))
	if c.stopping.Load() {
		return io.EOF
	}
	err := c.dec.Decode(r)
	if err != nil {
		c.readFailed()
		if c.messages != nil {
			c.messages.Close()
		}
		return io.EOF
	}
	c.lastRequest.Store(time.Now().UnixNano())
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	return c.dec.Decode(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	c.conn.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout))
	if err := c.write(r, body); err != nil {
		c.Close()
		return err
	}
	return nil
}

func (c *codec) write(r *rpc.Response, body any) error {
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// readFailed cancels the pending calls after a request could not be read, for
// instance because the peer has disconnected. While the server shuts down, it
// leaves them to get their replies.
func (c *codec) readFailed() {
	if !c.stopping.Load() {
		c.cancel()
	}
}

// isMoreIdle reports whether the connection is to be closed before another one. Those that have sent no
// request come first, so that connections of clients that send none do not replace those of peers.
func (c *codec) isMoreIdle(other *codec) bool {
	last, otherLast := c.lastRequest.Load(), other.lastRequest.Load()
	if last == otherLast {
		return c.accepted.Before(other.accepted)
	}
	return last < otherLast
}

// stopReading makes ReadRequestHeader return io.EOF; pending calls continue.
func (c *codec) stopReading() {
	c.stopping.Store(true)
	c.conn.SetReadDeadline(time.Now())
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.cancel()
		err = c.conn.Close()
	})
	return err
}
