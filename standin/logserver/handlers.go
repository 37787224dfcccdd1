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

// maxReadRecords limits the number of records in one read.
const maxReadRecords = 1000

// injectFaults applies the faults that act before a request takes effect: Delay
// and Down.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.Faults()
		if !sleep(c, time.Duration(f.Delay)) {
			return nil
		}
		if s.Faults().Down {
			return closeConnection(c)
		}
		return next(c)
	}
}

// sleep waits for d. It returns false if the client disconnects first.
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

// closeConnection closes the connection without a reply.
func closeConnection(c echo.Context) error {
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
	offset, dropReply, ok := s.appendLimited(data)
	if !ok {
		return echo.NewHTTPError(http.StatusTooManyRequests)
	}
	if dropReply {
		return closeConnection(c)
	}
	return c.JSON(http.StatusOK, platformlog.AppendReply{Offset: offset})
}

// appendLimited appends data unless the rate limit is exceeded; then ok is false.
// dropReply reports whether the reply must be dropped.
func (s *Server) appendLimited(data []byte) (offset uint64, dropReply, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.allow() {
		return 0, false, false
	}
	dropReply = s.faults.DropReplies
	if s.faults.DropNextReplies > 0 {
		s.faults.DropNextReplies--
		dropReply = true
	}
	return s.appendRecord(data), dropReply, true
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

func (s *Server) read(offset uint64, limit int) ([]platformlog.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.read(offset, limit)
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
