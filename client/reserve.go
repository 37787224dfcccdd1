package client

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// reservation is a reserved id and the endpoint that returned it, which is the
// most direct route to the id's home.
type reservation struct {
	id          structs.JobID
	from        *endpoint
	requestedAt time.Time
}

// idPool holds reserved ids that no request has used yet.
type idPool struct {
	maxAge time.Duration
	refill chan struct{} // semaphore: one refill at a time
	mu     sync.Mutex
	unused []reservation
}

func newIDPool(maxAge time.Duration) *idPool {
	r := &idPool{maxAge: maxAge, refill: make(chan struct{}, 1)}
	r.refill <- struct{}{}
	return r
}

// take removes and returns an id that is younger than maxAge. It discards older
// ones.
func (r *idPool) take(now time.Time) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.unused) > 0 {
		res := r.unused[0]
		r.unused = r.unused[1:]
		if now.Sub(res.requestedAt) < r.maxAge {
			return res, true
		}
	}
	return reservation{}, false
}

func (r *idPool) add(reservations []reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unused = append(r.unused, reservations...)
}

// removeHome removes the ids of a home that accepts no more jobs.
func (r *idPool) removeHome(home structs.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []reservation
	for _, res := range r.unused {
		if res.id.Home != home {
			kept = append(kept, res)
		}
	}
	r.unused = kept
}

// Reserve returns an id for one job. To be able to resubmit the job after a crash
// of its own process, the caller stores the id durably before submitting.
func (c *Client) Reserve(ctx context.Context) (structs.JobID, error) {
	res, err := c.reserve(ctx)
	return res.id, err
}

// ReserveN returns count new ids.
func (c *Client) ReserveN(ctx context.Context, count int) ([]structs.JobID, error) {
	reserved, err := c.reserveBlock(ctx, count)
	if err != nil {
		return nil, err
	}
	ids := make([]structs.JobID, 0, len(reserved))
	for _, r := range reserved {
		ids = append(ids, r.id)
	}
	return ids, nil
}

func (c *Client) reserve(ctx context.Context) (reservation, error) {
	if res, ok := c.ids.take(time.Now()); ok {
		return res, nil
	}
	select {
	case <-ctx.Done():
		return reservation{}, noResponse(ctx.Err(), structs.NotRun)
	case <-c.ids.refill:
	}
	defer func() { c.ids.refill <- struct{}{} }()
	if res, ok := c.ids.take(time.Now()); ok {
		return res, nil
	}
	block, err := c.reserveBlock(ctx, c.opts.ReserveBlock)
	if err != nil {
		return reservation{}, err
	}
	c.ids.add(block[1:])
	return block[0], nil
}

// reserveBlock requests new ids from an entry. Reserving starts no task, so all
// its errors have the verdict structs.NotRun.
func (c *Client) reserveBlock(ctx context.Context, count int) ([]reservation, error) {
	body, err := json.Marshal(map[string]int{"count": count})
	if err != nil {
		return nil, err
	}
	var out struct {
		IDs []structs.JobID `json:"ids"`
	}
	requestedAt := time.Now()
	from, err := c.call(ctx, request{method: http.MethodPost, path: "/v1/reservations", body: body}, &out)
	if err != nil {
		return nil, withNotRun(err)
	}
	if len(out.IDs) == 0 {
		return nil, structs.Errorf(structs.CodeInternal, structs.NotRun, "%s returned no reserved ids", from.url)
	}
	block := make([]reservation, 0, len(out.IDs))
	for _, id := range out.IDs {
		block = append(block, reservation{id: id, from: from, requestedAt: requestedAt})
	}
	return block, nil
}
