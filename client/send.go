package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// errTooLong says that a body was longer than Options.MaxAnswerBytes.
var errTooLong = errors.New("client: the answer is larger than the limit")

// request is one HTTP request to an entry.
type request struct {
	method string
	path   string // with query
	body   []byte
	wait   time.Duration // how long the entry may hold the request
	token  string        // for publishing; empty for none
	key    string        // idempotency key; empty for none
}

// reply is what became of a request: an HTTP answer whose body is JSON, or an
// error.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration
	// err says that no usable answer came.
	err error
	// unsent says that the request certainly reached no server.
	unsent bool
}

// send sends a request once. The call's context ends the request early, and so
// does the time that an entry has for its answer.
func (c *Client) send(ctx context.Context, to *endpoint, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, r.wait+c.opts.AnswerSlack)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	rep := c.exchange(ctx, to, r)
	rep.unsent = rep.err != nil && !connected.Load()
	c.note(ctx, to, rep)
	return rep
}

// note keeps what a reply says of the endpoint. After a timeout the idle
// connections are closed too: what made one of them silent may have silenced
// them all.
func (c *Client) note(ctx context.Context, to *endpoint, rep reply) {
	if rep.err == nil || errors.Is(rep.err, errTooLong) {
		c.endpoints.answered(to)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.endpoints.failed(time.Now(), to)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) exchange(ctx context.Context, to *endpoint, r request) reply {
	req, err := http.NewRequestWithContext(ctx, r.method, to.url+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{err: err}
	}
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	rep := reply{status: resp.StatusCode, retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	rep.body, rep.err = readBody(resp.Body, c.opts.MaxAnswerBytes)
	if rep.err == nil && !json.Valid(rep.body) {
		rep.err = fmt.Errorf("client: %s answered with status %d and no JSON", to.url, rep.status)
	}
	return rep
}

func readBody(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, nil
}

func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// refusal returns the error body of a reply with an error status. A body that
// is not one of ours claims nothing.
func (rep reply) refusal() *structs.Error {
	var e structs.Error
	if err := json.Unmarshal(rep.body, &e); err != nil || e.Code == "" {
		e = structs.Error{Code: structs.CodeInternal, Message: fmt.Sprintf("unknown answer with status %d", rep.status)}
	}
	if e.RetryAfter == 0 {
		e.RetryAfter = rep.retryAfter
	}
	return &e
}

// ok reports whether the reply is neither an error nor a redirect.
func (rep reply) ok() bool { return rep.status >= 200 && rep.status < 300 }

// refused reports whether the status says that the request itself is wrong.
func (rep reply) refused() bool { return rep.status >= 300 && rep.status < 500 }

// retryable reports whether a reply with an error status may change when the
// same request is sent again.
func (rep reply) retryable() bool {
	switch rep.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
