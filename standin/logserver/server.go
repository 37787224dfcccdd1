// Package logserver is a stand-in for the platform's append-only log, for tests and
// demonstrations. It keeps its records in memory. Faults can be injected at run
// time: delays, outages, lost replies and truncation.
//
// To run it within a Go program:
//
//	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
//	defer srv.Close()
//	client, err := platformlog.NewClient(srv.URL(), 0)
//
// Over HTTP, PUT /faults sets the Faults, encoded as JSON, and GET /faults returns
// them.
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

// FaultsPath is the path to get and put the current Faults.
const FaultsPath = "/faults"

// Server is a log server on one address.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	records records
	faults  Faults
	limiter appendLimiter
}

// Start listens on addr and serves in the background until Close, with the given
// faults.
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

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL for platformlog.NewClient.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	// http.Server.Close closes the listener only if Serve has been called before.
	if e := s.listener.Close(); !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	return err
}

// SetFaults replaces the faults. Records beyond KeepRecords are dropped at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter.setRate(f.appendsPerSecond())
	s.records.truncate(f.KeepRecords)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Bounds returns the offset of the earliest retained record and the offset of the
// next record to be appended.
func (s *Server) Bounds() (earliest, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.earliest, s.records.next()
}

// Append appends a record directly, without the rate limit and the faults of
// requests, and returns its offset.
func (s *Server) Append(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendRecord(data)
}

// appendRecord appends a record, truncates the log to KeepRecords, and returns
// the offset of the record. The caller must hold s.mu.
func (s *Server) appendRecord(data []byte) uint64 {
	offset := s.records.add(data)
	s.records.truncate(s.faults.KeepRecords)
	return offset
}

func (s *Server) register(e *echo.Echo) {
	e.POST(platformlog.RecordsPath, s.handleAppend, s.injectFaults)
	e.GET(platformlog.RecordsPath, s.handleRead, s.injectFaults)
	e.GET(platformlog.BoundsPath, s.handleBounds, s.injectFaults)
	e.GET(FaultsPath, s.handleGetFaults)
	e.PUT(FaultsPath, s.handlePutFaults)
}
