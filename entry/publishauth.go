package entry

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// baseTimeout is how long baseRevision waits for the log to be read up to the
// revision that an edit is based on.
const baseTimeout = 2 * time.Second

// authorizePublish checks the request's bearer token. It must be the token of the
// platform's operators, or that of the team that owns the service at the edit's base
// revision. If no token is configured, everyone may publish.
func (e *Entry) authorizePublish(r *http.Request, edit *logstate.Edit) *structs.Error {
	if e.opts.PublishToken == "" && len(e.opts.PublishTokens) == 0 {
		return nil
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if sameToken(token, e.opts.PublishToken) {
		return nil
	}
	owner, err := e.ownerAtBase(r.Context(), edit)
	if err != nil {
		return err
	}
	if sameToken(token, e.opts.PublishTokens[owner]) {
		return nil
	}
	return structs.Errorf(structs.CodeForbidden, structs.NotRun,
		"service %s belongs to team %q; its publish token is missing or wrong", edit.Service, owner)
}

// sameToken compares tokens in constant time. It returns false if want is empty.
func sameToken(got, want string) bool {
	return want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// ownerAtBase returns the team that owns the service at the edit's base revision,
// or the owner named in the edit if it is the service's first document. A concurrent
// change of the owner cannot bypass the check, because the edit takes effect only on
// this base.
func (e *Entry) ownerAtBase(ctx context.Context, edit *logstate.Edit) (string, *structs.Error) {
	text := edit.Text
	if edit.Base > 0 {
		rec, err := e.baseRevision(ctx, edit)
		if err != nil {
			return "", err
		}
		text = rec.Text
	}
	doc, err := document.Parse(text)
	if err != nil {
		return "", structs.Errorf(structs.CodeInvalid, structs.NotRun, "%v", err)
	}
	return doc.Owner, nil
}

// baseRevision returns the revision that an edit is based on. If this entry has not
// read it from the log yet, it waits up to baseTimeout.
func (e *Entry) baseRevision(ctx context.Context, edit *logstate.Edit) (structs.DocumentRecord, *structs.Error) {
	ctx, cancel := context.WithTimeout(ctx, baseTimeout)
	defer cancel()
	follower := e.docs.follower
	follower.RequestRead()
	current, err := follower.Wait(ctx, func(state *logstate.State) bool {
		rec, _ := state.Document(edit.Service)
		return rec.Revision >= edit.Base
	})
	if err == nil {
		if rec, kept := current.Revision(edit.Service, edit.Base); kept {
			return rec, nil
		}
	} else if problem := follower.LogError(); problem != "" {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeUnavailable, structs.NotRun,
			"this entry cannot publish now: %s", problem).WithRetryAfter(baseTimeout)
	}
	return structs.DocumentRecord{}, structs.Errorf(structs.CodeConflict, structs.NotRun,
		"revision %d of service %s is not kept, or does not exist", edit.Base, edit.Service)
}
