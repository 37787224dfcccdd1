package entry

import (
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Errors of a call to a peer.
var (
	errPeerSilent = errors.New("entry: the peer did not answer in time")
	errNoPeerFold = errors.New("entry: no peer gave its fold")
)

// peerLink is the connection to one peer, made at need.
type peerLink struct {
	addr string

	mu     sync.Mutex
	client *rpc.Client
}

// call runs one RPC within timeout. A connection that breaks or stays silent is
// dropped, so that the next call makes a new one.
func (l *peerLink) call(method string, args, reply any, timeout time.Duration) error {
	client, err := l.connect()
	if err != nil {
		return err
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
		l.drop(client)
	}
	return err
}

func (l *peerLink) connect() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	client, err := rpcconn.Dial(l.addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	l.client = client
	return client, nil
}

func (l *peerLink) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	client.Close()
}

func (l *peerLink) close() {
	l.mu.Lock()
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		client.Close()
	}
}
