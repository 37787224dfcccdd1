package entry

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// baseTimeout is how long an edit's base is waited for.
const baseTimeout = 2 * time.Second

// mayPublish checks that the request's bearer token is that of the team which
// owns the service at the edit's base, or the platform operators' own. Without
// any token in the settings everyone may publish.
func (e *Entry) mayPublish(r *http.Request, edit *fold.Edit) *structs.Error {
	if e.opts.PublishToken == "" && len(e.opts.PublishTokens) == 0 {
		return nil
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if sameToken(token, e.opts.PublishToken) {
		return nil
	}
	owner, err := e.ownerAt(r.Context(), edit)
	if err != nil {
		return err
	}
	if sameToken(token, e.opts.PublishTokens[owner]) {
		return nil
	}
	return structs.Errorf(structs.CodeForbidden, structs.NotRun,
		"service %s belongs to team %q; its publish token is missing or wrong", edit.Service, owner)
}

// sameToken compares in constant time. An empty token matches none.
func sameToken(got, want string) bool {
	return want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// ownerAt returns the team that owns the service at the edit's base; for a
// service's first document it is the one that the document names. The edit
// takes effect on no other base, so that a change of owner cannot slip in
// between.
func (e *Entry) ownerAt(ctx context.Context, edit *fold.Edit) (string, *structs.Error) {
	text := edit.Text
	if edit.Base > 0 {
		rec, err := e.baseOf(ctx, edit)
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

// baseOf returns the revision that an edit is based on. An entry that has not
// read so far in the log waits for it.
func (e *Entry) baseOf(ctx context.Context, edit *fold.Edit) (structs.DocumentRecord, *structs.Error) {
	ctx, cancel := context.WithTimeout(ctx, baseTimeout)
	defer cancel()
	follower := e.docs.follower
	follower.RequestRead()
	current, err := follower.Wait(ctx, func(f *fold.State) bool {
		rec, _ := f.Document(edit.Service)
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
