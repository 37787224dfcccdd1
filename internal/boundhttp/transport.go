package boundhttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a transport to one server, with at most maxConns connections.
func NewTransport(dial DialFunc, maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		DisableCompression:  true,
	}
}

// SplitTransport sends calls of each kind, by their path, over connections of their own, so that
// none waits behind calls of another kind that get no reply.
type SplitTransport map[string]*limitedTransport

// limitedTransport is the transport for one kind of call.
type limitedTransport struct {
	*http.Transport
	dials *dialLimiter
}

// NewSplitTransport returns a SplitTransport for the paths in maxConns, each with the largest
// number of its connections. Dial opens a connection and waits for the server's first reply on it;
// of each kind, at most maxDials wait that have begun since the server's last reply. A server that
// is paused finds all that have been opened meanwhile, with those that have been given up.
func NewSplitTransport(dial DialFunc, maxConns map[string]int, maxDials int) SplitTransport {
	t := make(SplitTransport, len(maxConns))
	for path, n := range maxConns {
		limiter := newDialLimiter(dial, maxDials)
		t[path] = &limitedTransport{Transport: NewTransport(limiter.dial, n), dials: limiter}
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t SplitTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	kind := t[req.URL.Path]
	if kind == nil {
		return nil, &NotSentError{Err: fmt.Errorf("call to the server: expected a path with connections, got %q", req.URL.Path)}
	}
	resp, err := kind.RoundTrip(req)
	if err == nil {
		kind.dials.replied()
	}
	return resp, err
}

// CloseIdleConnections lets http.Client close the idle connections.
func (t SplitTransport) CloseIdleConnections() {
	for _, kind := range t {
		kind.CloseIdleConnections()
	}
}
