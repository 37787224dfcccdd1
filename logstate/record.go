package logstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// RecordType is the type of a Record.
type RecordType string

// Record types.
const (
	TypeEdit              RecordType = "edit"
	TypeCheckpoint        RecordType = "checkpoint"
	TypeEntryAnnouncement RecordType = "entry"
	TypeEntryDeparture    RecordType = "entry_gone"
)

// Record is one record of the system's stream on the platform's log. Exactly
// the field that corresponds to Type is set.
type Record struct {
	Type              RecordType         `json:"type"`
	Edit              *Edit              `json:"edit,omitempty"`
	Checkpoint        *Checkpoint        `json:"checkpoint,omitempty"`
	EntryAnnouncement *EntryAnnouncement `json:"entry,omitempty"`
	EntryDeparture    *EntryDeparture    `json:"entry_gone,omitempty"`
}

// Edit replaces the text of a service's document by compare-and-set: it is
// accepted only if Base is the revision in force at the edit's place in the log.
type Edit struct {
	ID        string    `json:"id"` // unique per edit; repeated appends of the edit use the same one
	Service   string    `json:"service"`
	Base      uint64    `json:"base"` // 0: the service has no document yet
	Text      string    `json:"text"` // TOML
	Published time.Time `json:"published"`
}

// Checkpoint is a snapshot of a State.
type Checkpoint struct {
	// Through is the offset of the last record that the snapshot covers.
	Through uint64          `json:"through"`
	State   json.RawMessage `json:"state"` // from State.Encode
}

// EntryAnnouncement announces an incarnation of an entry.
type EntryAnnouncement struct {
	Info structs.EntryInfo `json:"info"`
	// StateOffset is State.Next of the announcer when it made the
	// announcement. An announcement replaces that of another incarnation only
	// if the announcer had already read it.
	StateOffset uint64 `json:"seen"`
}

// EntryDeparture announces that an incarnation of an entry has stopped for good.
type EntryDeparture struct {
	Name        string              `json:"name"`
	Incarnation structs.Incarnation `json:"incarnation"`
}

// Errors of DecodeRecord.
var (
	// ErrUnknownType is returned for a record of a type that this program does
	// not know. A newer version may have written it.
	ErrUnknownType = errors.New("logstate: unknown record type")
	// ErrMalformed is returned for data that is not a valid record.
	ErrMalformed = errors.New("logstate: malformed record")
)

// EncodeRecord returns the record as JSON.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord parses a record. Unknown fields are ignored.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	valid, known := r.validate()
	if !known {
		return Record{}, fmt.Errorf("%w %q", ErrUnknownType, r.Type)
	}
	if !valid {
		return Record{}, fmt.Errorf("%w: missing or invalid body of type %q", ErrMalformed, r.Type)
	}
	return r, nil
}

// validate reports whether the record's type is known and its body valid.
func (r *Record) validate() (valid, known bool) {
	switch r.Type {
	case TypeEdit:
		return r.Edit != nil && validName(r.Edit.ID) && validName(r.Edit.Service), true
	case TypeCheckpoint:
		return r.Checkpoint != nil, true
	case TypeEntryAnnouncement:
		return r.EntryAnnouncement != nil && validInfo(&r.EntryAnnouncement.Info), true
	case TypeEntryDeparture:
		return r.EntryDeparture != nil, true
	}
	return false, false
}

// namePattern matches the characters allowed in ids, names and addresses.
var namePattern = regexp.MustCompile(`^[0-9A-Za-z._:\[\]-]*$`)

func validName(s string) bool { return s != "" && validOptionalName(s) }

func validOptionalName(s string) bool { return len(s) <= MaxNameBytes && namePattern.MatchString(s) }

func validInfo(info *structs.EntryInfo) bool {
	for _, s := range []string{info.Zone, info.Region, info.RPCAddr, info.HTTPAddr} {
		if !validOptionalName(s) {
			return false
		}
	}
	return validName(info.Name) && info.Incarnation != 0
}

// ValidEditID reports whether id is a valid edit id: 1 to MaxNameBytes letters,
// digits, '.', '_', ':', '-', '[' or ']'.
func ValidEditID(id string) bool { return validName(id) }
