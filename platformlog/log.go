// Package platformlog is the client side of the platform's append-only log:
// the interface the system uses, and an HTTP client for it. The log is never on
// the path of a task.
package platformlog

import (
	"context"
	"errors"
)

// MaxRecordBytes bounds the data of one record.
const MaxRecordBytes = 4 << 20

// Record is one entry of the log.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"` // base64 in JSON
}

// Errors of a Log. Any other error says nothing about whether an append took
// effect.
var (
	// ErrTruncated says that the requested offset is no longer kept.
	ErrTruncated = errors.New("platformlog: offset is no longer kept")
	// ErrOutOfRange says that the requested offset lies beyond the next one.
	ErrOutOfRange = errors.New("platformlog: offset lies beyond the end")
	// ErrNotAppended says that an append certainly took no effect.
	ErrNotAppended = errors.New("platformlog: not appended")
)

// Log is the platform's append-only log. Offsets are consecutive.
// Implementations are safe for concurrent use.
type Log interface {
	// Append adds data and returns its offset. If the error is not
	// ErrNotAppended, the data may have been appended all the same.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to max records from offset on, in order; none if offset
	// is the next one. It returns ErrTruncated if offset is no longer kept and
	// ErrOutOfRange if it lies beyond the next one.
	Read(ctx context.Context, offset uint64, max int) ([]Record, error)
	// Bounds returns the earliest kept offset and the next one to be given.
	Bounds(ctx context.Context) (earliest, next uint64, err error)
}
