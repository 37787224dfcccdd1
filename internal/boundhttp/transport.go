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
type SplitTransport map[string]*http.Transport

// NewSplitTransport returns a SplitTransport for the paths in maxConns, each with the largest
// number of its connections. Of each kind, at most maxDials are opened by dial at the same time:
// a server that is paused finds all that have been opened meanwhile, with those that have been
// given up.
func NewSplitTransport(dial DialFunc, maxConns map[string]int, maxDials int) SplitTransport {
	t := make(SplitTransport, len(maxConns))
	for path, n := range maxConns {
		t[path] = NewTransport(limitDials(dial, maxDials), n)
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t SplitTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	kind := t[req.URL.Path]
	if kind == nil {
		return nil, &NotSentError{Err: fmt.Errorf("call to the server: expected a path with connections, got %q", req.URL.Path)}
	}
	return kind.RoundTrip(req)
}

// CloseIdleConnections lets http.Client close the idle connections.
func (t SplitTransport) CloseIdleConnections() {
	for _, kind := range t {
		kind.CloseIdleConnections()
	}
}

// limitDials returns a function that opens at most limit connections at the same time. One that
// still waits for its turn when its call no longer needs it is not opened.
func limitDials(dial DialFunc, limit int) DialFunc {
	slots := make(chan struct{}, limit)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		// ctx does not end with the call: a connection whose opening has begun serves other calls.
		needed, ok := ctx.Value(neededKey{}).(context.Context)
		if !ok {
			needed = ctx
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			return dial(ctx, network, addr)
		case <-needed.Done():
			return nil, &NotSentError{Err: fmt.Errorf("%d other connections are being opened: %w", limit, context.Cause(needed))}
		case <-ctx.Done():
			return nil, &NotSentError{Err: context.Cause(ctx)}
		}
	}
}

// neededKey is the key of a context that ends when a call has a connection or needs none any
// more.
type neededKey struct{}
