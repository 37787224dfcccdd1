package publish

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ConflictError says that an edit did not take effect because its base is not
// the revision in force.
type ConflictError struct {
	EditID string `json:"edit_id"`
	Base   uint64 `json:"base"`
	// Winner is the edit that replaced the base, or the revision in force if
	// that one is not kept any more. It is zero if the service has no document.
	Winner structs.DocumentRecord `json:"winner"`
	// Current is the revision in force.
	Current uint64 `json:"current"`
	// Change is what the winner changed in the base, as a unified diff; empty
	// if the base is not kept.
	Change string `json:"change"`
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return fmt.Sprintf("edit %s is based on revision %d, but there is no document yet", e.EditID, e.Base)
	}
	return fmt.Sprintf("edit %s is based on revision %d, but edit %s made revision %d; revision %d is in force",
		e.EditID, e.Base, e.Winner.EditID, e.Winner.Revision, e.Current)
}

// Unwrap returns the conflict as the system's error type.
func (e *ConflictError) Unwrap() error {
	return structs.Errorf(structs.CodeConflict, structs.NotRun, "%s", e.Error())
}

func conflict(f *fold.State, edit *fold.Edit) *ConflictError {
	current, _ := f.Document(edit.Service)
	winner, kept := f.Revision(edit.Service, edit.Base+1)
	if !kept {
		winner = current
	}
	e := &ConflictError{EditID: edit.ID, Base: edit.Base, Winner: winner, Current: current.Revision}
	base, kept := f.Revision(edit.Service, edit.Base)
	if kept || edit.Base == 0 {
		e.Change = document.Diff(base.Text, winner.Text)
	}
	return e
}
