package logstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// encodingVersion must be raised when an older program would no longer derive
// the same state as a newer one from the same records.
const encodingVersion = 1

// ErrEncoding is returned for data that is not an encoded State of
// encodingVersion.
var ErrEncoding = errors.New("logstate: not a valid state encoding of this version")

type encodedState struct {
	Version    int                                 `json:"version"`
	Next       uint64                              `json:"next"`
	Checkpoint uint64                              `json:"checkpoint"`
	Services   map[string][]structs.DocumentRecord `json:"services"`
	Entries    map[string]entryState               `json:"entries"`
	Outcomes   []Outcome                           `json:"outcomes"`
}

// Encode returns the state as JSON. Equal states have equal encodings.
func (s *State) Encode() []byte {
	data, err := json.Marshal(encodedState{
		Version:    encodingVersion,
		Next:       s.next,
		Checkpoint: s.checkpoint,
		Services:   s.services,
		Entries:    s.entries,
		Outcomes:   s.outcomes,
	})
	if err != nil {
		panic(fmt.Sprintf("logstate: encode state: %v", err)) // no field's type can fail to encode
	}
	return data
}

// Decode parses the result of State.Encode. The error wraps ErrEncoding.
func Decode(data []byte) (*State, error) {
	var e encodedState
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	if e.Version != encodingVersion {
		return nil, fmt.Errorf("%w: unsupported version %d", ErrEncoding, e.Version)
	}
	if err := e.validate(); err != nil {
		return nil, err
	}
	s := New()
	s.next = e.Next
	s.checkpoint = e.Checkpoint
	s.outcomes = e.Outcomes
	for name, revisions := range e.Services {
		s.services[name] = revisions
	}
	for name, a := range e.Entries {
		s.entries[name] = a
	}
	return s, nil
}

func (e *encodedState) validate() error {
	if e.Checkpoint > e.Next {
		return fmt.Errorf("%w: checkpoint offset is beyond the next offset", ErrEncoding)
	}
	for name, revisions := range e.Services {
		if len(revisions) == 0 {
			return fmt.Errorf("%w: service %q has no revision", ErrEncoding, name)
		}
	}
	return nil
}

// CheckpointRecord returns a checkpoint record that holds the state. At least
// one record must have been applied.
func (s *State) CheckpointRecord() Record {
	return Record{
		Type: TypeCheckpoint,
		Checkpoint: &Checkpoint{
			Through: s.next - 1,
			State:   s.Encode(),
		},
	}
}
