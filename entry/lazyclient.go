package entry

import (
	"net/rpc"
	"sync"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
)

// lazyClient is one net/rpc connection, made at need and again after it was
// dropped. It is safe for concurrent use.
type lazyClient struct {
	addr string

	dialing sync.Mutex // held while connecting, so that one dial is under way

	mu     sync.Mutex
	client *rpc.Client
	closed bool
}

// get returns the present connection or makes one.
func (l *lazyClient) get() (*rpc.Client, error) {
	l.dialing.Lock()
	defer l.dialing.Unlock()
	client, closed := l.present()
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
	return l.keep(client)
}

func (l *lazyClient) present() (client *rpc.Client, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client, l.closed
}

func (l *lazyClient) keep(client *rpc.Client) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		client.Close()
		return nil, rpc.ErrShutdown
	}
	l.client = client
	return client, nil
}

// drop closes a connection; every call outstanding on it breaks.
func (l *lazyClient) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	client.Close()
}

// close drops the connection for good.
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
