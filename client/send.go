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

// errResponseTooLarge reports a body larger than Options.MaxAnswerBytes.
var errResponseTooLarge = errors.New("client: response body exceeds the size limit")

// request is one HTTP request to an entry.
type request struct {
	method string
	path   string // with query
	body   []byte
	wait   time.Duration // how long the entry may hold the request
	token  string        // bearer token; empty for none
	key    string        // idempotency key; empty for none
}

// reply is the outcome of a request: an HTTP response with a JSON body, or an
// error.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration
	// err is set if no usable response was received.
	err error
	// unsent is set if the request certainly reached no server: it got no
	// connection.
	unsent bool
}

// send sends a request once. The request times out when AnswerSlack has passed
// after the time that the entry may hold it, or earlier if ctx ends.
func (c *Client) send(ctx context.Context, to *endpoint, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, r.wait+c.opts.AnswerSlack)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	rep := c.roundTrip(ctx, to, r)
	rep.unsent = rep.err != nil && !connected.Load()
	c.updateEndpoint(ctx, to, rep)
	return rep
}

// updateEndpoint marks the endpoint as up or down after a reply. After a timeout
// it also closes the idle connections: what stalled one connection may have
// stalled them all.
func (c *Client) updateEndpoint(ctx context.Context, to *endpoint, rep reply) {
	if rep.err == nil || errors.Is(rep.err, errResponseTooLarge) {
		c.endpoints.markUp(to)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.endpoints.markDown(time.Now(), to)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) roundTrip(ctx context.Context, to *endpoint, r request) reply {
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
		rep.err = fmt.Errorf("client: %s responded with status %d and a body that is not JSON", to.url, rep.status)
	}
	return rep
}

func readBody(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errResponseTooLarge
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

// refusal returns the error in the body of a reply with an error status. A body
// in another format gives an internal error with the zero verdict,
// structs.MayHaveRun, because it proves nothing.
func (rep reply) refusal() *structs.Error {
	var e structs.Error
	if err := json.Unmarshal(rep.body, &e); err != nil || e.Code == "" {
		e = structs.Error{Code: structs.CodeInternal, Message: fmt.Sprintf("unrecognized response with status %d", rep.status)}
	}
	if e.RetryAfter == 0 {
		e.RetryAfter = rep.retryAfter
	}
	return &e
}

// ok reports whether the status is a success (2xx).
func (rep reply) ok() bool { return rep.status >= 200 && rep.status < 300 }

// rejected reports whether the status is a redirect (3xx) or a client error (4xx).
func (rep reply) rejected() bool { return rep.status >= 300 && rep.status < 500 }

// retryable reports whether the status is that of a temporary error, so that the
// same request may succeed when it is sent again.
func (rep reply) retryable() bool {
	switch rep.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
