package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Reason says why an edit was not accepted.
type Reason string

// Reasons.
const (
	ReasonConflict Reason = "conflict"  // another edit with the same base came first
	ReasonTooLarge Reason = "too_large" // text longer than MaxTextBytes
	ReasonTooMany  Reason = "too_many"  // MaxServices reached
)

// Outcome is what became of an edit.
type Outcome struct {
	EditID string `json:"edit_id"`
	// Digest identifies the edit's content, see Edit.Digest.
	Digest  string `json:"digest"`
	Service string `json:"service"`
	Offset  uint64 `json:"offset"` // of the edit's first record
	// Revision is the one the edit made, or the one in force when it was
	// rejected.
	Revision uint64 `json:"revision"`
	Rejected Reason `json:"rejected,omitempty"` // empty: accepted
}

// digestBytes is the length of a digest before its text form.
const digestBytes = 12

// Digest returns a short digest of what the edit asks for, so that another edit
// under the same id is noticed.
func (e *Edit) Digest() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %q", e.Service, e.Base, e.Text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Document returns the revision in force of a service's document.
func (f *State) Document(service string) (structs.DocumentRecord, bool) {
	revisions := f.services[service]
	if len(revisions) == 0 {
		return structs.DocumentRecord{}, false
	}
	return revisions[len(revisions)-1], true
}

// Documents returns the revision in force of each service, by name.
func (f *State) Documents() []structs.DocumentRecord {
	docs := make([]structs.DocumentRecord, 0, len(f.services))
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		d, _ := f.Document(name)
		docs = append(docs, d)
	}
	return docs
}

// History returns the kept revisions of a service's document, newest first.
func (f *State) History(service string) []structs.DocumentRecord {
	revisions := slices.Clone(f.services[service])
	slices.Reverse(revisions)
	return revisions
}

// Revision returns a kept revision of a service's document.
func (f *State) Revision(service string, revision uint64) (structs.DocumentRecord, bool) {
	for _, d := range f.services[service] {
		if d.Revision == revision {
			return d, true
		}
	}
	return structs.DocumentRecord{}, false
}

// Outcome returns what became of the edit with the id, if it is remembered.
func (f *State) Outcome(editID string) (Outcome, bool) {
	for i := len(f.outcomes) - 1; i >= 0; i-- {
		if f.outcomes[i].EditID == editID {
			return f.outcomes[i], true
		}
	}
	return Outcome{}, false
}

func (f *State) applyEdit(offset uint64, e *Edit) {
	if _, again := f.Outcome(e.ID); again {
		return
	}
	current, _ := f.Document(e.Service)
	out := Outcome{
		EditID:   e.ID,
		Digest:   e.Digest(),
		Service:  e.Service,
		Offset:   offset,
		Revision: current.Revision,
		Rejected: f.rejection(e, current.Revision),
	}
	if out.Rejected == "" {
		out.Revision = current.Revision + 1
		f.accept(e, out)
	}
	f.remember(out)
}

func (f *State) rejection(e *Edit, current uint64) Reason {
	switch {
	case e.Base != current:
		return ReasonConflict
	case EncodedSize(e.Text) > MaxTextBytes:
		return ReasonTooLarge
	case current == 0 && len(f.services) >= MaxServices:
		return ReasonTooMany
	}
	return ""
}

func (f *State) accept(e *Edit, out Outcome) {
	revisions := append(slices.Clone(f.services[e.Service]), structs.DocumentRecord{
		Service:   e.Service,
		Revision:  out.Revision,
		Offset:    out.Offset,
		EditID:    e.ID,
		Text:      e.Text,
		Published: e.Published,
	})
	f.services[e.Service] = boundHistory(revisions)
}

// boundHistory drops the oldest former revisions over the bounds; the last
// revision always stays.
func boundHistory(revisions []structs.DocumentRecord) []structs.DocumentRecord {
	bytes, keep := 0, 1
	for keep < len(revisions) && keep <= MaxHistory {
		bytes += EncodedSize(revisions[len(revisions)-1-keep].Text)
		if bytes > MaxHistoryBytes {
			break
		}
		keep++
	}
	return revisions[len(revisions)-keep:]
}

func (f *State) remember(out Outcome) {
	f.outcomes = append(f.outcomes, out)
	if excess := len(f.outcomes) - MaxOutcomes; excess > 0 {
		f.outcomes = slices.Clone(f.outcomes[excess:])
	}
}
