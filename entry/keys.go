package entry

import (
	"context"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/idempotency"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// headerIdempotencyKey is the header with the caller's idempotency key for a job,
// a version 7 UUID.
const headerIdempotencyKey = "Idempotency-Key"

// bindTimeout is the timeout of binding a key to a job.
const bindTimeout = 5 * time.Second

func (e *Entry) openKeyBinder() error {
	if e.opts.KeyLogURL == "" {
		return nil
	}
	client, err := platformlog.NewClient(e.opts.KeyLogURL, 0)
	if err != nil {
		return err
	}
	e.keys = idempotency.NewBinder(client, e.logger)
	return nil
}

// jobForKey returns the id of the job that the idempotency key is bound to. An
// unbound key is bound to a new id of this entry.
func (e *Entry) jobForKey(ctx context.Context, text string) (structs.JobID, *structs.Error) {
	key, err := idempotency.ParseKey(text)
	if err != nil {
		return structs.JobID{}, err
	}
	if e.keys == nil {
		return structs.JobID{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "idempotency keys are not enabled at this entry; reserve a job id instead")
	}
	ids, err := e.reserve(ctx, 1)
	if err != nil {
		// The key may already be bound to a job through another entry.
		err.Verdict = structs.MayHaveRun
		return structs.JobID{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	job, err := e.keys.Bind(ctx, key, ids[0])
	if err == nil && job != ids[0] {
		e.releaseID(ids[0])
	}
	return job, err
}

// releaseID closes a reserved id that will not be used, by canceling it.
func (e *Entry) releaseID(id structs.JobID) {
	call, _ := e.calls.open()
	e.events.post(coordinator.CancelCalled{Call: call, ID: id})
}
