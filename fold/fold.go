// Package fold computes the state that the system's stream on the platform's
// log stands for: the service documents and the announced entries. The state is
// a pure function of the records in order, so that all readers agree on it at
// every offset, whatever their clocks and connections do.
//
// An edit's outcome depends on its base revision only, never on the checks of
// its text, which may differ between versions of the program; each reader
// checks an accepted text for itself (see package follow).
package fold

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds of a fold's size. Together they keep a checkpoint within one record of
// the log. Sizes of texts are those of EncodedSize.
const (
	MaxServices     = 64
	MaxEntries      = 64       // names of entries, gone ones included
	MaxTextBytes    = 24 << 10 // of one document
	MaxHistoryBytes = 24 << 10 // texts of a service's former revisions
	MaxHistory      = 16       // former revisions of a service
	MaxOutcomes     = 256      // remembered edit ids
	MaxNameBytes    = 128      // of an edit's id, a name or an address
)

// EncodedSize returns the size of a text in an encoded fold.
func EncodedSize(text string) int {
	data, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string always encodes
	}
	return len(data)
}

// ErrOffset says that a record does not follow the ones already folded.
var ErrOffset = errors.New("fold: record out of order")

// State is the state at one offset of the log. It is not safe for concurrent
// use; a Clone is independent of its origin.
type State struct {
	next       uint64
	checkpoint uint64 // first offset that no checkpoint covers
	services   map[string][]structs.DocumentRecord
	entries    map[string]announcement
	outcomes   []Outcome // oldest first
}

// New returns the state before the first record.
func New() *State {
	return &State{
		services: make(map[string][]structs.DocumentRecord),
		entries:  make(map[string]announcement),
	}
}

// Next returns the offset of the first record that is not folded in.
func (f *State) Next() uint64 { return f.next }

// SinceCheckpoint returns the number of records that no checkpoint covers.
func (f *State) SinceCheckpoint() uint64 { return f.next - f.checkpoint }

// Clone returns an independent copy.
func (f *State) Clone() *State {
	c := *f
	c.services = maps.Clone(f.services)
	c.entries = maps.Clone(f.entries)
	c.outcomes = slices.Clone(f.outcomes)
	return &c
}

// Apply folds in the record at offset, which must be Next. Data that is no
// known record changes nothing but Next; the error then is ErrMalformed or
// ErrUnknownType and is for the log only. ErrOffset leaves the fold as it was.
func (f *State) Apply(offset uint64, data []byte) error {
	if offset != f.next {
		return fmt.Errorf("%w: got offset %d, want %d", ErrOffset, offset, f.next)
	}
	f.next++
	r, err := DecodeRecord(data)
	if err != nil {
		return err
	}
	switch r.Type {
	case TypeEdit:
		f.applyEdit(offset, r.Edit)
	case TypeCheckpoint:
		f.applyCheckpoint(offset, r.Checkpoint)
	case TypeEntryAnnouncement:
		f.applyEntry(offset, r.EntryAnnouncement)
	case TypeEntryDeparture:
		f.applyEntryGone(r.EntryDeparture)
	}
	return nil
}

// applyCheckpoint notes how far checkpoints reach. A late one by a paused
// process reaches less far than others and changes nothing.
func (f *State) applyCheckpoint(offset uint64, c *Checkpoint) {
	if c.Through < offset {
		f.checkpoint = max(f.checkpoint, c.Through+1)
	}
}
