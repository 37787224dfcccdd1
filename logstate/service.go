package logstate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Reason states why an edit was rejected.
type Reason string

// Reasons for a rejection.
const (
	ReasonConflict Reason = "conflict"  // the base is not the revision in force
	ReasonTooLarge Reason = "too_large" // text larger than MaxTextBytes
	ReasonTooMany  Reason = "too_many"  // MaxServices reached
)

// Outcome is the result of an edit.
type Outcome struct {
	EditID string `json:"edit_id"`
	// Digest identifies the edit's content, see Edit.Digest.
	Digest  string `json:"digest"`
	Service string `json:"service"`
	Offset  uint64 `json:"offset"` // of the edit's first record
	// Revision is the revision that the edit created, or the one in force when
	// the edit was rejected.
	Revision uint64 `json:"revision"`
	Rejected Reason `json:"rejected,omitempty"` // empty: accepted
}

// digestBytes is the length of a digest before hex encoding.
const digestBytes = 12

// Digest returns a short hash of the edit's service, base and text. It reveals
// that an id was used again for a different edit.
func (e *Edit) Digest() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %q", e.Service, e.Base, e.Text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Document returns the revision in force of a service's document.
func (s *State) Document(service string) (structs.DocumentRecord, bool) {
	revisions := s.services[service]
	if len(revisions) == 0 {
		return structs.DocumentRecord{}, false
	}
	return revisions[len(revisions)-1], true
}

// Documents returns the revision in force of each service's document, sorted by
// service name.
func (s *State) Documents() []structs.DocumentRecord {
	docs := make([]structs.DocumentRecord, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		d, _ := s.Document(name)
		docs = append(docs, d)
	}
	return docs
}

// History returns the kept revisions of a service's document, newest first.
func (s *State) History(service string) []structs.DocumentRecord {
	revisions := slices.Clone(s.services[service])
	slices.Reverse(revisions)
	return revisions
}

// Revision returns a kept revision of a service's document.
func (s *State) Revision(service string, revision uint64) (structs.DocumentRecord, bool) {
	for _, d := range s.services[service] {
		if d.Revision == revision {
			return d, true
		}
	}
	return structs.DocumentRecord{}, false
}

// Outcome returns the outcome of the edit with the id, if it is still kept.
func (s *State) Outcome(editID string) (Outcome, bool) {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].EditID == editID {
			return s.outcomes[i], true
		}
	}
	return Outcome{}, false
}

func (s *State) applyEdit(offset uint64, e *Edit) {
	if _, duplicate := s.Outcome(e.ID); duplicate {
		return
	}
	current, _ := s.Document(e.Service)
	out := Outcome{
		EditID:   e.ID,
		Digest:   e.Digest(),
		Service:  e.Service,
		Offset:   offset,
		Revision: current.Revision,
		Rejected: s.rejectionReason(e, current.Revision),
	}
	if out.Rejected == "" {
		out.Revision = current.Revision + 1
		s.addRevision(e, out)
	}
	s.addOutcome(out)
}

// rejectionReason returns why the edit is rejected; empty if it is accepted.
func (s *State) rejectionReason(e *Edit, current uint64) Reason {
	switch {
	case e.Base != current:
		return ReasonConflict
	case EncodedSize(e.Text) > MaxTextBytes:
		return ReasonTooLarge
	case current == 0 && len(s.services) >= MaxServices:
		return ReasonTooMany
	}
	return ""
}

func (s *State) addRevision(e *Edit, out Outcome) {
	revisions := append(slices.Clone(s.services[e.Service]), structs.DocumentRecord{
		Service:   e.Service,
		Revision:  out.Revision,
		Offset:    out.Offset,
		EditID:    e.ID,
		Text:      e.Text,
		Published: e.Published,
	})
	s.services[e.Service] = trimHistory(revisions)
}

// trimHistory drops the oldest revisions until MaxHistory and MaxHistoryBytes
// hold. The newest revision is always kept and does not count.
func trimHistory(revisions []structs.DocumentRecord) []structs.DocumentRecord {
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

// addOutcome adds an outcome and drops the oldest ones over MaxOutcomes.
func (s *State) addOutcome(out Outcome) {
	s.outcomes = append(s.outcomes, out)
	if excess := len(s.outcomes) - MaxOutcomes; excess > 0 {
		s.outcomes = slices.Clone(s.outcomes[excess:])
	}
}
