// Package publish appends edits of service documents to the platform's log and
// determines their outcome.
package publish

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// readBackTimeout is how long to wait for an edit to be read back from the
	// log after an append in doubt, before it is appended again.
	readBackTimeout = 2 * time.Second
	// retryHint is the RetryAfter of errors that may be temporary.
	retryHint = time.Second
)

// Publisher publishes edits. Its methods are safe for concurrent use.
type Publisher struct {
	log      platformlog.Log
	follower *logfollower.Follower
	logger   log.Logger
}

// New returns a publisher that appends to l and reads back through follower,
// which must follow the same log.
func New(l platformlog.Log, follower *logfollower.Follower, logger log.Logger) *Publisher {
	return &Publisher{log: l, follower: follower, logger: logger}
}

// Publish validates an edit, appends it and waits until the follower has
// applied it. It returns the revision that the edit created.
//
// The error is a *ConflictError if the base is not the revision in force,
// otherwise a *structs.Error, whose verdict says whether the edit may still
// take effect. After MayHaveRun the same edit, with the same id, may be
// published again through any entry: it takes effect at most once.
func (p *Publisher) Publish(ctx context.Context, edit logstate.Edit) (structs.DocumentRecord, error) {
	if err := validate(&edit); err != nil {
		return structs.DocumentRecord{}, err
	}
	if err := p.ready(); err != nil {
		return structs.DocumentRecord{}, err
	}
	current := p.follower.State()
	if out, known := current.Outcome(edit.ID); known {
		return result(current, &edit, out)
	}
	if rec, _ := current.Document(edit.Service); rec.Revision > edit.Base {
		return conflictResult(current, &edit)
	}
	return p.appendAndReadBack(ctx, &edit)
}

// Rollback publishes the text of the kept earlier revision to as a new revision
// on top of base. Its errors are those of Publish, and CodeNotFound if the
// revision is not kept.
func (p *Publisher) Rollback(ctx context.Context, editID, service string, base, to uint64) (structs.DocumentRecord, error) {
	if err := p.ready(); err != nil {
		return structs.DocumentRecord{}, err
	}
	old, kept := p.follower.State().Revision(service, to)
	if !kept {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeNotFound, structs.NotRun,
			"revision %d of service %s is not kept", to, service)
	}
	return p.Publish(ctx, logstate.Edit{ID: editID, Service: service, Base: base, Text: old.Text, Published: time.Now().UTC()})
}

// ready returns an error while this process does not have the documents or
// cannot follow the log, so that the operator can turn to another entry without
// waiting for a timeout.
func (p *Publisher) ready() error {
	if err := p.follower.Ready(); err != nil {
		return unavailable(err.Error())
	}
	if problem := p.follower.LogError(); problem != "" {
		return unavailable(problem)
	}
	return nil
}

func unavailable(reason string) error {
	return structs.Errorf(structs.CodeUnavailable, structs.NotRun, "this entry cannot publish now: %s", reason).WithRetryAfter(retryHint)
}

func validate(edit *logstate.Edit) error {
	if !logstate.ValidEditID(edit.ID) {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "edit_id: want 1 to %d letters, digits, '.', '_', ':', '-', '[' or ']'", logstate.MaxNameBytes)
	}
	if size := logstate.EncodedSize(edit.Text); size > logstate.MaxTextBytes {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "text: %d bytes when encoded as JSON, want at most %d", size, logstate.MaxTextBytes)
	}
	doc, err := document.ParseStrict(edit.Text)
	if err != nil {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "%v", err)
	}
	if doc.Service != edit.Service {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun,
			"document: service = %q: want %q, the service it is published for", doc.Service, edit.Service)
	}
	return nil
}

