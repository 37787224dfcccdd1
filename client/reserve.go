package client

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// reservation is a reserved id and the endpoint that gave it, which is the
// shortest way to the id's home.
type reservation struct {
	id   structs.JobID
	from *endpoint
	at   time.Time
}

// reservoir keeps reserved ids that no request has used yet.
type reservoir struct {
	life   time.Duration
	refill chan struct{} // holds one token: one refill at a time
	mu     sync.Mutex
	free   []reservation
}

func newReservoir(life time.Duration) *reservoir {
	r := &reservoir{life: life, refill: make(chan struct{}, 1)}
	r.refill <- struct{}{}
	return r
}

// take returns an id that is young enough.
func (r *reservoir) take(now time.Time) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.free) > 0 {
		id := r.free[0]
		r.free = r.free[1:]
		if now.Sub(id.at) < r.life {
			return id, true
		}
	}
	return reservation{}, false
}

func (r *reservoir) add(ids []reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free = append(r.free, ids...)
}

// drop forgets the ids of a home that takes no more jobs.
func (r *reservoir) drop(home structs.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []reservation
	for _, id := range r.free {
		if id.id.Home != home {
			kept = append(kept, id)
		}
	}
	r.free = kept
}

// Reserve returns an id under which a job can be submitted once. Keep it in a
// safe place to resubmit the job after a crash of the caller's process.
func (c *Client) Reserve(ctx context.Context) (structs.JobID, error) {
	id, err := c.reserve(ctx)
	return id.id, err
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
	if id, ok := c.ids.take(time.Now()); ok {
		return id, nil
	}
	select {
	case <-ctx.Done():
		return reservation{}, noAnswer(ctx.Err(), structs.NotRun)
	case <-c.ids.refill:
	}
	defer func() { c.ids.refill <- struct{}{} }()
	if id, ok := c.ids.take(time.Now()); ok {
		return id, nil
	}
	block, err := c.reserveBlock(ctx, c.opts.ReserveBlock)
	if err != nil {
		return reservation{}, err
	}
	c.ids.add(block[1:])
	return block[0], nil
}

// reserveBlock asks an entry for ids. Reserving starts nothing, so its errors
// are all "not run".
func (c *Client) reserveBlock(ctx context.Context, count int) ([]reservation, error) {
	body, err := json.Marshal(map[string]int{"count": count})
	if err != nil {
		return nil, err
	}
	var out struct {
		IDs []structs.JobID `json:"ids"`
	}
	asked := time.Now()
	from, err := c.call(ctx, request{method: http.MethodPost, path: "/v1/reservations", body: body}, &out)
	if err != nil {
		return nil, notStarted(err)
	}
	if len(out.IDs) == 0 {
		return nil, structs.Errorf(structs.CodeInternal, structs.NotRun, "%s reserved no id", from.url)
	}
	block := make([]reservation, 0, len(out.IDs))
	for _, id := range out.IDs {
		block = append(block, reservation{id: id, from: from, at: asked})
	}
	return block, nil
}
