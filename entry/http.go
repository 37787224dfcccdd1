package entry

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Maximum sizes of request bodies in bytes. Payloads are base64-encoded: three
// bytes take four.
const (
	maxJobBody   = structs.MaxJobBytes/3*4 + 1<<20
	maxSmallBody = 4 << 10
	maxEditBody  = 256 << 10
)

// routes builds the HTTP interface; see docs/API.md.
func (e *Entry) routes() http.Handler {
	s := ops.NewServer()
	s.HTTPErrorHandler = writeHTTPError
	s.POST("/v1/reservations", e.postReservation)
	s.POST("/v1/jobs", e.postJob)
	s.PUT("/v1/jobs/:id", e.putJob)
	s.GET("/v1/jobs/:id", e.getJob)
	s.DELETE("/v1/jobs/:id", e.deleteJob)
	s.GET("/v1/entries", e.getEntries)
	s.GET("/v1/status", e.getStatus)
	e.registerServiceRoutes(s)
	ops.Register(s, e, e.metrics)
	return s
}

func (e *Entry) postReservation(c echo.Context) error {
	var body struct {
		Count int `json:"count"`
	}
	if err := readJSON(c, maxSmallBody, &body); err != nil {
		return writeError(c, err)
	}
	ids, err := e.reserve(c.Request().Context(), body.Count)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, map[string][]structs.JobID{"ids": ids})
}

func (e *Entry) postJob(c echo.Context) error {
	text := c.Request().Header.Get(headerIdempotencyKey)
	if text == "" {
		return e.submitJob(c, structs.JobID{})
	}
	id, err := e.jobForKey(c.Request().Context(), text)
	if err != nil {
		return writeError(c, err)
	}
	return e.submitJob(c, id)
}

func (e *Entry) putJob(c echo.Context) error {
	id, err := pathID(c)
	if err != nil {
		return writeError(c, err)
	}
	return e.submitJob(c, id)
}

func (e *Entry) submitJob(c echo.Context, id structs.JobID) error {
	wait, err := e.queryWait(c)
	if err != nil {
		return writeError(c, err)
	}
	spec := new(structs.JobSpec)
	if err := readJSON(c, maxJobBody, spec); err != nil {
		return writeError(c, err)
	}
	return e.answerJob(c, &jobRequest{op: structs.OpSubmit, id: id, spec: spec, wait: wait})
}

func (e *Entry) getJob(c echo.Context) error {
	id, err := pathID(c)
	if err != nil {
		return writeError(c, err)
	}
	wait, err := e.queryWait(c)
	if err != nil {
		return writeError(c, err)
	}
	return e.answerJob(c, &jobRequest{op: structs.OpGet, id: id, wait: wait})
}

func (e *Entry) deleteJob(c echo.Context) error {
	id, err := pathID(c)
	if err != nil {
		return writeError(c, err)
	}
	return e.answerJob(c, &jobRequest{op: structs.OpCancel, id: id, wait: time.Duration(e.opts.MaxWait)})
}

func (e *Entry) answerJob(c echo.Context, r *jobRequest) error {
	answer, err := e.serveJob(c.Request().Context(), r)
	if err != nil {
		return writeError(c, err)
	}
	status := http.StatusOK
	if !answer.State.Final() {
		status = http.StatusAccepted
	}
	return c.JSON(status, answer)
}

func (e *Entry) getEntries(c echo.Context) error {
	return c.JSON(http.StatusOK, e.peers.entries())
}

func pathID(c echo.Context) (structs.JobID, *structs.Error) {
	id, err := structs.ParseJobID(c.Param("id"))
	if err != nil {
		return structs.JobID{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "%v", err)
	}
	return id, nil
}

// queryWait returns the wait parameter, limited to the MaxWait setting.
func (e *Entry) queryWait(c echo.Context) (time.Duration, *structs.Error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, structs.Errorf(structs.CodeInvalid, structs.NotRun, "invalid wait %q: must be a duration such as 30s", text)
	}
	return min(d, time.Duration(e.opts.MaxWait)), nil
}

// readJSON decodes a request body of at most limit bytes into dst.
func readJSON(c echo.Context, limit int64, dst any) *structs.Error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	if err == nil {
		if _, extra := dec.Token(); extra != io.EOF {
			err = errors.New("more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "request body is larger than %d bytes", limit)
	}
	if err != nil {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "invalid request body: %v", err)
	}
	return nil
}

// statusOf maps error codes to HTTP status codes.
var statusOf = map[structs.ErrorCode]int{
	structs.CodeInvalid:     http.StatusBadRequest,
	structs.CodeTooLarge:    http.StatusRequestEntityTooLarge,
	structs.CodeRejected:    http.StatusUnprocessableEntity,
	structs.CodeNotFound:    http.StatusNotFound,
	structs.CodeConflict:    http.StatusConflict,
	structs.CodeForbidden:   http.StatusForbidden,
	structs.CodeCanceled:    http.StatusConflict,
	structs.CodeExpired:     http.StatusGone,
	structs.CodeQuota:       http.StatusTooManyRequests,
	structs.CodeOverloaded:  http.StatusServiceUnavailable,
	structs.CodeUnavailable: http.StatusServiceUnavailable,
	structs.CodeLeaving:     http.StatusServiceUnavailable,
	structs.CodeHomeLost:    http.StatusBadGateway,
	structs.CodeTimeout:     http.StatusGatewayTimeout,
}

func writeError(c echo.Context, err *structs.Error) error {
	status, ok := statusOf[err.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if err.RetryAfter > 0 {
		seconds := int(math.Ceil(err.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return c.JSON(status, err)
}

// writeHTTPError answers requests that echo itself rejects, such as requests for
// unknown paths.
func writeHTTPError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	status, message := http.StatusInternalServerError, err.Error()
	if errors.As(err, &he) {
		status, message = he.Code, http.StatusText(he.Code)
	}
	body := structs.Errorf(structs.CodeInvalid, structs.NotRun, "%s %s: %s", c.Request().Method, c.Request().URL.Path, message)
	if status >= http.StatusInternalServerError {
		body.Code, body.Verdict = structs.CodeInternal, structs.MayHaveRun
	}
	_ = c.JSON(status, body)
}
