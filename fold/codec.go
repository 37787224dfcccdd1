package fold

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// encodingVersion changes when an older program could not fold the records of a
// newer one to the same state.
const encodingVersion = 1

// ErrEncoding says that data is not a fold of this version.
var ErrEncoding = errors.New("fold: not an encoded fold of this version")

type encodedFold struct {
	Version    int                                 `json:"version"`
	Next       uint64                              `json:"next"`
	Checkpoint uint64                              `json:"checkpoint"`
	Services   map[string][]structs.DocumentRecord `json:"services"`
	Entries    map[string]announcement             `json:"entries"`
	Outcomes   []Outcome                           `json:"outcomes"`
}

// Encode returns the fold as JSON. Equal folds have equal encodings.
func (f *State) Encode() []byte {
	data, err := json.Marshal(encodedFold{
		Version:    encodingVersion,
		Next:       f.next,
		Checkpoint: f.checkpoint,
		Services:   f.services,
		Entries:    f.entries,
		Outcomes:   f.outcomes,
	})
	if err != nil {
		panic(fmt.Sprintf("fold: encode: %v", err)) // no field can fail
	}
	return data
}

// Decode reads an encoded fold.
func Decode(data []byte) (*State, error) {
	var e encodedFold
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	if e.Version != encodingVersion {
		return nil, fmt.Errorf("%w: version %d", ErrEncoding, e.Version)
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	f := New()
	f.next = e.Next
	f.checkpoint = e.Checkpoint
	f.outcomes = e.Outcomes
	for name, revisions := range e.Services {
		f.services[name] = revisions
	}
	for name, a := range e.Entries {
		f.entries[name] = a
	}
	return f, nil
}

func (e *encodedFold) check() error {
	if e.Checkpoint > e.Next {
		return fmt.Errorf("%w: checkpoint after the end", ErrEncoding)
	}
	for name, revisions := range e.Services {
		if len(revisions) == 0 {
			return fmt.Errorf("%w: service %q has no revision", ErrEncoding, name)
		}
	}
	return nil
}

// CheckpointRecord returns a record that holds the fold. The fold must cover at
// least one record.
func (f *State) CheckpointRecord() Record {
	return Record{
		Type: TypeCheckpoint,
		Checkpoint: &Checkpoint{
			Through: f.next - 1,
			State:   f.Encode(),
		},
	}
}
