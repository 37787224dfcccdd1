package fold

import (
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// Replayer builds a fold from what is read of the log, which may begin after the
// first record. Its fold only moves forward. It does no I/O: its user reads the
// log from Offset on and hands in what comes.
type Replayer struct {
	fold *State // nil: none yet
	// searching says that the records up to the earliest kept one are missing;
	// a checkpoint is wanted.
	searching bool
	start     uint64 // where the search began
	offset    uint64
}

// Offset returns the offset to read from next.
func (r *Replayer) Offset() uint64 { return r.offset }

// State returns the newest fold, which later calls leave as it is, or nil.
func (r *Replayer) State() *State { return r.fold }

// AwaitingCheckpoint reports whether records are missing, so that the fold, if any,
// stands still until a checkpoint or a peer's fold closes the gap.
func (r *Replayer) AwaitingCheckpoint() bool { return r.searching }

// Apply takes in what was read from Offset on. The error joins what could not be
// used; the reader has gone on past it, but for ErrOffset.
func (r *Replayer) Apply(records []platformlog.Record) error {
	if !r.searching && r.fold == nil {
		r.fold = New()
	}
	if r.searching {
		return r.search(records)
	}
	return r.advance(records)
}

func (r *Replayer) advance(records []platformlog.Record) error {
	if len(records) == 0 {
		return nil
	}
	next := r.fold.Clone()
	var problems []error
	for _, rec := range records {
		err := next.Apply(rec.Offset, rec.Data)
		if errors.Is(err, ErrOffset) {
			problems = append(problems, err)
			break
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("offset %d: %w", rec.Offset, err))
		}
	}
	r.fold = next
	r.offset = next.Next()
	return errors.Join(problems...)
}

func (r *Replayer) search(records []platformlog.Record) error {
	for _, rec := range records {
		if rec.Offset != r.offset {
			return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, rec.Offset, r.offset)
		}
		r.offset++
		if f := r.usable(rec); f != nil {
			r.install(f)
			return nil
		}
	}
	return nil
}

// usable returns the fold of a checkpoint after which no record is missing.
func (r *Replayer) usable(rec platformlog.Record) *State {
	record, err := DecodeRecord(rec.Data)
	if err != nil || record.Type != TypeCheckpoint {
		return nil
	}
	f, err := Decode(record.Checkpoint.State)
	if err != nil || f.Next() != record.Checkpoint.Through+1 {
		return nil
	}
	if f.Next() < r.start || f.Next() > rec.Offset {
		return nil
	}
	return f
}

// Truncated says that Offset is no longer kept and that earliest is the first
// offset which is.
func (r *Replayer) Truncated(earliest uint64) {
	if earliest <= r.offset {
		return
	}
	r.searching = true
	r.start = earliest
	r.offset = earliest
}

// Install takes over a fold from a peer and reports whether it is ahead of the
// reader's own. A fold that is not is left unused.
func (r *Replayer) Install(f *State) bool {
	if r.fold != nil && f.Next() <= r.fold.Next() {
		return false
	}
	r.install(f)
	return true
}

func (r *Replayer) install(f *State) {
	r.fold = f
	r.offset = f.Next()
	r.searching = false
}
