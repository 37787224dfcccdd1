package backend

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
)

// Server is a stand-in backend server.
type Server struct {
	opts       Options
	listener   net.Listener
	httpServer *http.Server
	slots      chan struct{} // one element per task that occupies a slot

	mu       sync.Mutex
	rng      *rand.Rand
	behavior Behavior
	changed  chan struct{} // closed and replaced when the behavior is set
	starts   []Start       // at most opts.MaxStarts
	stats    Stats
}

// Start is the record of a task start.
type Start struct {
	Task string    `json:"task"` // value of the header Chestnuthollow-Task-Id
	At   time.Time `json:"at"`
}

// Stats are the counters of a Server.
type Stats struct {
	Starts      int `json:"starts"`      // tasks started so far
	Answers     int `json:"answers"`     // tasks that completed their work and were to be answered with 200
	Working     int `json:"working"`     // tasks that are started and not ended
	MaxWorking  int `json:"max_working"` // maximum of Working so far
	Connections int `json:"connections"` // connections accepted so far
}

// New listens on the address and serves in the background until Close or
// Shutdown.
func New(opts Options) (*Server, error) {
	if opts.Slots < 1 || opts.Speed <= 0 {
		return nil, errors.New("backend: want at least one slot and a positive speed")
	}
	l, err := net.Listen("tcp", opts.Addr)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	s := &Server{
		opts:     opts,
		listener: l,
		slots:    make(chan struct{}, opts.Slots),
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		behavior: Behavior{Mode: ModeWork, Speed: opts.Speed},
		changed:  make(chan struct{}),
	}
	s.httpServer = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, ConnState: s.connState}
	go s.httpServer.Serve(l)
	return s, nil
}

func (s *Server) routes() *echo.Echo {
	e := ops.NewServer()
	e.POST("/tasks", s.runTask)
	e.GET("/starts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Starts()) })
	e.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	e.GET("/behavior", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Behavior()) })
	e.PUT("/behavior", s.putBehavior)
	return e
}

// Addr returns the server's host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the server's base URL, for an agent's backend_url.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server immediately and closes the connections of tasks in
// flight.
func (s *Server) Close() error { return s.httpServer.Close() }

// Shutdown stops the server after the tasks in flight have been answered, or when
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }

// Starts returns the record of task starts so far, in order.
func (s *Server) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start{}, s.starts...)
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Behavior returns the current behavior.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// SetBehavior changes the behavior for tasks that arrive from now on, and lets
// stalled tasks proceed. Tasks that already wait for a slot keep the behavior from
// their arrival.
func (s *Server) SetBehavior(b Behavior) error {
	if err := b.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Speed == 0 {
		b.Speed = s.behavior.Speed
	}
	s.behavior = b
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Server) putBehavior(c echo.Context) error {
	var b Behavior
	if err := c.Bind(&b); err != nil {
		return err
	}
	if err := s.SetBehavior(b); err != nil {
		return c.JSON(http.StatusBadRequest, map[string]string{"message": err.Error()})
	}
	return c.JSON(http.StatusOK, s.Behavior())
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Connections++
}

// taskPlan is the treatment that was chosen for a task on its arrival.
type taskPlan struct {
	mode    Mode
	work    time.Duration
	changed chan struct{} // closed when the behavior is next set
}

// planTask chooses the treatment of a task by the current behavior.
func (s *Server) planTask(work time.Duration) taskPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.behavior.Mode
	if share := s.behavior.Share; share > 0 && s.rng.Float64() >= share {
		mode = ModeWork
	}
	factor := math.Exp(s.opts.Spread*s.rng.NormFloat64()) / s.behavior.Speed
	return taskPlan{mode: mode, work: time.Duration(float64(work) * factor), changed: s.changed}
}

func (s *Server) recordStart(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Starts++
	s.stats.Working++
	s.stats.MaxWorking = max(s.stats.MaxWorking, s.stats.Working)
	if len(s.starts) < s.opts.MaxStarts {
		s.starts = append(s.starts, Start{Task: task, At: time.Now()})
	}
}

func (s *Server) recordEnd(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Working--
	if completed {
		s.stats.Answers++
	}
}
