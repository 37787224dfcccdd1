package fold

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// RecordType names the kind of a Record.
type RecordType string

// Record types.
const (
	TypeEdit              RecordType = "edit"
	TypeCheckpoint        RecordType = "checkpoint"
	TypeEntryAnnouncement RecordType = "entry"
	TypeEntryDeparture    RecordType = "entry_gone"
)

// Record is one record of the system's stream on the platform's log. The field
// named by Type is set, the others are nil.
type Record struct {
	Type              RecordType         `json:"type"`
	Edit              *Edit              `json:"edit,omitempty"`
	Checkpoint        *Checkpoint        `json:"checkpoint,omitempty"`
	EntryAnnouncement *EntryAnnouncement `json:"entry,omitempty"`
	EntryDeparture    *EntryDeparture    `json:"entry_gone,omitempty"`
}

// Edit replaces the text of a service's document. It is accepted if Base is the
// revision in force where it stands in the log.
type Edit struct {
	ID        string    `json:"id"` // unique; the same for every append of the edit
	Service   string    `json:"service"`
	Base      uint64    `json:"base"` // 0: the service has no document yet
	Text      string    `json:"text"` // TOML
	Published time.Time `json:"published"`
}

// Checkpoint holds an encoded State.
type Checkpoint struct {
	// Through is the offset of the last record that State covers.
	Through uint64          `json:"through"`
	State   json.RawMessage `json:"state"`
}

// EntryAnnouncement announces a run of an entry.
type EntryAnnouncement struct {
	Info structs.EntryInfo `json:"info"`
	// StateOffset is the announcer's Fold.Next. An announcement replaces that of
	// another run of the same entry only if it was made in its knowledge.
	StateOffset uint64 `json:"seen"`
}

// EntryDeparture says that a run of an entry has stopped for good.
type EntryDeparture struct {
	Name        string              `json:"name"`
	Incarnation structs.Incarnation `json:"incarnation"`
}

// Errors of DecodeRecord.
var (
	// ErrUnknownType says that the record's type is not known here; it may come
	// from a newer process.
	ErrUnknownType = errors.New("fold: unknown record type")
	// ErrMalformed says that the data is not a record.
	ErrMalformed = errors.New("fold: malformed record")
)

// EncodeRecord returns the data of a record.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record. Unknown fields are ignored.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	complete, known := r.complete()
	if !known {
		return Record{}, fmt.Errorf("%w %q", ErrUnknownType, r.Type)
	}
	if !complete {
		return Record{}, fmt.Errorf("%w: no body for type %q", ErrMalformed, r.Type)
	}
	return r, nil
}

func (r *Record) complete() (complete, known bool) {
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

// namePattern is what ids, names and addresses are made of.
var namePattern = regexp.MustCompile(`^[0-9A-Za-z._:\[\]-]*$`)

func validName(s string) bool { return s != "" && validPart(s) }

func validPart(s string) bool { return len(s) <= MaxNameBytes && namePattern.MatchString(s) }

func validInfo(info *structs.EntryInfo) bool {
	for _, s := range []string{info.Zone, info.Region, info.RPCAddr, info.HTTPAddr} {
		if !validPart(s) {
			return false
		}
	}
	return validName(info.Name) && info.Incarnation != 0
}

// ValidEditID reports whether an edit may carry the id: 1 to MaxNameBytes of
// letters, digits, '.', '_', ':' and '-'.
func ValidEditID(id string) bool { return validName(id) }
