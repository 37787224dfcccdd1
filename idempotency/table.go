package idempotency

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Record is one record of the stream: bindings, and how far its writer had read.
type Record struct {
	Bindings []Binding `json:"binds,omitempty"`
	// Through is the offset up to which, exclusive, the writer had read the
	// stream. Horizon is at least the time, in milliseconds, of every key
	// bound before Through.
	Through uint64 `json:"through"`
	Horizon int64  `json:"horizon"`
}

// Binding binds a key to a job, unless an earlier record has bound the key.
type Binding struct {
	Key Key           `json:"key"`
	Job structs.JobID `json:"job"`
}

// State is the state of a key in a Table.
type State uint8

// States of a key.
const (
	// Unknown means that the table is incomplete, so that the key may be bound
	// by a record that was truncated before it was read.
	Unknown State = iota
	// Free means that no record before Next binds the key.
	Free
	// Bound means that the key is bound.
	Bound
	// TooOld means that the key may have been bound by a binding that the table
	// no longer has.
	TooOld
)

// Table holds the bindings that one reader has replayed. It is not safe for
// concurrent use.
type Table struct {
	limit int
	next  uint64
	bound map[Key]structs.JobID
	order []Key // keys of bound, first bound first

	// start is the offset of the first record read after the last truncation.
	start uint64
	// complete means that horizon covers every key bound before start.
	complete bool
	horizon  int64 // in milliseconds; see the package comment
	// newest is, while the table is complete, at least the time of every key
	// bound before next, in milliseconds.
	newest int64
}

// NewTable returns a table that keeps at most limit bindings and starts at the
// first record of the stream.
func NewTable(limit int) *Table {
	return &Table{limit: limit, complete: true, bound: make(map[Key]structs.JobID)}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.next }

// Complete reports whether the table can tell bound keys from free ones.
func (t *Table) Complete() bool { return t.complete }

// Len returns the number of bindings kept.
func (t *Table) Len() int { return len(t.bound) }

// ErrOffset is returned for a record whose offset is not the next one to apply.
var ErrOffset = errors.New("idempotency: record out of order")

// Truncated reports to the table that the stream's earliest kept offset is now
// earliest. If records from Next on were dropped, the table is incomplete until
// it applies a record whose Horizon covers the keys that they bound.
func (t *Table) Truncated(earliest uint64) {
	if earliest <= t.next {
		return
	}
	t.start = earliest
	t.next = earliest
	t.complete = false
}

// Apply applies the record at offset, which must be Next; otherwise it returns
// ErrOffset and leaves the table unchanged. Data that is not a record only
// advances Next.
func (t *Table) Apply(offset uint64, data []byte) error {
	if offset != t.next {
		return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, offset, t.next)
	}
	t.next++
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("idempotency: offset %d: %w", offset, err)
	}
	if !t.complete && r.Through >= t.start {
		t.complete = true
		t.horizon = max(t.horizon, r.Horizon)
		t.newest = max(t.newest, r.Horizon)
	}
	for _, b := range r.Bindings {
		t.bind(b)
	}
	return nil
}

// bind keeps the first binding of a key. While the table is incomplete, the
// binding may not be the key's first, so it is not kept and the horizon is
// raised to the key's time.
func (t *Table) bind(b Binding) {
	ms := b.Key.Millis()
	t.newest = max(t.newest, ms)
	if _, known := t.bound[b.Key]; known {
		return
	}
	if !t.complete {
		t.horizon = max(t.horizon, ms)
		return
	}
	if ms <= t.horizon {
		return
	}
	t.bound[b.Key] = b.Job
	t.order = append(t.order, b.Key)
	if len(t.order) > t.limit {
		t.evictOldest()
	}
}

// evictOldest drops the oldest binding and raises the horizon to its key's time.
func (t *Table) evictOldest() {
	k := t.order[0]
	t.order = t.order[1:]
	delete(t.bound, k)
	t.horizon = max(t.horizon, k.Millis())
}

// Lookup returns the state of a key and, if it is Bound, its job.
func (t *Table) Lookup(k Key) (structs.JobID, State) {
	job, known := t.bound[k]
	switch {
	case known:
		return job, Bound
	case !t.complete:
		return structs.JobID{}, Unknown
	case k.Millis() <= t.horizon:
		return structs.JobID{}, TooOld
	}
	return structs.JobID{}, Free
}

// Record returns a record with the bindings and the table's present Through and
// Horizon. The table must be complete.
func (t *Table) Record(bindings []Binding) Record {
	return Record{Bindings: bindings, Through: t.next, Horizon: max(t.newest, t.horizon)}
}
