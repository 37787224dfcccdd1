package leaseserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
)

// Options describe a backend server and its HTTP interface.
type Options struct {
	ID, Service string
	CPU, MemMB  int
	// HeartbeatURL is the base URL of the agent's heartbeat endpoint.
	HeartbeatURL      string
	HeartbeatInterval time.Duration
	// BehaviorOf returns the behavior of a task, given its name and spec.
	BehaviorOf func(name, spec string) Behavior
	// DownTime is how long the server is down after a task has crashed it.
	DownTime time.Duration
	// OnStart and OnEnd, if set, are called when a task starts or ends. They must not
	// call the HTTPServer. A call may be late on a busy machine: at is the time by the
	// server's clock for starts and for ends without a call, else that of the call.
	OnStart func(server string, t RunningTask, at time.Time)
	OnEnd   func(server string, t TaskRun, outcome string, at time.Time)
	// OnCall, if set, is called for each call that the server decides about. It must not call
	// the HTTPServer.
	OnCall func(Call)
}

// Call is a call of an agent and what the server has made of it.
type Call struct {
	Server      string
	Incarnation int64
	Path        string        // last element
	Run         TaskRun       // of a start or a stop
	LeaseEnd    time.Duration // asked for; zero if none
	Token       int64
	Clock       time.Duration
	Outcome     string // status and reason, and whether there is a reply
}

// tickInterval is how often an HTTPServer advances the clock, which ends tasks that
// are due.
const tickInterval = 2 * time.Millisecond

// stopPath is the last element of the path of stops.
const stopPath = "run-stop"

// comeBackRetry is the delay before a server that cannot listen tries again.
const comeBackRetry = 20 * time.Millisecond

// HTTPServer serves a Server over HTTP, in real time.
type HTTPServer struct {
	opts Options

	mu           sync.Mutex
	server       *Server
	started      time.Time     // start of the current incarnation
	base         time.Duration // clock reading at the start
	changed      chan struct{} // closed and replaced when a task ends
	delayedShare float64
	// declinedShare is the share of calls that are declined, lostReplyShare that of starts and
	// stops that are carried out without a reply.
	declinedShare, lostReplyShare float64
	hangingStopShare              float64 // of stops that are not carried out and get no reply
	draining                      bool
	seq                           int64 // of the last heartbeat
	addr                          string
	http                          *http.Server // nil while the server is down
	closed                        bool
}

// NewHTTPServer returns a server whose first incarnation starts now. It sends
// heartbeats while Run is running.
func NewHTTPServer(opts Options) *HTTPServer {
	h := &HTTPServer{opts: opts, changed: make(chan struct{})}
	h.restart()
	return h
}

// ID returns the server's id.
func (h *HTTPServer) ID() string { return h.opts.ID }

// restart replaces the server by a new incarnation without tasks. The caller holds
// h.mu, unless the HTTPServer is not in use yet.
func (h *HTTPServer) restart() {
	h.started = time.Now()
	h.base = time.Duration(1+rand.IntN(1_000_000)) * time.Millisecond
	h.server = New(h.started.UnixMilli(), h.base)
	h.server.OnRunning = func(t RunningTask) {
		if h.opts.OnStart != nil {
			h.opts.OnStart(h.opts.ID, t, h.timeOf(t.Started))
		}
	}
	h.server.OnEnd = func(t TaskRun, outcome string) {
		if h.opts.OnEnd != nil {
			at := time.Now()
			if endsByItself(outcome) {
				at = h.timeOf(h.server.Clock())
			}
			h.opts.OnEnd(h.opts.ID, t, outcome, at)
		}
		close(h.changed)
		h.changed = make(chan struct{})
	}
	h.seq = 0
	h.draining = false
}

// timeOf returns the time of a clock reading of the current incarnation. The caller holds h.mu.
func (h *HTTPServer) timeOf(clock time.Duration) time.Time { return h.started.Add(clock - h.base) }

// SetDelayedCallShare sets the share of starts and stops that get no reply and are
// carried out 2 to 6 s later. Lease renewals get no reply with a quarter of this
// probability, drawn whenever a reply is prepared.
func (h *HTTPServer) SetDelayedCallShare(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayedShare = share
}

// SetUnhealthy sets the share of calls that are answered with 503 and not carried out, and
// the share of starts and stops that are carried out and get no reply.
func (h *HTTPServer) SetUnhealthy(declinedShare, lostReplyShare float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.declinedShare, h.lostReplyShare = declinedShare, lostReplyShare
}

