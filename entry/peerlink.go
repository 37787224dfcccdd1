package entry

import (
	"errors"
	"net/rpc"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Errors of a call to a peer.
var (
	errPeerSilent  = errors.New("entry: the peer did not answer in time")
	errPeerUnknown = errors.New("entry: the peer is not known any more")
	errNoPeerFold  = errors.New("entry: no peer gave its fold")
)

// connectError says that a message was certainly not sent.
type connectError struct{ err error }

func (e *connectError) Error() string { return e.err.Error() }

func (e *connectError) Unwrap() error { return e.err }

// notSent reports whether err shows that the message did not leave this process.
func notSent(err error) bool {
	var c *connectError
	return errors.As(err, &c)
}

// peerLink is the connection to one peer, made at need.
type peerLink struct {
	conn lazyClient
}

func newPeerLink(addr string) *peerLink { return &peerLink{conn: lazyClient{addr: addr}} }

// call runs one RPC within timeout. A connection that breaks or stays silent is
// dropped, so that the next call makes a new one.
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
		err = errPeerSilent
	}
	var ofServer rpc.ServerError
	if err != nil && !errors.As(err, &ofServer) {
		l.conn.drop(client)
	}
	return err
}

func (l *peerLink) close() { l.conn.close() }
