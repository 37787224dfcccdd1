package logstate

import (
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// Replayer builds a State from the records of the log, of which the first ones
// may have been truncated. Its state never goes back to an earlier offset. It
// does no I/O: the caller reads the log from Offset on and passes the records
// to Apply.
type Replayer struct {
	state *State // nil: none yet
	// awaitingCheckpoint is set after a truncation dropped records that have
	// not been applied; a checkpoint that covers them is needed.
	awaitingCheckpoint bool
	searchStart        uint64 // earliest kept offset at the last truncation
	offset             uint64 // to read from next
}

// Offset returns the offset to read from next.
func (r *Replayer) Offset() uint64 { return r.offset }

// State returns the newest state, or nil if there is none yet. Later calls of
// the Replayer do not modify it.
func (r *Replayer) State() *State { return r.state }

// AwaitingCheckpoint reports whether records are missing. The state, if any,
// does not advance until a checkpoint or a peer's state covers them.
func (r *Replayer) AwaitingCheckpoint() bool { return r.awaitingCheckpoint }

// Apply applies the records read from Offset on. The error joins those of the
// records that could not be applied. Such records are skipped, except for
// ErrOffset, which ends the batch.
func (r *Replayer) Apply(records []platformlog.Record) error {
	if !r.awaitingCheckpoint && r.state == nil {
		r.state = New()
	}
	if r.awaitingCheckpoint {
		return r.findCheckpoint(records)
	}
	return r.applyRecords(records)
}

func (r *Replayer) applyRecords(records []platformlog.Record) error {
	if len(records) == 0 {
		return nil
	}
	next := r.state.Clone()
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
	r.state = next
	r.offset = next.Next()
	return errors.Join(problems...)
}

// findCheckpoint installs the first usable checkpoint. The rest of the batch is
// read again, from the checkpoint's offset on.
func (r *Replayer) findCheckpoint(records []platformlog.Record) error {
	for _, rec := range records {
		if rec.Offset != r.offset {
			return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, rec.Offset, r.offset)
		}
		r.offset++
		if s := r.usableCheckpoint(rec); s != nil {
			r.install(s)
			return nil
		}
	}
	return nil
}

// usableCheckpoint returns the state of a checkpoint record if all records
// after that state are still kept, else nil.
func (r *Replayer) usableCheckpoint(rec platformlog.Record) *State {
	record, err := DecodeRecord(rec.Data)
	if err != nil || record.Type != TypeCheckpoint {
		return nil
	}
	s, err := Decode(record.Checkpoint.State)
	if err != nil || s.Next() != record.Checkpoint.Through+1 {
		return nil
	}
	if s.Next() < r.searchStart || s.Next() > rec.Offset {
		return nil
	}
	return s
}

// Truncated reports to the Replayer that the log's earliest kept offset is now
// earliest. If records from Offset on were dropped, it searches the kept ones
// for a checkpoint.
func (r *Replayer) Truncated(earliest uint64) {
	if earliest <= r.offset {
		return
	}
	r.awaitingCheckpoint = true
	r.searchStart = earliest
	r.offset = earliest
}

// Install replaces the state by a peer's if that is at a later offset, and
// reports whether it did.
func (r *Replayer) Install(s *State) bool {
	if r.state != nil && s.Next() <= r.state.Next() {
		return false
	}
	r.install(s)
	return true
}

func (r *Replayer) install(s *State) {
	r.state = s
	r.offset = s.Next()
	r.awaitingCheckpoint = false
}
