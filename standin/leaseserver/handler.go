package leaseserver

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
)

// Options describe a backend server that is served over HTTP.
type Options struct {
	ID, Service string
	CPU, MemMB  int
	// HeartbeatURL is the agent's address for heartbeats.
	HeartbeatURL string
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// BehaviorOf says what a task needs, by its name and spec.
	BehaviorOf func(name, spec string) Behavior
	// OnStart and OnEnd are called as tasks start and end.
	OnStart func(server string, t TaskRun)
	OnEnd   func(server string, t TaskRun, how string)
}

// tick is how often an HTTP server lets its tasks end.
const tick = 2 * time.Millisecond

// HTTPServer serves a Server on the machine's clock.
type HTTPServer struct {
	opts Options

	mu        sync.Mutex
	server    *Server
	started   time.Time     // of the run
	base      time.Duration // the clock's first reading
	changed   chan struct{} // closed when a task ends
	lateShare float64
	draining  bool
	seq       int64 // of heartbeats
}

// NewHTTPServer returns a server whose run starts now. Run sends its heartbeats.
func NewHTTPServer(opts Options) *HTTPServer {
	h := &HTTPServer{opts: opts, changed: make(chan struct{})}
	h.rebirth()
	return h
}

// rebirth begins a new run.
func (h *HTTPServer) rebirth() {
	h.started = time.Now()
	h.base = time.Duration(1+rand.IntN(1_000_000)) * time.Millisecond
	h.server = New(h.started.UnixMilli(), h.base)
	h.server.OnStart = func(t TaskRun) {
		if h.opts.OnStart != nil {
			h.opts.OnStart(h.opts.ID, t)
		}
	}
	h.server.OnEnd = func(t TaskRun, how string) {
		if h.opts.OnEnd != nil {
			h.opts.OnEnd(h.opts.ID, t, how)
		}
		close(h.changed)
		h.changed = make(chan struct{})
	}
	h.seq = 0
	h.draining = false
}

// SetDelayedCallShare sets the share of orders that get no answer and are carried out
// seconds later.
func (h *HTTPServer) SetDelayedCallShare(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateShare = share
}

// Crash ends the run and all tasks, and begins a new one.
func (h *HTTPServer) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sync()
	for len(h.server.running) > 0 {
		h.server.end(0, "crashed")
	}
	h.rebirth()
}

// Drain makes the server say that it leaves.
func (h *HTTPServer) Drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.heartbeat(context.Background())
}

// sync moves the server's clock; it is called with h.mu held.
func (h *HTTPServer) sync() *Server {
	h.server.Advance(h.base + time.Since(h.started))
	return h.server
}

// Run sends heartbeats and lets tasks end until ctx does.
func (h *HTTPServer) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var beat time.Time
	for {
		if time.Since(beat) > h.opts.HeartbeatInterval {
			beat = time.Now()
			go h.heartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.mu.Lock()
			h.sync()
			h.mu.Unlock()
		}
	}
}

func (h *HTTPServer) heartbeat(ctx context.Context) {
	h.mu.Lock()
	h.seq++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": h.opts.Service, "state": state, "seq": h.seq, "born": h.server.Incarnation, "slots": 8, "version": "v1",
		"capacity": map[string]int{"cpu": h.opts.CPU, "memMb": h.opts.MemMB}, "labels": []string{"a", "r1-1"},
	})
	h.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, h.opts.HeartbeatURL+"/chestnuthollow/instances/"+h.opts.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// call is the body of an order.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckIndex     int64  `json:"ackIndex"`
	WaitMs       int64  `json:"waitMs"`
}

func (c *call) until() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// Handler serves the orders of an agent.
func (h *HTTPServer) Handler() http.Handler {
	e := ops.NewServer()
	e.POST("/chestnuthollow/run-start", h.order(func(c *call) (int, map[string]any) {
		s := h.sync()
		reason := s.Start(TaskRun{Name: c.Task, Number: c.Run}, h.opts.BehaviorOf(c.Task, c.Spec), c.until(), c.FencingToken)
		if reason != "" {
			return http.StatusConflict, map[string]any{"reason": reason}
		}
		return http.StatusOK, map[string]any{}
	}))
	e.POST("/chestnuthollow/run-stop", h.order(func(c *call) (int, map[string]any) {
		if !h.sync().Stop(TaskRun{Name: c.Task, Number: c.Run}, c.FencingToken) {
			return http.StatusConflict, map[string]any{"reason": ReasonFenced}
		}
		return http.StatusOK, map[string]any{}
	}))
	e.POST("/chestnuthollow/hold", h.hold)
	return e
}

// order serves a call, or carries it out late and does not answer.
func (h *HTTPServer) order(do func(*call) (int, map[string]any)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body call
		if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		h.mu.Lock()
		if rand.Float64() < h.lateShare {
			run := h.server
			h.mu.Unlock()
			time.AfterFunc(2*time.Second+time.Duration(rand.IntN(4000))*time.Millisecond, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.server == run {
					do(&body)
				}
			})
			<-c.Request().Context().Done()
			return nil
		}
		if h.otherRun(c) {
			h.mu.Unlock()
			return c.NoContent(http.StatusMisdirectedRequest)
		}
		code, reply := do(&body)
		reply["clockMs"] = h.server.Clock().Milliseconds()
		reply["born"] = h.server.Incarnation
		h.mu.Unlock()
		return c.JSON(code, reply)
	}
}

// otherRun reports whether a call is meant for another server; it is called
// with h.mu held.
func (h *HTTPServer) otherRun(c echo.Context) bool {
	want := c.Request().Header.Get("Expect-Instance")
	return want != "" && want != h.opts.ID
}

func (h *HTTPServer) hold(c echo.Context) error {
	var body call
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
	defer timer.Stop()
	expired := body.WaitMs == 0
	for {
		h.mu.Lock()
		if rand.Float64() < h.lateShare/4 {
			h.mu.Unlock()
			<-c.Request().Context().Done()
			return nil
		}
		s := h.sync()
		ends, ok := s.RenewLease(body.until(), body.FencingToken, body.AckIndex)
		if !ok {
			h.mu.Unlock()
			return c.JSON(http.StatusConflict, map[string]any{"reason": ReasonFenced})
		}
		reply := h.listing(ends)
		changed := h.changed
		h.mu.Unlock()
		if len(ends) > 0 || expired {
			return c.JSON(http.StatusOK, reply)
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// listing is called with h.mu held.
func (h *HTTPServer) listing(ends []EndedTask) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range h.server.running {
		running = append(running, []any{r.Name, r.Number, "", r.Percent(h.server.Clock())})
	}
	for _, e := range ends {
		finished = append(finished, []any{e.Index, e.Name, e.Number, e.Outcome, ""})
	}
	return map[string]any{"clockMs": h.server.Clock().Milliseconds(), "born": h.server.Incarnation, "running": running, "finished": finished}
}
