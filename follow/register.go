package follow

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Register holds the revision in force of each service's document in one
// process. A revision is only ever replaced by a higher one. It is not safe for
// concurrent use.
type Register struct {
	inForce map[string]structs.DocumentRecord
	// refused holds the newest revision whose text fails this program's
	// checks; the one before stays in force.
	refused map[string]RefusedDocument
}

// RefusedDocument is an accepted revision that this program cannot put in
// force.
type RefusedDocument struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		inForce: make(map[string]structs.DocumentRecord),
		refused: make(map[string]RefusedDocument),
	}
}

// Put puts a revision in force if it is higher than the present one. It returns
// the parsed document, or nil if the record is not newer. The error says that
// the text fails this program's checks.
func (r *Register) Put(rec structs.DocumentRecord) (*document.Document, error) {
	if rec.Revision <= r.inForce[rec.Service].Revision {
		return nil, nil
	}
	if rec.Revision == r.refused[rec.Service].Revision {
		return nil, nil
	}
	doc, err := parseFor(rec)
	if err != nil {
		r.refuse(rec, err)
		return nil, fmt.Errorf("service %s revision %d: %w", rec.Service, rec.Revision, err)
	}
	r.inForce[rec.Service] = rec
	if rec.Revision > r.refused[rec.Service].Revision {
		delete(r.refused, rec.Service)
	}
	return doc, nil
}

// parseFor parses a record's text, which must be for the record's service.
func parseFor(rec structs.DocumentRecord) (*document.Document, error) {
	doc, err := document.Parse(rec.Text)
	if err != nil {
		return nil, err
	}
	if doc.Service != rec.Service {
		return nil, fmt.Errorf("the text is for service %q", doc.Service)
	}
	return doc, nil
}

func (r *Register) refuse(rec structs.DocumentRecord, err error) {
	if rec.Revision > r.refused[rec.Service].Revision {
		r.refused[rec.Service] = RefusedDocument{Revision: rec.Revision, Reason: err.Error()}
	}
}

// Get returns the record in force.
func (r *Register) Get(service string) (structs.DocumentRecord, bool) {
	rec, ok := r.inForce[service]
	return rec, ok
}
