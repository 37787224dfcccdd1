// Package boundhttp keeps the HTTP client whose connections lead to the newest known
// incarnation of a server. A connection ends with the process that it leads to, so that a call
// over it cannot reach another incarnation, which may have the same address and id and a clock
// that starts anew. It also bounds the connections, and keeps those on which replies are late.
package boundhttp

import (
	"net/http"
	"sync"
)

// Clients is safe for concurrent use.
type Clients struct {
	newClient func(incarnation int64) *http.Client

	mu          sync.Mutex
	incarnation int64
	client      *http.Client // nil until an incarnation is known
}

// New returns Clients that know no incarnation. The connections of a client that newClient
// returns have to lead to the incarnation, a number above zero.
func New(newClient func(incarnation int64) *http.Client) *Clients {
	return &Clients{newClient: newClient}
}

// For returns the client for calls to an incarnation, or reports false and the newest known one
// if that is newer. The idle connections to an earlier one are closed.
func (c *Clients) For(incarnation int64) (client *http.Client, newest int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation < c.incarnation {
		return nil, c.incarnation, false
	}
	if incarnation > c.incarnation {
		if c.client != nil {
			c.client.CloseIdleConnections()
		}
		c.incarnation, c.client = incarnation, c.newClient(incarnation)
	}
	return c.client, incarnation, true
}
