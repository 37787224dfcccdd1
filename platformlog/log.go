// Package platformlog is the client side of the platform's append-only log: the
// interface that the system uses, and an HTTP client that implements it. The
// placement of tasks does not depend on the log. Only the submission of a job
// with an idempotency key waits for it (see package idempotency).
package platformlog

import (
	"context"
	"errors"
)

// MaxRecordBytes bounds the data of one record.
const MaxRecordBytes = 4 << 20

// Record is one record of the log.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"` // base64 in JSON
}

// Errors of a Log. After any other error from Append, the append is in doubt.
var (
	// ErrTruncated means that the record at the requested offset is no longer
	// kept.
	ErrTruncated = errors.New("platformlog: offset is no longer kept")
	// ErrOutOfRange means that the requested offset is beyond the next one to
	// be assigned.
	ErrOutOfRange = errors.New("platformlog: offset is beyond the end of the log")
	// ErrNotAppended means that an append certainly had no effect.
	ErrNotAppended = errors.New("platformlog: not appended")
)

// Log is the platform's append-only log. Offsets are consecutive.
// Implementations are safe for concurrent use.
type Log interface {
	// Append appends data and returns its offset. After an error other than
	// ErrNotAppended, the data may have been appended nevertheless.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to max records from offset on, in order; none if offset
	// is the next one to be assigned. It returns ErrTruncated if offset is no
	// longer kept and ErrOutOfRange if it is beyond the next one.
	Read(ctx context.Context, offset uint64, max int) ([]Record, error)
	// Bounds returns the earliest kept offset and the next one to be assigned.
	Bounds(ctx context.Context) (earliest, next uint64, err error)
}
