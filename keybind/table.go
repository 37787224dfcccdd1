package keybind

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Record is one append to the stream: bindings, and what its writer knew.
type Record struct {
	Binds []Bind `json:"binds,omitempty"`
	// Through is the offset up to which, exclusive, the writer knew the
	// stream, and Horizon the newest time of a key bound there, in
	// milliseconds.
	Through uint64 `json:"through"`
	Horizon int64  `json:"horizon"`
}

// Bind binds a key to a job, unless an earlier record has bound it.
type Bind struct {
	Key Key           `json:"key"`
	Job structs.JobID `json:"job"`
}

// State is what a Table knows of a key.
type State uint8

// States of a key.
const (
	// Unknown says that the reader does not know enough of the stream.
	Unknown State = iota
	// Free says that nothing binds the key up to Next.
	Free
	// Bound says that the key is bound.
	Bound
	// TooOld says that a binding of the key may have been forgotten.
	TooOld
)

// Table holds the bindings known to one reader. It is not safe for concurrent
// use.
type Table struct {
	limit int
	next  uint64
	bound map[Key]structs.JobID
	order []Key // keys of bound, first bound first

	// start is the offset that the reader's knowledge begins at.
	start uint64
	// complete says that horizon covers every key bound before start.
	complete bool
	horizon  int64
	newest   int64
}

// NewTable returns a table that keeps at most limit bindings and reads the
// stream from its first record on.
func NewTable(limit int) *Table {
	return &Table{limit: limit, complete: true, bound: make(map[Key]structs.JobID)}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.next }

// Complete reports whether the table can tell bound keys from free ones.
func (t *Table) Complete() bool { return t.complete }

// Len returns the number of bindings kept.
func (t *Table) Len() int { return len(t.bound) }

// ErrOffset says that a record does not follow the ones already applied.
var ErrOffset = errors.New("keybind: record out of order")

// Truncated says that the records from Next up to earliest are no longer kept.
// The table is incomplete until a record tells what they bound at the newest.
func (t *Table) Truncated(earliest uint64) {
	if earliest <= t.next {
		return
	}
	t.start = earliest
	t.next = earliest
	t.complete = false
}

// Apply takes in the record at offset, which must be Next. Data that is no
// record changes nothing but Next.
func (t *Table) Apply(offset uint64, data []byte) error {
	if offset != t.next {
		return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, offset, t.next)
	}
	t.next++
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("keybind: offset %d: %w", offset, err)
	}
	if !t.complete && r.Through >= t.start {
		t.complete = true
		t.horizon = max(t.horizon, r.Horizon)
		t.newest = max(t.newest, r.Horizon)
	}
	for _, b := range r.Binds {
		t.bind(b)
	}
	return nil
}

// bind keeps the first binding of a key. While the table is incomplete, a
// binding may be the second, so its key counts as unknown past.
func (t *Table) bind(b Bind) {
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
		t.forget()
	}
}

// forget drops the oldest binding and raises the horizon to its key.
func (t *Table) forget() {
	k := t.order[0]
	t.order = t.order[1:]
	delete(t.bound, k)
	t.horizon = max(t.horizon, k.Millis())
}

// Lookup returns what is known of a key and, if it is Bound, its job.
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

// Record returns the record that appends the bindings with what the table
// knows. The table must be complete.
func (t *Table) Record(binds []Bind) Record {
	return Record{Binds: binds, Through: t.next, Horizon: max(t.newest, t.horizon)}
}
