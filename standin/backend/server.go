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
	opts     Options
	listener net.Listener
	web      *http.Server
	slots    chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	behavior Behavior
	changed  chan struct{} // closed when the behavior changes
	starts   []Start
	stats    Stats
}

// Start is one start of a task.
type Start struct {
	Task string    `json:"task"` // as in the header Chestnuthollow-Task-Id
	At   time.Time `json:"at"`
}

// Stats counts what a Server has done.
type Stats struct {
	Starts      int `json:"starts"`
	Answers     int `json:"answers"` // work done and answered with 200
	Working     int `json:"working"`
	MaxWorking  int `json:"max_working"`
	Connections int `json:"connections"` // accepted so far
}

// New binds the server's address and starts to serve.
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
	s.web = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, ConnState: s.connState}
	go s.web.Serve(l)
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

// Close stops the server at once and cuts what is under way.
func (s *Server) Close() error { return s.web.Close() }

// Shutdown stops the server after what is under way.
func (s *Server) Shutdown(ctx context.Context) error { return s.web.Shutdown(ctx) }

// Starts returns the record of starts so far, in order.
func (s *Server) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start{}, s.starts...)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Behavior returns the present behavior.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// SetBehavior changes the behavior for tasks that start from now on, and ends
// the stall of those that stalled.
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

// plan is what one task gets.
type plan struct {
	mode    Mode
	work    time.Duration
	changed chan struct{}
}

// draw decides on a task by the present behavior.
func (s *Server) draw(work time.Duration) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.behavior.Mode
	if share := s.behavior.Share; share > 0 && s.rng.Float64() >= share {
		mode = ModeWork
	}
	factor := math.Exp(s.opts.Spread*s.rng.NormFloat64()) / s.behavior.Speed
	return plan{mode: mode, work: time.Duration(float64(work) * factor), changed: s.changed}
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

func (s *Server) recordEnd(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Working--
	if answered {
		s.stats.Answers++
	}
}
