package agent

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// States of a guardedConn within one request.
const (
	connFresh  int32 = iota // no write has been tried
	connUsed                // a write has been tried
	connSealed              // no write will succeed any more
)

var errSealed = errors.New("agent: the request was given up before it was sent")

// guardedConn is a connection to the backend server that knows whether any byte
// of the present request can have left. Its verdict is a decision, not a
// glimpse: a connection found fresh is sealed, and a late write on it fails.
type guardedConn struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connFresh, connUsed) && c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal reports whether no byte has left, and sees to it that none will.
func (c *guardedConn) seal() bool {
	return c.state.CompareAndSwap(connFresh, connSealed) || c.state.Load() == connSealed
}

// guard follows the connections that one request is given.
type guard struct {
	conn    *guardedConn
	tainted bool
}

// use notes the connection the request is about to be written to.
func (g *guard) use(conn net.Conn) {
	if g.conn != nil && !g.conn.seal() {
		g.tainted = true
	}
	gc, ok := conn.(*guardedConn)
	if !ok {
		g.tainted = true
		return
	}
	gc.state.CompareAndSwap(connUsed, connFresh)
	g.conn = gc
}

// verdict says whether the failed request can have reached the server.
func (g *guard) verdict() structs.Verdict {
	if g.tainted || g.conn != nil && !g.conn.seal() {
		return structs.MayHaveRun
	}
	return structs.NotRun
}
