package intake

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
)

const (
	// retryInterval is the interval at which a message that is refused memory asks again.
	retryInterval = 20 * time.Millisecond
	// maxPrefix is the size in bytes of the longest length of a message.
	maxPrefix = 8
)

// Messages bounds the memory of the gob messages that arrive over long-lived connections. Package gob allocates
// the length that a message declares when the message begins. Like bodies, messages up to SmallBody bytes are
// bounded by the number of connections alone. Unlike a body, a message waits until others are old enough to be
// given up, because to refuse it is to close the connection.
type Messages struct{ *memory }

// NewMessages returns a bound of the given number of bytes.
func NewMessages(capacity int64, logger log.Logger) *Messages {
	return &Messages{newMemory(capacity, "messages_refused", logger)}
}

// MessageReader reads gob messages from a connection. It is not safe for concurrent use.
type MessageReader struct {
	memory *memory
	ctx    context.Context // ends when the connection is closed
	conn   net.Conn
	claim  *claim
	length int64  // bytes received since Next
	left   uint64 // bytes of the current message that have not arrived
	prefix []byte // of the next message, as far as it has arrived
}

// Reader returns a reader of conn. ctx has to end when conn is closed.
func (m *Messages) Reader(ctx context.Context, conn net.Conn) *MessageReader {
	r := &MessageReader{memory: m.memory, ctx: ctx, conn: conn}
	r.renew()
	return r
}

// Next has to be called when the messages that have arrived were decoded.
func (r *MessageReader) Next() {
	r.length = 0
	if r.memory.heldBy(r.claim) > 0 {
		r.Close()
		r.renew()
	}
}

func (r *MessageReader) renew() {
	r.claim = newClaim(time.Now(), func() error { return r.conn.SetReadDeadline(time.Now()) })
}

// Read implements io.Reader. It returns a *ShortageError if there is no memory for a message.
func (r *MessageReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.length += int64(n)
	declared, scanErr := r.scan(p[:n])
	if scanErr != nil {
		return 0, scanErr
	}
	if declared > 0 && !r.take(min(declared, r.memory.budget.capacity)) {
		return 0, r.memory.refuse()
	}
	if r.length > SmallBody {
		r.memory.progressed(r.claim, int(r.length))
		if err != nil && r.memory.isAbandoned(r.claim) {
			return n, r.memory.refuse()
		}
	}
	return n, err
}

// scan follows the messages in the bytes that have arrived. It returns the declared length of those that
// begin there and are longer than SmallBody.
func (r *MessageReader) scan(b []byte) (declared int64, err error) {
	for len(b) > 0 {
		if r.left > 0 {
			n := min(r.left, uint64(len(b)))
			r.left -= n
			b = b[n:]
			continue
		}
		r.prefix = append(r.prefix, b[0])
		b = b[1:]
		length, complete, err := decodeLength(r.prefix)
		if err != nil {
			return 0, err
		}
		if complete {
			r.prefix, r.left = r.prefix[:0], length
			if length > SmallBody {
				declared += int64(min(length, uint64(r.memory.budget.capacity)))
			}
		}
	}
	return declared, nil
}

// decodeLength decodes an unsigned integer of package gob: a byte up to 0x7f, or the negated number of the
// bytes that follow, most significant first.
func decodeLength(prefix []byte) (length uint64, complete bool, err error) {
	if prefix[0] <= 0x7f {
		return uint64(prefix[0]), true, nil
	}
	size := -int(int8(prefix[0]))
	if size > maxPrefix {
		return 0, false, fmt.Errorf("expected a length of at most %d bytes, got %d", maxPrefix, size)
	}
	for _, b := range prefix[1:] {
		length = length<<8 | uint64(b)
	}
	return length, len(prefix) == size+1, nil
}

// take takes the memory of messages. It reports false if there is none, or if the connection is closed.
func (r *MessageReader) take(n int64) bool {
	timeout := time.NewTimer(memoryWait + paceGrace)
	defer timeout.Stop()
	for {
		if r.memory.take(r.ctx, r.claim, n) {
			return true
		}
		if r.memory.isAbandoned(r.claim) {
			return false
		}
		select {
		case <-time.After(retryInterval):
			r.memory.restart(r.claim) // what waits does not arrive
		case <-r.ctx.Done():
			return false
		case <-timeout.C:
			return false
		}
	}
}

// Close returns the memory of the messages that have arrived.
func (r *MessageReader) Close() { r.memory.giveBackAll(r.claim) }
