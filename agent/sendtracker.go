package agent

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// States of a trackedConn during one request.
const (
	connUnused int32 = iota // no write has been attempted
	connUsed                // a write has been attempted
	connSealed              // all further writes fail
)

var errSealed = errors.New("agent: the request was abandoned before it was sent")

// trackedConn is a connection to the backend server that records whether a byte of
// the current request may have been sent. If none has, the connection is sealed when
// that is determined, so that a late write fails and the determination stays true.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connUnused, connUsed) && c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal reports whether no byte has been sent, and ensures that none will be sent.
func (c *trackedConn) seal() bool {
	return c.state.CompareAndSwap(connUnused, connSealed) || c.state.Load() == connSealed
}

// sendTracker records whether a request may have been sent on one of the connections
// that net/http obtained for it.
type sendTracker struct {
	conn        *trackedConn
	mayHaveSent bool
}

// connObtained records the connection that the request will be written to next.
func (t *sendTracker) connObtained(conn net.Conn) {
	if t.conn != nil && !t.conn.seal() {
		t.mayHaveSent = true
	}
	tc, ok := conn.(*trackedConn)
	if !ok {
		t.mayHaveSent = true
		return
	}
	tc.state.CompareAndSwap(connUsed, connUnused)
	t.conn = tc
}

// verdict returns NotRun if the failed request cannot have reached the server, and
// otherwise MayHaveRun.
func (t *sendTracker) verdict() structs.Verdict {
	if t.mayHaveSent || t.conn != nil && !t.conn.seal() {
		return structs.MayHaveRun
	}
	return structs.NotRun
}
