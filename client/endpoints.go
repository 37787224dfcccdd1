package client

import (
	"sync"
	"time"
)

// downFor is how long an endpoint that failed is passed over while another one
// is there.
const downFor = time.Second

// endpoint is one base URL.
type endpoint struct {
	url       string
	downUntil time.Time // guarded by endpoints.mu
}

// endpoints chooses among the base URLs in turn.
type endpoints struct {
	mu   sync.Mutex
	all  []*endpoint
	next int
}

func newEndpoints(urls []string) *endpoints {
	e := &endpoints{}
	for _, u := range urls {
		e.all = append(e.all, &endpoint{url: u})
	}
	return e
}

// pick returns preferred unless it is nil or down, else the next endpoint that
// is not down, else the one that comes back first.
func (e *endpoints) pick(now time.Time, preferred *endpoint) *endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if preferred != nil && !now.Before(preferred.downUntil) {
		return preferred
	}
	var first *endpoint
	for range e.all {
		p := e.nextLocked()
		if !now.Before(p.downUntil) {
			return p
		}
		if first == nil || p.downUntil.Before(first.downUntil) {
			first = p
		}
	}
	return first
}

// other returns an endpoint that is not among asked, and whether it is down; nil
// if there is none.
func (e *endpoints) other(now time.Time, asked map[*endpoint]bool) (p *endpoint, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range e.all {
		if p := e.nextLocked(); !asked[p] {
			return p, now.Before(p.downUntil)
		}
	}
	return nil, false
}

func (e *endpoints) nextLocked() *endpoint {
	p := e.all[e.next%len(e.all)]
	e.next++
	return p
}

// failed marks an endpoint as down for a while.
func (e *endpoints) failed(now time.Time, p *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.downUntil = now.Add(downFor)
}

// answered takes the mark back.
func (e *endpoints) answered(p *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.downUntil = time.Time{}
}
