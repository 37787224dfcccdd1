package keybind

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
	// appendInterval passes between appends, which carry all bindings asked
	// for meanwhile.
	appendInterval = 20 * time.Millisecond
	// idlePoll and busyPoll pass between reads that found nothing, without and
	// with bindings waiting to be read back.
	idlePoll = 500 * time.Millisecond
	busyPoll = 5 * time.Millisecond
	// markInterval passes without a record before one without bindings is
	// appended, for newcomers to start from.
	markInterval = 10 * time.Minute
	// maxClockLead is how far a key's time may be ahead of this clock.
	maxClockLead = time.Minute
	// retryHint is for callers refused because of the log.
	retryHint = 2 * time.Second

	maxBindings = 100_000
	maxBatch    = 256
	maxPending  = 4096
	readBatch   = 512
	logTimeout  = 2 * time.Second
)

// Binder binds keys to jobs through the log. Its methods are safe for
// concurrent use.
type Binder struct {
	log    platformlog.Log
	logger log.Logger
	wake   chan struct{}

	mu       sync.Mutex
	table    *Table
	pending  []Bind // not appended yet
	waiting  int    // calls of Bind under way
	changed  chan struct{}
	recorded time.Time // when the last record was read
}

// NewBinder returns a Binder over a stream that only Binders write to.
func NewBinder(l platformlog.Log, logger log.Logger) *Binder {
	return &Binder{
		log:      l,
		logger:   logger,
		wake:     make(chan struct{}, 1),
		table:    NewTable(maxBindings),
		changed:  make(chan struct{}),
		recorded: time.Now(),
	}
}

// Bind binds a key to job, unless it is bound already, and returns the job that
// the key is bound to. Without a definite binding the error is a
// *structs.Error; nothing has been started by this call, but the key may have
// been bound and run before, so its verdict is MayHaveRun unless the key is
// malformed.
func (b *Binder) Bind(ctx context.Context, k Key, job structs.JobID) (structs.JobID, *structs.Error) {
	if lead := time.Until(k.Time()); lead > maxClockLead {
		return structs.JobID{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "the time in the idempotency key is %s ahead", lead.Round(time.Second))
	}
	b.enter()
	defer b.leave()
	asked := false
	for {
		bound, state, changed := b.lookup(k)
		switch {
		case state == Bound:
			return bound, nil
		case state == TooOld:
			return structs.JobID{}, structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "the idempotency key is older than what is remembered")
		case state == Free && !asked:
			if !b.ask(Bind{Key: k, Job: job}) {
				return structs.JobID{}, unavailable("too many keys wait to be bound")
			}
			asked = true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return structs.JobID{}, unavailable("the platform's log has not confirmed the idempotency key in time")
		}
	}
}

func unavailable(why string) *structs.Error {
	return structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", why).WithRetryAfter(retryHint)
}

func (b *Binder) enter() {
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	b.poke()
}

func (b *Binder) leave() {
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
}

func (b *Binder) poke() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Binder) lookup(k Key) (structs.JobID, State, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, state := b.table.Lookup(k)
	return job, state, b.changed
}

// ask queues a binding for the next append.
func (b *Binder) ask(bind Bind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return false
	}
	b.pending = append(b.pending, bind)
	return true
}

// Len returns the number of bindings kept.
func (b *Binder) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Len()
}

// Run appends and reads until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.runAppends(ctx) })
	b.runReads(ctx)
	wg.Wait()
}

// runAppends appends what is pending, and marks.
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

// nextRecord takes pending bindings, or makes a mark if one is due.
func (b *Binder) nextRecord(now time.Time) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.table.Complete() {
		return Record{}, false
	}
	if len(b.pending) == 0 && now.Sub(b.recorded) < markInterval {
		return Record{}, false
	}
	n := min(len(b.pending), maxBatch)
	binds := b.pending[:n:n]
	b.pending = b.pending[n:]
	b.recorded = now
	return b.table.Record(binds), true
}

// append sends one record. Whether it took effect shows when it is read back;
// what was certainly not appended waits for another try by its caller.
func (b *Binder) append(ctx context.Context, r Record) {
	data, err := json.Marshal(r)
	if err != nil {
		level.Error(b.logger).Log("event", "key_record_not_encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := b.log.Append(ctx, data); err != nil {
		level.Warn(b.logger).Log("event", "keys_not_appended", "keys", len(r.Binds), "err", err)
	}
	b.poke()
}

// runReads reads the stream into the table.
func (b *Binder) runReads(ctx context.Context) {
	var backoff platformlog.Backoff
	for ctx.Err() == nil {
		more, err := b.read(ctx)
		switch {
		case err != nil:
			b.pause(ctx, backoff.Next())
		case !more:
			backoff.Reset()
			b.pause(ctx, b.pollInterval())
		}
	}
}

func (b *Binder) pollInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting > 0 {
		return busyPoll
	}
	return idlePoll
}

// read takes in the next records and reports whether there may be more.
func (b *Binder) read(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	b.mu.Lock()
	next := b.table.Next()
	b.mu.Unlock()
	records, err := b.log.Read(ctx, next, readBatch)
	if errors.Is(err, platformlog.ErrTruncated) {
		return true, b.truncated(ctx)
	}
	if err != nil {
		return false, err
	}
	if len(records) > 0 {
		b.apply(records)
	}
	return len(records) > 0, nil
}

func (b *Binder) truncated(ctx context.Context) error {
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
	b.recorded = time.Now()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Binder) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.wake:
	case <-ctx.Done():
	}
}