// SetHangingStops sets the share of stops that get no reply and are never carried out.
func (h *HTTPServer) SetHangingStops(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hangingStopShare = share
}

// Crash ends all tasks and connections and starts a new incarnation at once.
func (h *HTTPServer) Crash() { h.CrashFor(0) }

// Serve serves calls on the listener until Close.
func (h *HTTPServer) Serve(l net.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addr = l.Addr().String()
	h.serve(l)
}

// serve serves the calls to the current incarnation. The caller holds h.mu.
func (h *HTTPServer) serve(l net.Listener) {
	h.http = &http.Server{Handler: h.handlerOf(h.server)}
	go h.http.Serve(l)
}

// Close stops serving for good.
func (h *HTTPServer) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.http != nil {
		h.http.Close()
	}
}

// CrashFor ends all tasks and connections, and refuses connections for a time. Then a new
// incarnation starts.
func (h *HTTPServer) CrashFor(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.http == nil {
		return // it is down already
	}
	h.advance()
	h.server.crash()
	h.http.Close()
	h.http = nil
	if d == 0 {
		h.startAgain()
		return
	}
	time.AfterFunc(d, h.comeBack)
}

func (h *HTTPServer) comeBack() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startAgain()
}

// startAgain starts a new incarnation at the same address. The caller holds h.mu.
func (h *HTTPServer) startAgain() {
	if h.closed {
		return
	}
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		time.AfterFunc(comeBackRetry, h.comeBack) // the port is still in use
		return
	}
	h.restart()
	h.serve(l)
	go h.sendHeartbeat(context.Background())
}

// SetCPU changes the capacity, in thousandths of a core, which the next heartbeat
// reports.
func (h *HTTPServer) SetCPU(cpu int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opts.CPU = cpu
}

// Drain reports to the agent that the server is draining.
func (h *HTTPServer) Drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.sendHeartbeat(context.Background())
}

// advance advances the server's clock to the current time. The caller holds h.mu.
func (h *HTTPServer) advance() *Server {
	h.server.Advance(h.base + time.Since(h.started))
	return h.server
}

// Run sends heartbeats and advances the server's clock until ctx is canceled.
func (h *HTTPServer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastHeartbeat time.Time
	for {
		if time.Since(lastHeartbeat) > h.opts.HeartbeatInterval {
			lastHeartbeat = time.Now()
			go h.sendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.mu.Lock()
			h.advance()
			crashed := h.server.Crashed && h.http != nil
			h.mu.Unlock()
			if crashed {
				h.CrashFor(h.opts.DownTime)
			}
		}
	}
}

func (h *HTTPServer) sendHeartbeat(ctx context.Context) {
	h.mu.Lock()
	if h.server.Crashed {
		h.mu.Unlock()
		return
	}
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

// call is the body of an agent's call.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckIndex     int64  `json:"ackIndex"`
	WaitMs       int64  `json:"waitMs"`
}

func (c *call) leaseEnd() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// Handler serves the calls of an agent to the current incarnation.
func (h *HTTPServer) Handler() http.Handler {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handlerOf(h.server)
}

// handlerOf serves the calls to an incarnation. They reach no later one.
func (h *HTTPServer) handlerOf(server *Server) http.Handler {
	e := ops.NewServer()
	e.POST("/chestnuthollow/run-start", h.callHandler(server, func(c *call) (int, map[string]any) {
		s := h.advance()
		reason := s.Start(TaskRun{Name: c.Task, Number: c.Run}, h.opts.BehaviorOf(c.Task, c.Spec), c.leaseEnd(), c.FencingToken)
		if reason != "" {
			return http.StatusConflict, map[string]any{"reason": reason}
		}
		return http.StatusOK, map[string]any{}
	}))
	e.POST("/chestnuthollow/"+stopPath, h.callHandler(server, func(c *call) (int, map[string]any) {
		if !h.advance().Stop(TaskRun{Name: c.Task, Number: c.Run}, c.FencingToken) {
			return http.StatusConflict, map[string]any{"reason": ReasonFenced}
		}
		return http.StatusOK, map[string]any{}
	}))
	e.POST("/chestnuthollow/hold", func(c echo.Context) error { return h.renewLease(server, c) })
	return e
}

