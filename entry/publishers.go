package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

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
	owner, err := e.ownerAt(edit)
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
func (e *Entry) ownerAt(edit *fold.Edit) (string, *structs.Error) {
	text := edit.Text
	if edit.Base > 0 {
		rec, kept := e.docs.follower.Fold().Revision(edit.Service, edit.Base)
		if !kept {
			return "", structs.Errorf(structs.CodeConflict, structs.NotRun,
				"this entry does not keep revision %d of service %s", edit.Base, edit.Service)
		}
		text = rec.Text
	}
	doc, err := document.Parse(text)
	if err != nil {
		return "", structs.Errorf(structs.CodeInvalid, structs.NotRun, "%v", err)
	}
	return doc.Owner, nil
}
