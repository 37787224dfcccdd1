package logfollower

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Documents holds, for one process, the revision in force of each service's
// document. A revision is only ever replaced by a higher one. It is not safe for
// concurrent use.
type Documents struct {
	inForce map[string]structs.DocumentRecord
	// refused holds by service the newest revision whose text fails this
	// program's validation; an earlier one, if any, stays in force.
	refused map[string]RefusedDocument
}

// RefusedDocument is a revision that the log accepted but this program cannot
// put in force.
type RefusedDocument struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// NewDocuments returns a Documents without any revision.
func NewDocuments() *Documents {
	return &Documents{
		inForce: make(map[string]structs.DocumentRecord),
		refused: make(map[string]RefusedDocument),
	}
}

// Put puts a revision in force if it is higher than the present one, and
// returns the parsed document. It returns nil if the revision is not higher or
// is the newest refused one, and an error if the text fails this program's
// validation or is for another service.
func (d *Documents) Put(rec structs.DocumentRecord) (*document.Document, error) {
	if rec.Revision <= d.inForce[rec.Service].Revision {
		return nil, nil
	}
	if rec.Revision == d.refused[rec.Service].Revision {
		return nil, nil
	}
	doc, err := parseForService(rec)
	if err != nil {
		d.refuse(rec, err)
		return nil, fmt.Errorf("service %s revision %d: %w", rec.Service, rec.Revision, err)
	}
	d.inForce[rec.Service] = rec
	if rec.Revision > d.refused[rec.Service].Revision {
		delete(d.refused, rec.Service)
	}
	return doc, nil
}

// parseForService parses a record's text and checks that it names the record's
// service.
func parseForService(rec structs.DocumentRecord) (*document.Document, error) {
	doc, err := document.Parse(rec.Text)
	if err != nil {
		return nil, err
	}
	if doc.Service != rec.Service {
		return nil, fmt.Errorf("the text is for service %q", doc.Service)
	}
	return doc, nil
}

func (d *Documents) refuse(rec structs.DocumentRecord, err error) {
	if rec.Revision > d.refused[rec.Service].Revision {
		d.refused[rec.Service] = RefusedDocument{Revision: rec.Revision, Reason: err.Error()}
	}
}

// Get returns the revision in force of a service's document.
func (d *Documents) Get(service string) (structs.DocumentRecord, bool) {
	rec, ok := d.inForce[service]
	return rec, ok
}