// record passes a call to OnCall. The caller holds h.mu.
func (h *HTTPServer) record(path string, c *call, outcome string) {
	if h.opts.OnCall != nil {
		h.opts.OnCall(Call{
			Server: h.opts.ID, Incarnation: h.server.Incarnation, Path: path, Run: TaskRun{Name: c.Task, Number: c.Run},
			LeaseEnd: c.leaseEnd(), Token: c.FencingToken, Clock: h.server.Clock(), Outcome: outcome,
		})
	}
}

// callHandler returns a handler that carries out a call and replies, or gives no
// reply and carries out the call later, unless the server restarts before that.
func (h *HTTPServer) callHandler(server *Server, carryOut func(*call) (int, map[string]any)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body call
		if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		h.mu.Lock()
		if h.ended(server) {
			h.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		path := c.Path()[strings.LastIndexByte(c.Path(), '/')+1:]
		if h.forOtherServer(c) {
			h.record(path, &body, "421")
			h.mu.Unlock()
			return c.NoContent(http.StatusMisdirectedRequest)
		}
		if path == stopPath && rand.Float64() < h.hangingStopShare {
			h.record(path, &body, "hangs")
			h.mu.Unlock()
			<-c.Request().Context().Done()
			return nil
		}
		if rand.Float64() < h.delayedShare {
			h.record(path, &body, "no reply, to be carried out later")
			h.mu.Unlock()
			time.AfterFunc(2*time.Second+time.Duration(rand.IntN(4000))*time.Millisecond, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				if !h.ended(server) {
					code, reply := carryOut(&body)
					h.record(path, &body, fmt.Sprint("carried out late: ", code, " ", reply["reason"]))
				}
			})
			<-c.Request().Context().Done()
			return nil
		}
		if rand.Float64() < h.declinedShare {
			h.record(path, &body, "503")
			h.mu.Unlock()
			return c.NoContent(http.StatusServiceUnavailable)
		}
		code, reply := carryOut(&body)
		lost := rand.Float64() < h.lostReplyShare
		h.record(path, &body, fmt.Sprint(code, " ", reply["reason"], " reply lost: ", lost))
		if lost {
			h.mu.Unlock()
			<-c.Request().Context().Done()
			return nil
		}
		reply["clockMs"] = h.server.Clock().Milliseconds()
		reply["born"] = h.server.Incarnation
		h.mu.Unlock()
		return c.JSON(code, reply)
	}
}

// ended reports whether an incarnation has ended by now. A call that it has received is not
// carried out any more. The caller holds h.mu.
func (h *HTTPServer) ended(server *Server) bool { return h.server != server || h.advance().Crashed }

// forOtherServer reports whether a call is addressed to another server.
func (h *HTTPServer) forOtherServer(c echo.Context) bool {
	addressedTo := c.Request().Header.Get("Expect-Instance")
	return addressedTo != "" && addressedTo != h.opts.ID
}

// renewLease serves a lease renewal. It replies when there are ended tasks that are
// not acknowledged, or after the requested wait.
func (h *HTTPServer) renewLease(server *Server, c echo.Context) error {
	var body call
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
	defer timer.Stop()
	timedOut := body.WaitMs == 0
	for {
		h.mu.Lock()
		if h.ended(server) {
			h.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if h.forOtherServer(c) {
			h.mu.Unlock()
			return c.NoContent(http.StatusMisdirectedRequest)
		}
		if rand.Float64() < h.declinedShare {
			h.mu.Unlock()
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if rand.Float64() < h.delayedShare/4 {
			h.mu.Unlock()
			<-c.Request().Context().Done()
			return nil
		}
		s := h.advance()
		ended, ok := s.RenewLease(body.leaseEnd(), body.FencingToken, body.AckIndex)
		h.record("hold", &body, fmt.Sprint(ok, " running=", h.server.running, " ended=", ended))
		if !ok {
			h.mu.Unlock()
			return c.JSON(http.StatusConflict, map[string]any{"reason": ReasonFenced})
		}
		reply := h.renewalReply(ended)
		changed := h.changed
		h.mu.Unlock()
		if len(ended) > 0 || timedOut {
			return c.JSON(http.StatusOK, reply)
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// renewalReply returns the reply to a lease renewal. The caller holds h.mu.
func (h *HTTPServer) renewalReply(ended []EndedTask) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range h.server.running {
		running = append(running, []any{r.Name, r.Number, "", r.Percent(h.server.Clock())})
	}
	for _, e := range ended {
		finished = append(finished, []any{e.Index, e.Name, e.Number, e.Outcome, ""})
	}
	return map[string]any{"clockMs": h.server.Clock().Milliseconds(), "born": h.server.Incarnation, "running": running, "finished": finished}
}
