package client

import (
	"net"
	"net/http"
	"time"
)

// Transport settings of the default HTTP client.
const (
	dialTimeout      = time.Second
	keepAlivePeriod  = 15 * time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 64
)

// Client submits jobs to the entries and queries them. It is safe for concurrent
// use.
type Client struct {
	opts      Options
	http      *http.Client
	endpoints *endpoints
	ids       *idPool
	budget    *retryBudget
}

// New returns a client for the entries named in opts.
func New(opts Options) (*Client, error) {
	urls, err := parseEntries(opts.Entries)
	if err != nil {
		return nil, err
	}
	opts.setDefaults()
	c := &Client{
		opts:      opts,
		http:      newHTTPClient(opts.HTTP),
		endpoints: newEndpoints(urls),
		budget:    newRetryBudget(opts.BudgetRatio, opts.BudgetBurst),
	}
	c.ids = newIDPool(opts.ReserveLife)
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// newHTTPClient returns a copy of base, or of the default if base is nil, that
// follows no redirect: a redirect would send a job to a host that is not
// configured.
func newHTTPClient(base *http.Client) *http.Client {
	h := &http.Client{Transport: newTransport()}
	if base != nil {
		*h = *base
	}
	h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return h
}

func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}
