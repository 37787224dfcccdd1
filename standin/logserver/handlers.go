package logserver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// maxReadRecords bounds the records of one read.
const maxReadRecords = 1000

// interfere carries out the faults that precede a request's effect.
func (s *Server) interfere(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.Faults()
		if !sleep(c, time.Duration(f.Delay)) {
			return nil
		}
		if s.Faults().Down {
			return cut(c)
		}
		return next(c)
	}
}

// sleep waits for d and reports whether the caller is still there.
func sleep(c echo.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// cut closes the connection without an answer.
func cut(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

func (s *Server) handleAppend(c echo.Context) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, platformlog.MaxRecordBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(data) > platformlog.MaxRecordBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	offset, deaf, ok := s.admit(data)
	if !ok {
		return echo.NewHTTPError(http.StatusTooManyRequests)
	}
	if deaf {
		return cut(c)
	}
	return c.JSON(http.StatusOK, platformlog.AppendReply{Offset: offset})
}

// admit appends data unless the rate forbids it, and says whether the answer
// is to be lost.
func (s *Server) admit(data []byte) (offset uint64, deaf, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.allow() {
		return 0, false, false
	}
	deaf = s.faults.DropReplies
	if s.faults.DropNextReplies > 0 {
		s.faults.DropNextReplies--
		deaf = true
	}
	return s.append(data), deaf, true
}

func (s *Server) handleRead(c echo.Context) error {
	offset, err := strconv.ParseUint(c.QueryParam("offset"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	limit, err := strconv.Atoi(c.QueryParam("max"))
	if err != nil || limit < 1 {
		return echo.NewHTTPError(http.StatusBadRequest, "max is not a positive number")
	}
	records, err := s.read(offset, min(limit, maxReadRecords))
	switch {
	case errors.Is(err, platformlog.ErrTruncated):
		return echo.NewHTTPError(http.StatusGone)
	case err != nil:
		return echo.NewHTTPError(http.StatusRequestedRangeNotSatisfiable)
	}
	return c.JSON(http.StatusOK, platformlog.ReadReply{Records: records})
}

func (s *Server) read(offset uint64, max int) ([]platformlog.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.read(offset, max)
}

func (s *Server) handleBounds(c echo.Context) error {
	earliest, next := s.Bounds()
	return c.JSON(http.StatusOK, platformlog.BoundsReply{Earliest: earliest, Next: next})
}

func (s *Server) handleGetFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Faults())
}

func (s *Server) handlePutFaults(c echo.Context) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	f, err := ParseFaults(text)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}
