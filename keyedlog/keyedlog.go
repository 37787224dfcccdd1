// Package keyedlog follows a topic of the platform's store that keeps the
// newest record of each key.
package keyedlog

import (
	"context"
	"errors"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/pause"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// Record is a record of a topic. One without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key and the offset from which
	// on to read. The records are no snapshot: some may be of later offsets.
	Newest(ctx context.Context, topic string) (records []Record, next int64, err error)
	// Read returns the records from an offset on, and the next offset. It waits
	// up to wait for one. ErrTruncated says that records were dropped.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Append writes one record.
	Append(ctx context.Context, topic string, r Record) error
}

// ErrTruncated says that the records asked for are no longer kept.
var ErrTruncated = errors.New("records were dropped")

const (
	// readWait is how long the store may hold back an answer without records:
	// a connection that went silent is noticed soon after it.
	readWait time.Duration = time.Second
	// callTimeout bounds a call beside its wait.
	callTimeout = 500 * time.Millisecond
	// appendTimeout bounds an append, which a slow store may take long for.
	appendTimeout = 2 * time.Second
	// retryBase and retryMax bound the pause after a failed call. The store
	// turns a process away for seconds; what it missed is needed at once after.
	retryBase = 50 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// slowFactor bounds how far timeouts grow while the store is slow. A call
	// that went out while it was silent is not answered any more, and must not
	// hold up what was written since.
	slowFactor = 2
)

// Handler takes in what a Follower reads. Its methods are called one at a time.
type Handler interface {
	// HandleRecords takes in records.
	HandleRecords(records []Record)
	// StoreUnavailable says that the store does not answer, Regained that it does again.
	StoreUnavailable(err error)
	StoreAvailable()
}

// Follow hands all newest records of a topic to h and then each new one, until
// ctx ends.
func Follow(ctx context.Context, store Store, topic string, h Handler) {
	f := follower{store: store, topic: topic, handler: h, backoff: platformlog.Backoff{Base: retryBase, Max: retryMax}, patience: 1}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower struct {
	store    Store
	topic    string
	handler  Handler
	backoff  platformlog.Backoff
	next     int64
	known    bool // next is valid
	lost     bool
	patience time.Duration // factor of timeouts
}

// step makes one call and takes in its answer.
func (f *follower) step(ctx context.Context) {
	records, next, err := f.call(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.failed(ctx, err)
		return
	}
	if f.lost {
		f.lost = false
		f.handler.StoreAvailable()
	}
	f.backoff.Reset()
	f.patience = 1
	f.next, f.known = next, true
	if len(records) > 0 {
		f.handler.HandleRecords(records)
	}
}

func (f *follower) call(ctx context.Context) ([]Record, int64, error) {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, f.patience*callTimeout)
		defer cancel()
		return f.store.Newest(ctx, f.topic)
	}
	wait := readWait
	if f.lost {
		wait = 0 // asks whether the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.patience*callTimeout)
	defer cancel()
	return f.store.Read(ctx, f.topic, f.next, wait)
}

func (f *follower) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrTruncated) {
		f.known = false
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		f.patience = min(2*f.patience, slowFactor)
	}
	if !f.lost {
		f.lost = true
		f.handler.StoreUnavailable(err)
	}
	pause.For(ctx, f.backoff.Next())
}

// Put appends a record until the store has acknowledged it or ctx ends. A
// record may be written more than once. It reports whether it succeeded;
// failed is called for each failure.
func Put(ctx context.Context, store Store, topic string, r Record, failed func(error)) bool {
	backoff := platformlog.Backoff{Base: retryBase, Max: retryMax}
	for {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		err := store.Append(call, topic, r)
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		failed(err)
		pause.For(ctx, backoff.Next())
	}
}
