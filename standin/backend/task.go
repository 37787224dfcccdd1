package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// HeaderWork is the request header for a task's work time in milliseconds.
const HeaderWork = "Standin-Work-Ms"

// Headers and a header value of the interface to agents, see docs/BACKENDS.md.
const (
	headerTaskID  = "Chestnuthollow-Task-Id"
	headerVerdict = "Chestnuthollow-Verdict"
	notRun        = "not-run"
)

func (s *Server) runTask(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(io.LimitReader(r.Body, structs.MaxPayloadBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest)
	}
	p := s.planTask(s.workTime(r, body))
	switch p.mode {
	case ModeDecline:
		c.Response().Header().Set(headerVerdict, notRun)
		return c.String(http.StatusServiceUnavailable, "declined")
	case ModeRefuse:
		return c.String(http.StatusServiceUnavailable, "refused")
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return nil
	}
	defer func() { <-s.slots }()
	s.recordStart(r.Header.Get(headerTaskID))
	completed := s.work(r.Context(), &p)
	s.recordEnd(completed)
	return respond(c, p.mode, body)
}

// work waits for the task's work time, or as its mode requires, and reports
// whether the task completed its work and is to be answered with 200.
func (s *Server) work(ctx context.Context, p *taskPlan) bool {
	switch p.mode {
	case ModeFail, ModeDropAtStart:
		return false
	case ModeStall:
		select {
		case <-p.changed:
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(p.work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return p.mode == ModeWork || p.mode == ModeStall
	case <-ctx.Done():
		return false
	}
}

// respond sends the answer that the mode requires, or aborts the connection.
func respond(c echo.Context, mode Mode, body []byte) error {
	switch mode {
	case ModeFail, ModeFailSlow:
		return c.String(http.StatusInternalServerError, "failed on request")
	case ModeDropAtStart, ModeDropAfterWork:
		panic(http.ErrAbortHandler)
	}
	contentType := c.Request().Header.Get(echo.HeaderContentType)
	if contentType == "" {
		contentType = echo.MIMEOctetStream
	}
	return c.Blob(http.StatusOK, contentType, body)
}

// workTime returns the work time that a task specifies in the header or else in
// the payload, before speed and spread are applied.
func (s *Server) workTime(r *http.Request, body []byte) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64); err == nil && ms >= 0 {
		return milliseconds(ms)
	}
	var payload struct {
		WorkMS *float64 `json:"work_ms"`
	}
	if json.Unmarshal(body, &payload) == nil && payload.WorkMS != nil && *payload.WorkMS >= 0 {
		return milliseconds(*payload.WorkMS)
	}
	return s.opts.Work
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
