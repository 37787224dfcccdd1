package client

import (
	"sync"
	"time"
)

// downPeriod is how long an endpoint that failed is skipped while another one is
// available.
const downPeriod = time.Second

// endpoint is the base URL of an entry or of a load balancer.
type endpoint struct {
	url       string
	downUntil time.Time // guarded by endpoints.mu
}

// endpoints selects base URLs round robin and skips those that are down.
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

// pick returns preferred unless it is nil or down, otherwise the next endpoint
// that is not down, otherwise the one whose down period ends first.
func (e *endpoints) pick(now time.Time, preferred *endpoint) *endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if preferred != nil && !now.Before(preferred.downUntil) {
		return preferred
	}
	var earliest *endpoint
	for range e.all {
		p := e.nextLocked()
		if !now.Before(p.downUntil) {
			return p
		}
		if earliest == nil || p.downUntil.Before(earliest.downUntil) {
			earliest = p
		}
	}
	return earliest
}

// nextNotIn returns the next endpoint that is not in excluded, and whether it is
// down; nil if there is none.
func (e *endpoints) nextNotIn(now time.Time, excluded map[*endpoint]bool) (p *endpoint, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range e.all {
		if p := e.nextLocked(); !excluded[p] {
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

// markDown marks an endpoint as down for downPeriod.
func (e *endpoints) markDown(now time.Time, p *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.downUntil = now.Add(downPeriod)
}

// markUp clears the down mark of an endpoint.
func (e *endpoints) markUp(p *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.downUntil = time.Time{}
}
