package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/idleread"
)

// Defaults and bounds of a Client.
const (
	DefaultTimeout     = 2 * time.Second
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 4
	maxReplyBytes      = 64 << 20
	// totalTimeout bounds a request whose reply makes progress.
	totalTimeout = time.Minute
	// minSendRate is the rate, in bytes per second, at which a record must be sent.
	minSendRate = 32 << 10
)

// Client is a Log over HTTP. A request that times out or is canceled closes its
// connection and all idle ones, which may be broken too, so that the next
// request uses a new one. Client does not retry requests: only its caller knows
// whether that is safe.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client for the log at baseURL. Timeout bounds how long a
// request waits for its reply, in addition to the time to send its record, and for each
// further part of the reply; zero selects DefaultTimeout.
func NewClient(baseURL string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platformlog: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("platformlog: %q is not an http or https URL with a host", baseURL)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
	}
	return &Client{
		base:    u.JoinPath("/").String(),
		timeout: orDefault(timeout, DefaultTimeout),
		http:    &http.Client{Transport: transport},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: record of %d bytes exceeds the limit of %d bytes", ErrNotAppended, len(data), MaxRecordBytes)
	}
	var reply AppendReply
	err := c.do(ctx, http.MethodPost, RecordsPath, data, &reply)
	var status *statusError
	switch {
	case errors.As(err, &status) && status.refused():
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	case isDialError(err):
		return 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	case err != nil:
		return 0, fmt.Errorf("platformlog: append: %w", err)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, offset uint64, max int) ([]Record, error) {
	query := url.Values{
		"offset": {strconv.FormatUint(offset, 10)},
		"max":    {strconv.Itoa(max)},
	}
	var reply ReadReply
	err := c.do(ctx, http.MethodGet, RecordsPath+"?"+query.Encode(), nil, &reply)
	var status *statusError
	if errors.As(err, &status) {
		switch status.code {
		case http.StatusGone:
			return nil, ErrTruncated
		case http.StatusRequestedRangeNotSatisfiable:
			return nil, ErrOutOfRange
		}
	}
	if err != nil {
		return nil, fmt.Errorf("platformlog: read: %w", err)
	}
	return reply.Records, nil
}

// Bounds implements Log.
func (c *Client) Bounds(ctx context.Context) (earliest, next uint64, err error) {
	var reply BoundsReply
	if err := c.do(ctx, http.MethodGet, BoundsPath, nil, &reply); err != nil {
		return 0, 0, fmt.Errorf("platformlog: bounds: %w", err)
	}
	return reply.Earliest, reply.Next, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) error {
	err := c.roundTrip(ctx, method, path, body, reply)
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path[1:], bytes.NewReader(body))
	if err != nil {
		return err
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	first := c.timeout + time.Duration(len(body))*time.Second/minSendRate
	limits := idleread.Limits{First: first, Idle: c.timeout, Total: totalTimeout, Bytes: maxReplyBytes}
	status, text, err := idleread.Do(c.http, req, limits)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &statusError{code: status}
	}
	return json.Unmarshal(text, reply)
}

// isDialError reports whether err occurred while connecting, so that no request
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError reports an HTTP response with a status other than 200.
type statusError struct{ code int }

// Error implements the error interface.
func (e *statusError) Error() string {
	return fmt.Sprintf("HTTP status %d %s", e.code, http.StatusText(e.code))
}

// refused reports whether the status guarantees that the request had no effect.
func (e *statusError) refused() bool {
	switch e.code {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	}
	return false
}
