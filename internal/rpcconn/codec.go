package rpcconn

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
)

// maxReplyBytes bounds a reply with its header. The longest contains a configuration that
// is not compressed.
const maxReplyBytes = 16 << 20

// codec is the gob client codec of net/rpc with a limit on the size of a reply: whoever
// listens at the address decides what is sent back.
type codec struct {
	conn  io.ReadWriteCloser
	limit limitedReader
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
}

func newCodec(conn io.ReadWriteCloser) *codec {
	c := &codec{conn: conn, limit: limitedReader{r: conn}, buf: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(&c.limit), gob.NewEncoder(c.buf)
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	c.limit.left = maxReplyBytes
	return c.dec.Decode(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *codec) Close() error { return c.conn.Close() }

// limitedReader returns an error once more than left bytes have been read.
type limitedReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
