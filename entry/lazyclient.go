package entry

import (
	"net/rpc"
	"sync"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
)

// lazyClient is a net/rpc client that connects on first use and again after its
// connection was dropped. It is safe for concurrent use.
type lazyClient struct {
	addr string

	dialMu sync.Mutex // held while dialing, so that at most one dial is in flight

	mu     sync.Mutex
	client *rpc.Client
	closed bool
}

// get returns the current connection, or opens one if there is none.
func (l *lazyClient) get() (*rpc.Client, error) {
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	client, closed := l.current()
	if closed {
		return nil, rpc.ErrShutdown
	}
	if client != nil {
		return client, nil
	}
	client, err := rpcconn.Dial(l.addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return l.setClient(client)
}

func (l *lazyClient) current() (client *rpc.Client, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client, l.closed
}

func (l *lazyClient) setClient(client *rpc.Client) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		client.Close()
		return nil, rpc.ErrShutdown
	}
	l.client = client
	return client, nil
}

// drop closes a connection. All calls in flight on it fail.
func (l *lazyClient) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	client.Close()
}

// close closes the connection permanently.
func (l *lazyClient) close() {
	l.mu.Lock()
	client := l.client
	l.client = nil
	l.closed = true
	l.mu.Unlock()
	if client != nil {
		client.Close()
	}
}
