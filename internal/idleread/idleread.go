// Package idleread reads the replies to HTTP requests. It ends a read when no data
// arrives, and not because of its length: a large reply over a slow link takes as long
// as it has to, while a connection that carries no data is noticed early.
package idleread

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// partSize bounds the bytes of one read, which may wait until all of them have arrived.
const partSize = 8 << 10

// Limits bound a request and its reply.
type Limits struct {
	First time.Duration // from the request to the head of the reply
	Idle  time.Duration // without data, after the head of the reply
	Total time.Duration // from the request to the end of the reply
	Bytes int           // size of the reply's body
}

// Do sends a request and returns the status and the body of the reply. If First, Idle
// or Total has passed, the error wraps context.DeadlineExceeded and says how much had
// arrived.
func Do(client *http.Client, req *http.Request, l Limits) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(req.Context(), l.Total)
	defer cancel()
	ctx, cancelIdle := context.WithCancelCause(ctx)
	defer cancelIdle(nil)
	timer := time.AfterFunc(l.First, func() { cancelIdle(context.DeadlineExceeded) })
	defer timer.Stop()

	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil, readError(ctx, req, 0, err)
	}
	defer resp.Body.Close()
	timer.Reset(l.Idle)
	r := &reader{Reader: io.LimitReader(resp.Body, int64(l.Bytes)+1), onRead: func() { timer.Reset(l.Idle) }}
	body, err = io.ReadAll(r)
	switch {
	case err != nil:
		return 0, nil, readError(ctx, req, len(body), err)
	case len(body) > l.Bytes:
		return 0, nil, fmt.Errorf("%s %s: reply exceeds %d bytes", req.Method, req.URL.Path, l.Bytes)
	}
	return resp.StatusCode, body, nil
}

// readError adds the request and the cause for which ctx has ended, if it has.
func readError(ctx context.Context, req *http.Request, received int, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return fmt.Errorf("%s %s: after %d bytes of the reply: %w", req.Method, req.URL.Path, received, err)
}

// reader reads in parts and calls onRead after each.
type reader struct {
	io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), partSize)])
	r.onRead()
	return n, err
}
