package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
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
	if err := e.readJSON(c, maxSmallBody, &body); err != nil {
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
	var body jobBody
	if err := e.readJSON(c, maxJobBody, &body); err != nil {
		if err.Code == structs.CodeOverloaded {
			err = overloadedError(id == structs.JobID{}, err.Message)
		}
		return writeError(c, err)
	}
	spec, refused := body.spec()
	if refused != nil {
		return writeError(c, refused)
	}
	return e.answerJob(c, &jobRequest{op: structs.OpSubmit, id: id, spec: spec, wait: wait})
}

// jobBody is the body of a submission.
type jobBody struct {
	structs.JobSpec
	Tasks taskList `json:"tasks"`
}

// spec returns the job, or why it is rejected.
func (b *jobBody) spec() (*structs.JobSpec, *structs.Error) {
	if n := b.Tasks.count; n > structs.MaxTasksPerJob {
		return nil, structs.Errorf(structs.CodeTooLarge, structs.NotRun, "job has %d tasks: the limit is %d", n, structs.MaxTasksPerJob)
	}
	b.JobSpec.Tasks = b.Tasks.tasks
	return &b.JobSpec, nil
}

// taskList is decoded task by task, because a list of short tasks takes many times more memory than its text.
// Tasks over the limit are counted and not kept.
type taskList struct {
	tasks []structs.TaskSpec
	count int
	seen  bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(text []byte) error {
	if l.seen {
		return errors.New("tasks: the list is repeated")
	}
	l.seen = true
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	switch open, err := dec.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("tasks: expected a list, got %.20s", text)
	}
	var over structs.TaskSpec
	for ; dec.More(); l.count++ {
		task := &over
		if l.count < structs.MaxTasksPerJob {
			l.tasks = append(l.tasks, structs.TaskSpec{})
			task = &l.tasks[l.count]
		}
		if err := dec.Decode(task); err != nil {
			return fmt.Errorf("tasks[%d]: %w", l.count, err)
		}
	}
	return nil
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

// maxErrorText bounds what an answer quotes of an error, in bytes: some errors quote the body.
const maxErrorText = 400

// readJSON decodes a request body of at most limit bytes into dst. The code of the error is
// structs.CodeOverloaded if there is no memory for the body.
func (e *Entry) readJSON(c echo.Context, limit int64, dst any) *structs.Error {
	body, err := e.bodies.Read(c.Response(), c.Request(), limit)
	if err == nil {
		defer body.Close()
		err = body.Decode(c.Request().Context(), func(text []byte) error { return decodeJSON(text, dst) })
	}
	var tooLarge *intake.TooLargeError
	var shortage *intake.ShortageError
	switch {
	case errors.As(err, &tooLarge):
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "request body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &shortage):
		return overloadedError(true, shortage.Error())
	case err != nil:
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "invalid request body: %.*v", maxErrorText, err)
	}
	return nil
}

func decodeJSON(text []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return err
	}
	if _, extra := dec.Token(); extra != io.EOF {
		return errors.New("more than one JSON value")
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
