// Package logserver is a stand-in of the platform's append-only log for tests
// and for trying the system out. It keeps its records in memory and can be
// made slow, down, deaf or forgetful at run time.
//
// In a process of the caller's own:
//
//	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
//	defer srv.Close()
//	client, err := platformlog.NewClient(srv.URL(), 0)
//
// Over HTTP, PUT /faults takes a Faults as JSON and GET /faults returns it.
package logserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// FaultsPath takes GET and PUT of the Faults in effect.
const FaultsPath = "/faults"

// Server is a log server that listens on one address.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	records records
	faults  Faults
	limiter appendLimiter
}

// Start listens on addr and serves in the background until Close.
func Start(addr string, f Faults) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	s.SetFaults(f)
	e := ops.NewServer()
	s.register(e)
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		err := s.http.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.Logger.Error(err)
		}
	}()
	return s, nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL for platformlog.NewClient.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server and cuts its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	// The server closes its listener only once it serves.
	if e := s.listener.Close(); !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	return err
}

// SetFaults changes the faults for the requests to come.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter.setRate(f.appendsPerSecond())
	s.records.truncate(f.KeepRecords)
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Bounds returns the earliest kept offset and the next one.
func (s *Server) Bounds() (earliest, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.earliest, s.records.next()
}

// Append adds a record whatever the faults are.
func (s *Server) Append(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(data)
}

func (s *Server) append(data []byte) uint64 {
	offset := s.records.append(data)
	s.records.truncate(s.faults.KeepRecords)
	return offset
}

func (s *Server) register(e *echo.Echo) {
	e.POST(platformlog.RecordsPath, s.handleAppend, s.interfere)
	e.GET(platformlog.RecordsPath, s.handleRead, s.interfere)
	e.GET(platformlog.BoundsPath, s.handleBounds, s.interfere)
	e.GET(FaultsPath, s.handleGetFaults)
	e.PUT(FaultsPath, s.handlePutFaults)
}