// appendAndReadBack appends the edit, repeatedly if necessary, until the
// follower's state holds its outcome. Repeated appends are harmless: the
// compare-and-set on the base revision accepts the edit at most once.
func (p *Publisher) appendAndReadBack(ctx context.Context, edit *logstate.Edit) (structs.DocumentRecord, error) {
	data, err := logstate.EncodeRecord(logstate.Record{Type: logstate.TypeEdit, Edit: edit})
	if err != nil {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "edit: %v", err)
	}
	var backoff platformlog.Backoff
	verdict := structs.NotRun
	for {
		offset, err := p.log.Append(ctx, data)
		if !errors.Is(err, platformlog.ErrNotAppended) {
			verdict = structs.MayHaveRun
		}
		p.logAppend(edit, offset, err)
		current, found := p.readBack(ctx, edit, err)
		if found {
			out, _ := current.Outcome(edit.ID)
			return result(current, edit, out)
		}
		if verdict == structs.NotRun && p.follower.LogError() != "" {
			return structs.DocumentRecord{}, unavailable(err.Error())
		}
		if !sleep(ctx, backoff.Next()) {
			return structs.DocumentRecord{}, noOutcome(edit, verdict, err)
		}
	}
}

func (p *Publisher) logAppend(edit *logstate.Edit, offset uint64, err error) {
	if err != nil {
		level.Warn(p.logger).Log("event", "edit_append_failed", "service", edit.Service, "edit", edit.ID, "err", err)
		return
	}
	level.Info(p.logger).Log("event", "edit_appended", "service", edit.Service, "edit", edit.ID, "offset", offset)
}

// readBack waits until the follower's state holds the edit's outcome: until ctx
// ends if the append succeeded, for at most readBackTimeout if it is in doubt,
// and not at all if it certainly failed.
func (p *Publisher) readBack(ctx context.Context, edit *logstate.Edit, appendErr error) (*logstate.State, bool) {
	if errors.Is(appendErr, platformlog.ErrNotAppended) {
		return nil, false
	}
	if appendErr != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readBackTimeout)
		defer cancel()
	}
	p.follower.RequestRead()
	current, err := p.follower.Wait(ctx, func(state *logstate.State) bool {
		_, known := state.Outcome(edit.ID)
		return known
	})
	return current, err == nil
}

// noOutcome returns the error for an edit whose outcome was not read before ctx
// ended: the edit is in doubt, or certainly not appended if verdict is NotRun.
func noOutcome(edit *logstate.Edit, verdict structs.Verdict, err error) error {
	if verdict == structs.NotRun {
		return unavailable(err.Error())
	}
	return structs.Errorf(structs.CodeTimeout, verdict,
		"edit %s may have been published; publish it again under the same edit_id to find out", edit.ID).WithRetryAfter(retryHint)
}

// result converts an edit's outcome to the results of Publish.
func result(state *logstate.State, edit *logstate.Edit, out logstate.Outcome) (structs.DocumentRecord, error) {
	if out.Digest != edit.Digest() {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeConflict, structs.NotRun,
			"edit_id %s was used for another edit of service %s", edit.ID, out.Service)
	}
	switch out.Rejected {
	case "":
		return acceptedRecord(state, edit, out), nil
	case logstate.ReasonConflict:
		return conflictResult(state, edit)
	}
	return structs.DocumentRecord{}, structs.Errorf(structs.CodeRejected, structs.NotRun, "the edit was rejected: %s", out.Rejected)
}

// conflictResult returns the result of an edit whose base is not in force. The edit may
// have been accepted earlier, with an outcome that is no longer kept: it has then created
// the revision after its base.
func conflictResult(state *logstate.State, edit *logstate.Edit) (structs.DocumentRecord, error) {
	if rec, kept := state.Revision(edit.Service, edit.Base+1); kept && rec.EditID == edit.ID && rec.Text == edit.Text {
		return rec, nil
	}
	return structs.DocumentRecord{}, newConflictError(state, edit)
}

// acceptedRecord returns the record of the revision that an edit created. It is
// rebuilt from the edit if the state no longer keeps it.
func acceptedRecord(state *logstate.State, edit *logstate.Edit, out logstate.Outcome) structs.DocumentRecord {
	if rec, kept := state.Revision(out.Service, out.Revision); kept {
		return rec
	}
	return structs.DocumentRecord{
		Service:   out.Service,
		Revision:  out.Revision,
		Offset:    out.Offset,
		EditID:    out.EditID,
		Text:      edit.Text,
		Published: edit.Published,
	}
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
