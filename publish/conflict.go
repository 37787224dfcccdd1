package publish

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ConflictError reports a compare-and-set failure: the base of an edit is not the
// revision in force.
type ConflictError struct {
	EditID string `json:"edit_id"`
	Base   uint64 `json:"base"`
	// Winner is the revision that replaced the base, or the revision in force
	// if that one is not kept. It is zero if the service has no document.
	Winner structs.DocumentRecord `json:"winner"`
	// Current is the revision in force.
	Current uint64 `json:"current"`
	// Change is the unified diff from the base to the winner; empty if the base
	// is not kept.
	Change string `json:"change"`
	// verdict is MayHaveRun if the edit itself may have created the revision after its
	// base, which is no longer kept.
	verdict structs.Verdict
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return fmt.Sprintf("edit %s is based on revision %d, but the service has no document yet", e.EditID, e.Base)
	}
	return fmt.Sprintf("edit %s is based on revision %d, but edit %s created revision %d; revision %d is in force",
		e.EditID, e.Base, e.Winner.EditID, e.Winner.Revision, e.Current)
}

// Unwrap returns the conflict as a *structs.Error.
func (e *ConflictError) Unwrap() error {
	return structs.Errorf(structs.CodeConflict, e.verdict, "%s", e.Error())
}

func newConflictError(state *logstate.State, edit *logstate.Edit) *ConflictError {
	current, _ := state.Document(edit.Service)
	winner, kept := state.Revision(edit.Service, edit.Base+1)
	verdict := structs.NotRun
	if !kept {
		winner = current
		if edit.Base < current.Revision {
			verdict = structs.MayHaveRun
		}
	}
	e := &ConflictError{EditID: edit.ID, Base: edit.Base, Winner: winner, Current: current.Revision, verdict: verdict}
	base, kept := state.Revision(edit.Service, edit.Base)
	if kept || edit.Base == 0 {
		e.Change = document.Diff(base.Text, winner.Text)
	}
	return e
}
