package boundhttp

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// dialLimiter bounds the connections that are being opened and have begun since the server's last
// reply. Those that have begun before do not count: a server that has replied meanwhile is not
// paused, and has lost the reply on them.
type dialLimiter struct {
	open  DialFunc
	limit int

	mu      sync.Mutex
	opening int           // since the last reply
	replies int           // number of replies
	changed chan struct{} // closed and replaced when opening decreases
}

func newDialLimiter(open DialFunc, limit int) *dialLimiter {
	return &dialLimiter{open: open, limit: limit, changed: make(chan struct{})}
}

// dial opens a connection and waits for the server's first reply on it. One that still waits for
// its turn when its call no longer needs it is not opened.
func (l *dialLimiter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	replies, err := l.acquire(ctx)
	if err != nil {
		return nil, &NotSentError{Err: fmt.Errorf("%d other connections are being opened: %w", l.limit, err)}
	}
	conn, err := l.open(ctx, network, addr)
	if err != nil {
		l.release(replies)
		return nil, err
	}
	l.replied()
	return conn, nil
}

// acquire waits until a connection may be opened, and returns the number of replies until then.
func (l *dialLimiter) acquire(ctx context.Context) (replies int, err error) {
	// ctx does not end with the call: a connection whose opening has begun serves other calls.
	needed, ok := ctx.Value(neededKey{}).(context.Context)
	if !ok {
		needed = ctx
	}
	for {
		l.mu.Lock()
		if l.opening < l.limit && needed.Err() == nil {
			defer l.mu.Unlock()
			l.opening++
			return l.replies, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-needed.Done():
			return 0, context.Cause(needed)
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// release records that a connection has not been opened which had begun after so many replies.
func (l *dialLimiter) release(replies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies == l.replies {
		l.opening--
		l.signal()
	}
}

// replied records a reply of the server.
func (l *dialLimiter) replied() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies++
	l.opening = 0
	l.signal()
}

// signal wakes the dials that wait for their turn. The caller holds l.mu.
func (l *dialLimiter) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// neededKey is the key of a context that ends when a call has a connection or needs none any
// more.
type neededKey struct{}
