package boundhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// lateReplyTimeout is how long the reply to a call that was given up is awaited, so that its
// connection can carry further calls.
const lateReplyTimeout = 250 * time.Millisecond

var (
	errGivenUp   = errors.New("the call has been given up")
	errConnected = errors.New("the call has another connection")
)

// NotSentError means that nothing of a call was or will be sent.
type NotSentError struct{ Err error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "no connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// States of a call.
const (
	awaitsConn int32 = iota
	hasConn
	givenUp
)

// Do makes a call and returns the status and body of its reply, of at most maxReply bytes. When
// ctx ends, the call is given up: nothing of it is sent from then on, and a connection that it has
// is kept for the next call if the reply is only late.
func Do(ctx context.Context, client *http.Client, req *http.Request, maxReply int64) (code int, body []byte, err error) {
	var state atomic.Int32
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	needed, release := context.WithCancelCause(detached)
	traced := httptrace.WithClientTrace(context.WithValue(detached, neededKey{}, needed), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			release(errConnected)
			if !state.CompareAndSwap(awaitsConn, hasConn) && state.Load() == givenUp {
				// The transport writes the call next, whether or not its context has ended.
				cancel(errors.Join(errGivenUp, info.Conn.Close()))
			}
		},
	})
	type reply struct {
		code int
		body []byte
		err  error
	}
	replied := make(chan reply, 1)
	go func() {
		defer cancel(nil)
		code, body, err := readReply(client, req.WithContext(traced), maxReply)
		replied <- reply{code, body, err}
	}()
	select {
	case r := <-replied:
		return r.code, r.body, r.err
	case <-ctx.Done():
	}
	if state.Swap(givenUp) == awaitsConn {
		cancel(errGivenUp)
		return 0, nil, &NotSentError{Err: context.Cause(ctx)}
	}
	time.AfterFunc(lateReplyTimeout, func() { cancel(errGivenUp) })
	return 0, nil, fmt.Errorf("no reply: %w", context.Cause(ctx))
}

// readReply makes a call and reads its reply to the end.
func readReply(client *http.Client, req *http.Request, maxReply int64) (code int, body []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxReply))
	return resp.StatusCode, body, err
}
