package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds and intervals of a Binder.
const (
	// appendInterval is the time between appends. Bindings requested in between
	// are batched into one record.
	appendInterval = 20 * time.Millisecond
	// idlePollInterval and busyPollInterval are the times between a read that
	// returned no records and the next one, without and with calls of Bind in
	// flight.
	idlePollInterval = 500 * time.Millisecond
	busyPollInterval = 5 * time.Millisecond
	// markerInterval is the time without any record after which a marker, a
	// record without bindings, is appended. Its Through and Horizon let readers
	// that start after a truncation become complete.
	markerInterval = 10 * time.Minute
	// maxClockLead is how far a key's time may be ahead of the local clock.
	maxClockLead = time.Minute
	// retryHint is the RetryAfter of errors that may be temporary.
	retryHint = 2 * time.Second

	maxBindings    = 100_000 // kept in the table
	maxBatch       = 256     // bindings per record
	maxPending     = 4096    // bindings queued for an append
	maxReadRecords = 512
)

// Binder binds keys to jobs through the log. Its methods are safe for
// concurrent use.
type Binder struct {
	log           platformlog.Log
	logger        log.Logger
	readRequested chan struct{} // ends the wait before the next read

	mu           sync.Mutex
	table        *Table
	pending      []Binding     // queued for an append
	inFlight     int           // calls of Bind in flight
	changed      chan struct{} // closed and replaced when records are applied
	lastRecordAt time.Time     // when a record was last read, or taken for an append
}

// NewBinder returns a Binder for a stream that only Binders append to. The log bounds
// its calls by itself, as platformlog.Client does.
func NewBinder(l platformlog.Log, logger log.Logger) *Binder {
	return &Binder{
		log:           l,
		logger:        logger,
		readRequested: make(chan struct{}, 1),
		table:         NewTable(maxBindings),
		changed:       make(chan struct{}),
		lastRecordAt:  time.Now(),
	}
}

// Bind binds a key to job, unless it is bound already, and returns the job that
// the key is bound to. If that cannot be determined, it returns a
// *structs.Error. This call has then started nothing, but an earlier one may
// have bound the key and its job may have run, so the verdict is MayHaveRun. That
// holds also for a key whose time is more than maxClockLead ahead: an entry whose
// clock runs ahead accepts it.
func (b *Binder) Bind(ctx context.Context, k Key, job structs.JobID) (structs.JobID, *structs.Error) {
	if lead := time.Until(k.Time()); lead > maxClockLead {
		return structs.JobID{}, structs.Errorf(structs.CodeInvalid, structs.MayHaveRun, "the time in the idempotency key is %s ahead of this entry's clock", lead.Round(time.Second))
	}
	b.beginCall()
	defer b.endCall()
	queued := false
	for {
		bound, state, changed := b.lookup(k)
		switch {
		case state == Bound:
			return bound, nil
		case state == TooOld:
			return structs.JobID{}, structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "the idempotency key is too old: its binding may have been dropped")
		case state == Free && !queued:
			if !b.enqueue(Binding{Key: k, Job: job}) {
				return structs.JobID{}, unavailable("too many idempotency keys are waiting to be bound")
			}
			queued = true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return structs.JobID{}, unavailable("the binding of the idempotency key was not read back from the platform's log in time")
		}
	}
}

func unavailable(reason string) *structs.Error {
	return structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", reason).WithRetryAfter(retryHint)
}

func (b *Binder) beginCall() {
	b.mu.Lock()
	b.inFlight++
	b.mu.Unlock()
	b.requestRead()
}

func (b *Binder) endCall() {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}

// requestRead makes the next read happen at once.
func (b *Binder) requestRead() {
	select {
	case b.readRequested <- struct{}{}:
	default:
	}
}

func (b *Binder) lookup(k Key) (structs.JobID, State, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, state := b.table.Lookup(k)
	return job, state, b.changed
}

// enqueue queues a binding for the next append, and reports false if the queue
// is full.
func (b *Binder) enqueue(binding Binding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return false
	}
	b.pending = append(b.pending, binding)
	return true
}

// Len returns the number of bindings kept.
func (b *Binder) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Len()
}

// Run appends bindings and reads the stream until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.runAppends(ctx) })
	b.runReads(ctx)
	wg.Wait()
}

// runAppends appends pending bindings, and markers when no record was seen for
// markerInterval.
func (b *Binder) runAppends(ctx context.Context) {
	ticker := time.NewTicker(appendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if record, ok := b.nextRecord(time.Now()); ok {
			b.append(ctx, record)
		}
	}
}

// nextRecord returns the next record to append, if any: one with pending
// bindings, which it removes from the queue, or a marker if one is due.
func (b *Binder) nextRecord(now time.Time) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.table.Complete() {
		return Record{}, false
	}
	if len(b.pending) == 0 && now.Sub(b.lastRecordAt) < markerInterval {
		return Record{}, false
	}
	n := min(len(b.pending), maxBatch)
	bindings := b.pending[:n:n]
	b.pending = b.pending[n:]
	b.lastRecordAt = now
	return b.table.Record(bindings), true
}

// append appends one record. Whether that took effect shows only when the record
// is read back. A failed append is not repeated: the calls of Bind that wait for
// it return an error when their contexts end, and their callers may try again.
func (b *Binder) append(ctx context.Context, r Record) {
	data, err := json.Marshal(r)
	if err != nil {
		level.Error(b.logger).Log("event", "key_record_not_encoded", "err", err)
		return
	}
	if _, err := b.log.Append(ctx, data); err != nil {
		level.Warn(b.logger).Log("event", "keys_not_appended", "keys", len(r.Bindings), "err", err)
	}
	b.requestRead()
}

// runReads reads the stream and applies its records to the table until ctx ends.
func (b *Binder) runReads(ctx context.Context) {
	var backoff platformlog.Backoff
	for ctx.Err() == nil {
		more, err := b.read(ctx)
		switch {
		case err != nil:
			b.wait(ctx, backoff.Next())
		case !more:
			backoff.Reset()
			b.wait(ctx, b.pollInterval())
		}
	}
}

func (b *Binder) pollInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight > 0 {
		return busyPollInterval
	}
	return idlePollInterval
}

// read reads and applies the next records, and reports whether there may be
// more.
func (b *Binder) read(ctx context.Context) (more bool, err error) {
	b.mu.Lock()
	next := b.table.Next()
	b.mu.Unlock()
	records, err := b.log.Read(ctx, next, maxReadRecords)
	if errors.Is(err, platformlog.ErrTruncated) {
		return true, b.handleTruncation(ctx)
	}
	if err != nil {
		return false, err
	}
	if len(records) > 0 {
		b.apply(records)
	}
	return len(records) > 0, nil
}

// handleTruncation queries the stream's earliest kept offset and continues there.
func (b *Binder) handleTruncation(ctx context.Context) error {
	earliest, _, err := b.log.Bounds(ctx)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Truncated(earliest)
	return nil
}

func (b *Binder) apply(records []platformlog.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		if err := b.table.Apply(r.Offset, r.Data); err != nil {
			level.Error(b.logger).Log("event", "key_record_ignored", "err", err)
		}
	}
	b.lastRecordAt = time.Now()
	close(b.changed)
	b.changed = make(chan struct{})
}

// wait returns after d, on a call of requestRead, or when ctx ends.
func (b *Binder) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.readRequested:
	case <-ctx.Done():
	}
}
