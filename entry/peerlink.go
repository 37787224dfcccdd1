package entry

import (
	"errors"
	"net/rpc"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Errors of a call to a peer.
var (
	errNoReply     = errors.New("entry: the peer did not answer in time")
	errPeerRemoved = errors.New("entry: the peer is no longer in the peer table")
	errNoPeerState = errors.New("entry: no peer returned an encoded state")
)

// connectError wraps an error that occurred before the message was sent.
type connectError struct{ err error }

func (e *connectError) Error() string { return e.err.Error() }

func (e *connectError) Unwrap() error { return e.err }

// notSent reports whether err guarantees that the message did not leave this
// process.
func notSent(err error) bool {
	var c *connectError
	return errors.As(err, &c)
}

// peerLink is the connection to one peer, opened on demand.
type peerLink struct {
	conn lazyClient
}

func newPeerLink(addr string) *peerLink { return &peerLink{conn: lazyClient{addr: addr}} }

// call makes an RPC with a timeout. If the call times out or the connection fails,
// the connection is dropped, and the next call opens a new one.
func (l *peerLink) call(method string, args, reply any, timeout time.Duration) error {
	client, err := l.conn.get()
	if err != nil {
		return &connectError{err}
	}
	call := client.Go(structs.EntryService+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errNoReply
	}
	var serverErr rpc.ServerError
	if err != nil && !errors.As(err, &serverErr) {
		l.conn.drop(client)
	}
	return err
}

func (l *peerLink) close() { l.conn.close() }
