// Package keyedlog reads and writes compacted topics of the platform's store, which
// retain the newest record of each key.
package keyedlog

import (
	"context"
	"errors"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// Record is a record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the reply to a read.
type Batch struct {
	Records []Record
	Next    int64 // offset at which to continue with Read
	More    bool  // there were further records at the time of the reply
	// Snapshot is set by Follow if the records are the newest of each key, so that a key
	// without a record here has been deleted or never had one, unless records are Skipped.
	Snapshot bool
	// Skipped says which records could not be decoded and are left out.
	Skipped []error
}

// Store is a client of the platform's store. Its reads end with an error that wraps
// context.DeadlineExceeded when no data has arrived for the time idle. How long a whole
// reply may take depends on its size and on the link, and is not bounded by idle.
type Store interface {
	// Newest returns the newest record of each key. The records are not a snapshot:
	// some may have higher offsets than the next one.
	Newest(ctx context.Context, topic string, idle time.Duration) (Batch, error)
	// Read returns records from an offset on, at least one if there is any. If there
	// is none, it waits for one for at most wait. It returns ErrTruncated if records
	// from that offset on are no longer retained.
	Read(ctx context.Context, topic string, from int64, wait, idle time.Duration) (Batch, error)
	// Append appends one record.
	Append(ctx context.Context, topic string, r Record) error
}

// ErrTruncated is returned if the requested records are no longer retained.
var ErrTruncated = errors.New("requested records are no longer retained")

const (
	// readWait is how long the store may delay a reply without records. A
	// connection that no longer carries data is detected shortly after it.
	readWait time.Duration = time.Second
	// idleTimeout bounds the time without data of a read, in addition to its wait.
	idleTimeout = 500 * time.Millisecond
	// appendTimeout bounds an append, which takes long while the store is slow, in
	// addition to the time for its record at minAppendRate, in bytes per second.
	appendTimeout = 2 * time.Second
	minAppendRate = 32 << 10
	// retryBase and retryMax bound the delay after a failed call. The store may
	// reject the calls of a process for seconds, and the records written meanwhile
	// are needed as soon as it accepts calls again.
	retryBase = 50 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// sparingWait, sparingRetryBase and sparingRetryMax are the same for FollowSparingly.
	// A record is read within seconds even if a call was lost before it was written.
	sparingWait      = 2 * time.Second
	sparingRetryBase = 200 * time.Millisecond
	sparingRetryMax  = 2 * time.Second
	// maxTimeoutFactor bounds the growth of timeouts while the store is slow. A call
	// sent during an outage never gets a reply, and must not delay for long the read
	// of the records written after it.
	maxTimeoutFactor = 2
)

// Handler receives what Follow reads. Its methods are not called concurrently.
type Handler interface {
	// HandleBatch processes a reply, with the records in the order in which the store
	// returned them. A reply without records says that there is none yet.
	HandleBatch(b Batch)
	// StoreUnavailable reports that a call has failed with err, StoreAvailable that
	// a later one has succeeded. Further failures in between are not reported, and
	// neither is ErrTruncated.
	StoreUnavailable(err error)
	StoreAvailable()
}

// Follow passes a snapshot of a topic to h and then new records,
// until ctx is canceled. After ErrTruncated, or if it is behind by more records than one
// reply holds, it continues with the newest ones, so that it does not read what has been
// replaced. It waits for the given pause between a reply with records and the
// next read, so that records written at about the same time are read together.
func Follow(ctx context.Context, store Store, topic string, pause time.Duration, h Handler) {
	f := newFollower(store, topic, h)
	f.pause = pause
	f.run(ctx)
}

// FollowSparingly is like Follow for readers so many that their calls matter to the store:
// its calls wait longer and are repeated later. It passes the records from the given offset
// on, and begins with a snapshot only if they are no longer retained, or if from is zero.
func FollowSparingly(ctx context.Context, store Store, topic string, from int64, h Handler) {
	f := newFollower(store, topic, h)
	f.wait = sparingWait
	f.backoff = platformlog.Backoff{Base: sparingRetryBase, Max: sparingRetryMax}
	f.next, f.positioned = from, from > 0
	f.run(ctx)
}

func newFollower(store Store, topic string, h Handler) *follower {
	return &follower{
		store: store, topic: topic, handler: h, wait: readWait,
		backoff: platformlog.Backoff{Base: retryBase, Max: retryMax}, timeoutFactor: 1,
	}
}

type follower struct {
	store         Store
	topic         string
	pause         time.Duration
	wait          time.Duration // of a read while the store is available
	handler       Handler
	backoff       platformlog.Backoff
	next          int64
	positioned    bool          // next is valid
	unavailable   bool          // StoreUnavailable was called last
	timeoutFactor time.Duration // multiple of idleTimeout in use
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.readOnce(ctx)
	}
}

// readOnce makes one call to the store and processes the result.
func (f *follower) readOnce(ctx context.Context) {
	batch, err := f.call(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.readFailed(ctx, err)
		return
	}
	if f.unavailable {
		f.unavailable = false
		f.handler.StoreAvailable()
	}
	f.backoff.Reset()
	f.timeoutFactor = 1
	f.next, f.positioned = batch.Next, !batch.More
	f.handler.HandleBatch(batch)
	if len(batch.Records) > 0 && !batch.More {
		ctxsleep.For(ctx, f.pause)
	}
}

func (f *follower) call(ctx context.Context) (Batch, error) {
	idle := f.timeoutFactor * idleTimeout
	if !f.positioned {
		batch, err := f.store.Newest(ctx, f.topic, idle)
		batch.Snapshot = true
		return batch, err
	}
	wait := f.wait
	if f.unavailable {
		wait = 0 // only probes whether the store is available again
	}
	return f.store.Read(ctx, f.topic, f.next, wait, idle)
}

func (f *follower) readFailed(ctx context.Context, err error) {
	if errors.Is(err, ErrTruncated) {
		f.positioned = false
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		f.timeoutFactor = min(2*f.timeoutFactor, maxTimeoutFactor)
	}
	if !f.unavailable {
		f.unavailable = true
		f.handler.StoreUnavailable(err)
	}
	ctxsleep.For(ctx, f.backoff.Next())
}

// Put appends a record. It retries until the store has acknowledged the record or
// ctx is canceled, and may write the record more than once. It reports whether the
// record was acknowledged, and calls onError for each failed attempt.
func Put(ctx context.Context, store Store, topic string, r Record, onError func(error)) bool {
	backoff := platformlog.Backoff{Base: retryBase, Max: retryMax}
	timeout := appendTimeout + time.Duration(len(r.Value))*time.Second/minAppendRate
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := store.Append(callCtx, topic, r)
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		onError(err)
		ctxsleep.For(ctx, backoff.Next())
	}
}
