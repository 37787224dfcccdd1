// Package logstate replays the system's stream on the platform's log into a
// materialized state: the service documents and the announced entries. The
// state is a pure function of the records in order, so that all readers agree
// on it at every offset, regardless of their clocks and connections.
//
// An edit's outcome depends on its base revision and on fixed bounds, never on
// the validation of its text, which may differ between versions of the program.
// Each reader validates an accepted text for itself (see package logfollower).
package logstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds of a State's size. Together they keep a checkpoint within one record
// of the log. Sizes of texts are measured by EncodedSize.
const (
	MaxServices     = 64
	MaxEntries      = 64       // names of entries, including departed ones
	MaxTextBytes    = 24 << 10 // of one document
	MaxHistoryBytes = 24 << 10 // total texts of a service's earlier revisions
	MaxHistory      = 16       // earlier revisions of a service
	MaxOutcomes     = 256      // edits whose outcome is kept
	MaxNameBytes    = 128      // of an edit's id, a name or an address
)

// EncodedSize returns the size in bytes of a text in an encoded State.
func EncodedSize(text string) int {
	data, err := json.Marshal(text)
	if err != nil {
		panic(err) // encoding a string cannot fail
	}
	return len(data)
}

// ErrOffset is returned for a record whose offset is not the next one to apply.
var ErrOffset = errors.New("logstate: record out of order")

// State is the materialized state at one offset of the log. It is not safe for
// concurrent use.
type State struct {
	next       uint64
	checkpoint uint64 // first offset that no checkpoint covers
	services   map[string][]structs.DocumentRecord
	entries    map[string]entryState
	outcomes   []Outcome // oldest first
}

// New returns the state before the first record.
func New() *State {
	return &State{
		services: make(map[string][]structs.DocumentRecord),
		entries:  make(map[string]entryState),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// SinceCheckpoint returns the number of applied records that no checkpoint
// covers.
func (s *State) SinceCheckpoint() uint64 { return s.next - s.checkpoint }

// Clone returns an independent copy.
func (s *State) Clone() *State {
	c := *s
	c.services = maps.Clone(s.services)
	c.entries = maps.Clone(s.entries)
	c.outcomes = slices.Clone(s.outcomes)
	return &c
}

// Apply applies the record at offset, which must be Next; otherwise it returns
// ErrOffset and leaves the state unchanged. Data that is not a record of a
// known type only advances Next; the error is then ErrMalformed or
// ErrUnknownType, which callers need only log.
func (s *State) Apply(offset uint64, data []byte) error {
	if offset != s.next {
		return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, offset, s.next)
	}
	s.next++
	r, err := DecodeRecord(data)
	if err != nil {
		return err
	}
	switch r.Type {
	case TypeEdit:
		s.applyEdit(offset, r.Edit)
	case TypeCheckpoint:
		s.applyCheckpoint(offset, r.Checkpoint)
	case TypeEntryAnnouncement:
		s.applyAnnouncement(offset, r.EntryAnnouncement)
	case TypeEntryDeparture:
		s.applyDeparture(r.EntryDeparture)
	}
	return nil
}

// applyCheckpoint records how far the checkpoints on the log reach. An outdated
// checkpoint, appended late by a process that was paused, reaches less far than
// an earlier record and has no effect.
func (s *State) applyCheckpoint(offset uint64, c *Checkpoint) {
	if c.Through < offset {
		s.checkpoint = max(s.checkpoint, c.Through+1)
	}
}
