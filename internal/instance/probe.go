package instance

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// interimResponse is sent to a client that waits for the response to its request, and means nothing to
// it (RFC 9110, section 15.2.1). It has the only interim status that all common clients ignore.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// ClientProbe asks the client of a request whether it still has its connection open. The operating system
// of a client acknowledges what it receives on an open connection, and resets the connection otherwise.
// Each probe is one byte of an interim response, because some clients accept only a few of these. The
// methods must not be called at once, and none after the response was begun.
type ClientProbe struct {
	ctx  context.Context
	conn net.Conn // nil if the request did not come over a connection
	raw  syscall.RawConn
	sent int // bytes of the interim response, less than all of them
	// failed means that a probe could not be sent, so that nothing is known of the client.
	failed bool
}

// NewClientProbe returns a probe for the client of the request with the given context. It is an
// HTTP/1.1 client, and its request was read.
func NewClientProbe(ctx context.Context) *ClientProbe {
	p := &ClientProbe{ctx: ctx}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return p
	}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.conn, p.raw = conn, raw
		}
	}
	return p
}

// Send sends a probe. It does not block. If it fails, the client does not acknowledge any further probe.
func (p *ClientProbe) Send() error {
	if p.conn == nil {
		return nil
	}
	var sendErr error
	err := p.raw.Control(func(fd uintptr) { sendErr = sendWithoutBlocking(fd, interimResponse[p.sent:p.sent+1]) })
	if err == nil {
		err = sendErr
	}
	if err != nil {
		p.failed = true
		return fmt.Errorf("probe of client %v: %w", p.conn.RemoteAddr(), err)
	}
	p.sent = (p.sent + 1) % len(interimResponse)
	return nil
}

// Finish sends the rest of an interim response that was begun. The response may follow.
func (p *ClientProbe) Finish() error {
	if p.sent == 0 {
		return nil
	}
	_, err := p.conn.Write([]byte(interimResponse[p.sent:]))
	p.sent = 0
	if err != nil {
		return fmt.Errorf("rest of interim response to client %v: %w", p.conn.RemoteAddr(), err)
	}
	return nil
}

// Acknowledged reports whether the client's side has acknowledged all probes. It may also report true after
// the connection was reset, see Disconnected. A request that did not come over a connection, and any on a
// system that cannot tell, is taken for acknowledged until its context ends.
func (p *ClientProbe) Acknowledged() bool {
	if p.conn == nil {
		return p.ctx.Err() == nil
	}
	acked := false
	err := p.raw.Control(func(fd uintptr) { acked = allAcknowledged(fd) })
	return acked && err == nil && !p.failed
}

// LastReceived returns how long ago the last byte has arrived from the client, as far as the system
// knows. The time in which the machine was suspended does not count.
func (p *ClientProbe) LastReceived() time.Duration {
	if p.conn == nil {
		return 0
	}
	var ago time.Duration
	if err := p.raw.Control(func(fd uintptr) { ago = lastReceived(fd) }); err != nil {
		return 0
	}
	return ago
}
