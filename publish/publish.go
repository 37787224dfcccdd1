// Package publish puts edits of service documents on the platform's log and
// finds out what became of them.
package publish

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/follow"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// readBackTimeout is how long an edit whose append may be lost is looked
	// for before it is appended again.
	readBackTimeout = 2 * time.Second
	// retryHint is the time to come back after a refusal that may pass.
	retryHint = time.Second
)

// Publisher publishes edits. Its methods are safe for concurrent use.
type Publisher struct {
	log      platformlog.Log
	follower *follow.Follower
	logger   log.Logger
}

// New returns a publisher that appends to l and reads back through follower,
// which must follow the same log.
func New(l platformlog.Log, follower *follow.Follower, logger log.Logger) *Publisher {
	return &Publisher{log: l, follower: follower, logger: logger}
}

// Publish checks an edit, appends it and waits until it has been folded. It
// returns the record that the edit made.
//
// The error is a *ConflictError if another edit won; otherwise a
// *structs.Error, whose verdict says whether the edit may still come into
// force. After MayHaveRun the same edit, with the same id, may be published
// again by any entry: it takes effect at most once.
func (p *Publisher) Publish(ctx context.Context, edit fold.Edit) (structs.DocumentRecord, error) {
	if err := check(&edit); err != nil {
		return structs.DocumentRecord{}, err
	}
	if err := p.ready(); err != nil {
		return structs.DocumentRecord{}, err
	}
	current := p.follower.State()
	if out, done := current.Outcome(edit.ID); done {
		return result(current, &edit, out)
	}
	if rec, _ := current.Document(edit.Service); rec.Revision > edit.Base {
		return structs.DocumentRecord{}, conflict(current, &edit)
	}
	return p.appendAndReadBack(ctx, &edit)
}

// Rollback publishes the text of a kept earlier revision as a new one based on
// revision base.
func (p *Publisher) Rollback(ctx context.Context, editID, service string, base, to uint64) (structs.DocumentRecord, error) {
	if err := p.ready(); err != nil {
		return structs.DocumentRecord{}, err
	}
	old, kept := p.follower.State().Revision(service, to)
	if !kept {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeNotFound, structs.NotRun,
			"revision %d of service %s is not kept", to, service)
	}
	return p.Publish(ctx, fold.Edit{ID: editID, Service: service, Base: base, Text: old.Text, Published: time.Now().UTC()})
}

// ready refuses edits while this process does not know the documents or cannot
// follow the log, so that the operator soon turns to another entry.
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

func check(edit *fold.Edit) error {
	if !fold.ValidEditID(edit.ID) {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "edit_id: want 1 to %d letters, digits, '.', '_', ':' or '-'", fold.MaxNameBytes)
	}
	if size := fold.EncodedSize(edit.Text); size > fold.MaxTextBytes {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun, "text: %d bytes as JSON, want at most %d", size, fold.MaxTextBytes)
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

// appendAndReadBack appends the edit, again if need be, until the fold says
// what became of it. Appending an edit twice is harmless: its base admits it
// once.
func (p *Publisher) appendAndReadBack(ctx context.Context, edit *fold.Edit) (structs.DocumentRecord, error) {
	data, err := fold.EncodeRecord(fold.Record{Type: fold.TypeEdit, Edit: edit})
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
			return structs.DocumentRecord{}, unknown(edit, verdict, err)
		}
	}
}

func (p *Publisher) logAppend(edit *fold.Edit, offset uint64, err error) {
	if err != nil {
		level.Warn(p.logger).Log("event", "edit_append_failed", "service", edit.Service, "edit", edit.ID, "err", err)
		return
	}
	level.Info(p.logger).Log("event", "edit_appended", "service", edit.Service, "edit", edit.ID, "offset", offset)
}

// readBack waits for the edit in the fold: as long as ctx allows if the append
// is known to have taken effect, for a bounded time if it may have, and not at
// all if it has not.
func (p *Publisher) readBack(ctx context.Context, edit *fold.Edit, appendErr error) (*fold.State, bool) {
	if errors.Is(appendErr, platformlog.ErrNotAppended) {
		return nil, false
	}
	if appendErr != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readBackTimeout)
		defer cancel()
	}
	p.follower.RequestRead()
	current, err := p.follower.Wait(ctx, func(f *fold.State) bool {
		_, done := f.Outcome(edit.ID)
		return done
	})
	return current, err == nil
}

func unknown(edit *fold.Edit, verdict structs.Verdict, err error) error {
	if verdict == structs.NotRun {
		return unavailable(err.Error())
	}
	return structs.Errorf(structs.CodeTimeout, verdict,
		"edit %s may have been published; publish it again under the same edit_id to find out", edit.ID).WithRetryAfter(retryHint)
}

// result turns an edit's outcome into Publish's.
func result(f *fold.State, edit *fold.Edit, out fold.Outcome) (structs.DocumentRecord, error) {
	if out.Digest != edit.Digest() {
		return structs.DocumentRecord{}, structs.Errorf(structs.CodeConflict, structs.NotRun,
			"edit_id %s was used for another edit of service %s", edit.ID, out.Service)
	}
	switch out.Rejected {
	case "":
		return accepted(f, edit, out), nil
	case fold.ReasonConflict:
		return structs.DocumentRecord{}, conflict(f, edit)
	}
	return structs.DocumentRecord{}, structs.Errorf(structs.CodeRejected, structs.NotRun, "the edit was rejected: %s", out.Rejected)
}

// accepted returns the record an edit made, also when the fold has dropped it
// from its history.
func accepted(f *fold.State, edit *fold.Edit, out fold.Outcome) structs.DocumentRecord {
	if rec, kept := f.Revision(out.Service, out.Revision); kept {
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
