package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Headers of a task's request to its backend server, and of its answer.
const (
	HeaderJob      = "Chestnuthollow-Job"
	HeaderTask     = "Chestnuthollow-Task"
	HeaderTaskID   = "Chestnuthollow-Task-Id"
	HeaderTeam     = "Chestnuthollow-Team"
	HeaderKind     = "Chestnuthollow-Kind"
	HeaderDeadline = "Chestnuthollow-Deadline"
	HeaderTimeout  = "Chestnuthollow-Timeout-Ms"
	HeaderVerdict  = "Chestnuthollow-Verdict"

	// VerdictNotRun in HeaderVerdict, with status 503, says that the backend
	// server has not started the task and will not.
	VerdictNotRun = "not-run"
)

// taskPath is the backend server's path for tasks.
const taskPath = "/tasks"

const (
	backendDialTimeout = time.Second
	// backendIdleTimeout is kept below what servers commonly allow, so that
	// this side closes an idle connection first.
	backendIdleTimeout  = 4 * time.Second
	maxBackendHeader    = 64 << 10
	maxBackendErrorText = 256
)

var errStopped = errors.New("stopped on request")

// backend calls the backend server.
type backend struct {
	url    string
	client *http.Client
}

func newBackend(base string, slots int) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxIdleConns:           slots,
		MaxIdleConnsPerHost:    slots,
		IdleConnTimeout:        backendIdleTimeout,
		MaxResponseHeaderBytes: maxBackendHeader,
		DisableCompression:     true,
	}
	return &backend{
		url: strings.TrimSuffix(base, "/") + taskPath,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (b *backend) close() { b.client.CloseIdleConnections() }

// call sends one task to the backend server, once, and returns its end.
func (b *backend) call(ctx context.Context, ef *executor.StartTask) executor.TaskFinished {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ef.Timeout)
	defer cancel()
	res := b.send(ctx, ef, start.Add(ef.Timeout))
	res.Index = ef.Task.Index
	done := executor.TaskFinished{Task: ef.Task, Result: res}
	if res.Verdict != structs.NotRun {
		done.ServiceTime = time.Since(start)
	}
	return done
}

func (b *backend) send(ctx context.Context, ef *executor.StartTask, deadline time.Time) structs.TaskResult {
	var sent guard
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { sent.use(info.Conn) }}
	req, err := b.request(httptrace.WithClientTrace(ctx, trace), ef, deadline)
	if err != nil {
		return failure(structs.CodeInvalid, structs.NotRun, err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return b.broken(ctx, sent.verdict(), err)
	}
	defer resp.Body.Close()
	return answer(resp)
}

// request builds the call. It must not be sent twice: it has no GetBody and no
// header that has net/http take it for idempotent.
func (b *backend) request(ctx context.Context, ef *executor.StartTask, deadline time.Time) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url, bytes.NewReader(ef.Spec.Payload))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	h := req.Header
	h.Set(HeaderJob, ef.Task.Job.String())
	h.Set(HeaderTask, strconv.Itoa(ef.Task.Index))
	h.Set(HeaderTaskID, ef.Task.String())
	h.Set(HeaderTeam, ef.Team)
	h.Set(HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	h.Set(HeaderTimeout, strconv.FormatInt(ef.Timeout.Milliseconds(), 10))
	setIfAny(h, HeaderKind, ef.Spec.Kind)
	setIfAny(h, "Content-Type", ef.Spec.ContentType)
	return req, nil
}

func setIfAny(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// broken is the outcome of a call without an answer.
func (b *backend) broken(ctx context.Context, v structs.Verdict, err error) structs.TaskResult {
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		return failure(structs.CodeCanceled, v, errStopped)
	case ctx.Err() != nil:
		return failure(structs.CodeTimeout, v, errors.New("no answer of the backend server within the timeout"))
	case v == structs.NotRun:
		return failure(structs.CodeUnavailable, v, err)
	}
	return failure(structs.CodeBackend, v, err)
}

// answer is the outcome of a call that the backend server answered.
func answer(resp *http.Response) structs.TaskResult {
	if saysNotRun(resp) {
		return failure(structs.CodeUnavailable, structs.NotRun, errors.New("the backend server declined the task"))
	}
	ok := resp.StatusCode >= 200 && resp.StatusCode < 300
	limit := int64(maxBackendErrorText)
	if ok {
		limit = structs.MaxResultBytes + 1
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	switch {
	case !ok:
		return failure(structs.CodeBackend, structs.Ran, fmt.Errorf("status %d: %q", resp.StatusCode, body))
	case err != nil:
		return failure(structs.CodeResultLost, structs.Ran, fmt.Errorf("status %d, then %w", resp.StatusCode, err))
	case len(body) > structs.MaxResultBytes:
		return failure(structs.CodeTooLarge, structs.Ran, fmt.Errorf("result larger than %d bytes", structs.MaxResultBytes))
	}
	return structs.TaskResult{Verdict: structs.Ran, ContentType: contentType(resp), Body: body}
}

// saysNotRun reports whether the answer is the backend server's word that it
// has not started the task.
func saysNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderVerdict) == VerdictNotRun
}

// maxContentType bounds the content type kept of an answer.
const maxContentType = 256

func contentType(resp *http.Response) string {
	ct := resp.Header.Get("Content-Type")
	if len(ct) > maxContentType {
		return ""
	}
	return ct
}

func failure(code structs.ErrorCode, v structs.Verdict, err error) structs.TaskResult {
	return structs.TaskResult{Verdict: v, Error: structs.Errorf(code, v, "%v", err)}
}
