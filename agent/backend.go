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

// Headers of the request of a task to its backend server and of the reply.
const (
	HeaderJob      = "Chestnuthollow-Job"
	HeaderTask     = "Chestnuthollow-Task"
	HeaderTaskID   = "Chestnuthollow-Task-Id"
	HeaderTeam     = "Chestnuthollow-Team"
	HeaderKind     = "Chestnuthollow-Kind"
	HeaderDeadline = "Chestnuthollow-Deadline"
	HeaderTimeout  = "Chestnuthollow-Timeout-Ms"
	HeaderVerdict  = "Chestnuthollow-Verdict"

	// VerdictNotRun as the value of HeaderVerdict, with status 503, means that the
	// backend server has not started the task and will not start it.
	VerdictNotRun = "not-run"
)

// taskPath is the path to which tasks are posted at the backend server.
const taskPath = "/tasks"

const (
	backendDialTimeout = time.Second
	// backendIdleTimeout is shorter than the keep-alive timeout of common servers,
	// so that the agent closes an idle connection first.
	backendIdleTimeout  = 4 * time.Second
	maxBackendHeader    = 64 << 10
	maxBackendErrorText = 256
)

var errStopped = errors.New("stopped on request")

// backend is the HTTP client of the backend server.
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
			return &trackedConn{Conn: conn}, nil
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

// call sends a task to the backend server, at most once, and returns its outcome.
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
	var tracker sendTracker
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { tracker.connObtained(info.Conn) }}
	req, err := b.request(httptrace.WithClientTrace(ctx, trace), ef, deadline)
	if err != nil {
		return failureResult(structs.CodeInvalid, structs.NotRun, err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return b.noReplyResult(ctx, tracker.verdict(), err)
	}
	defer resp.Body.Close()
	return replyResult(resp)
}

// request builds the HTTP request of a task. It must not be sent twice. Therefore it
// has no GetBody and no header that net/http regards as a sign of idempotency.
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
	setNonEmpty(h, HeaderKind, ef.Spec.Kind)
	setNonEmpty(h, "Content-Type", ef.Spec.ContentType)
	return req, nil
}

func setNonEmpty(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// noReplyResult returns the outcome of a call without a reply.
func (b *backend) noReplyResult(ctx context.Context, v structs.Verdict, err error) structs.TaskResult {
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		return failureResult(structs.CodeCanceled, v, errStopped)
	case ctx.Err() != nil:
		return failureResult(structs.CodeTimeout, v, errors.New("the backend server did not answer within the timeout"))
	case v == structs.NotRun:
		return failureResult(structs.CodeUnavailable, v, err)
	}
	return failureResult(structs.CodeBackend, v, err)
}

// replyResult returns the outcome of a call that the backend server replied to.
func replyResult(resp *http.Response) structs.TaskResult {
	if declined(resp) {
		return failureResult(structs.CodeUnavailable, structs.NotRun, errors.New("the backend server declined the task"))
	}
	ok := resp.StatusCode >= 200 && resp.StatusCode < 300
	limit := int64(maxBackendErrorText)
	if ok {
		limit = structs.MaxResultBytes + 1
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	switch {
	case !ok:
		return failureResult(structs.CodeBackend, structs.Ran, fmt.Errorf("status %d: %q", resp.StatusCode, body))
	case err != nil:
		return failureResult(structs.CodeResultLost, structs.Ran, fmt.Errorf("status %d, but reading the result failed: %w", resp.StatusCode, err))
	case len(body) > structs.MaxResultBytes:
		return failureResult(structs.CodeTooLarge, structs.Ran, fmt.Errorf("result larger than %d bytes", structs.MaxResultBytes))
	}
	return structs.TaskResult{Verdict: structs.Ran, ContentType: contentType(resp), Body: body}
}

// declined reports whether the backend server states that it has not started the
// task.
func declined(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderVerdict) == VerdictNotRun
}

// maxContentType is the maximum length of the content type of a result. A longer one
// is dropped.
const maxContentType = 256

func contentType(resp *http.Response) string {
	ct := resp.Header.Get("Content-Type")
	if len(ct) > maxContentType {
		return ""
	}
	return ct
}

func failureResult(code structs.ErrorCode, v structs.Verdict, err error) structs.TaskResult {
	return structs.TaskResult{Verdict: v, Error: structs.Errorf(code, v, "%v", err)}
}
