package entry

import (
	"context"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/keybind"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// headerIdempotencyKey carries a caller's own key for a job, a UUID of version
// 7.
const headerIdempotencyKey = "Idempotency-Key"

// bindTimeout bounds how long a caller waits for its key to be bound.
const bindTimeout = 5 * time.Second

func (e *Entry) openKeys() error {
	if e.opts.KeyLogURL == "" {
		return nil
	}
	client, err := platformlog.NewClient(e.opts.KeyLogURL, 0)
	if err != nil {
		return err
	}
	e.keys = keybind.NewBinder(client, e.log)
	return nil
}

// jobOfKey returns the job that an idempotency key stands for: the one it is
// bound to, or a new one of this entry.
func (e *Entry) jobOfKey(ctx context.Context, text string) (structs.JobID, *structs.Error) {
	key, err := keybind.ParseKey(text)
	if err != nil {
		return structs.JobID{}, err
	}
	if e.keys == nil {
		return structs.JobID{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "idempotency keys are not enabled here; reserve an id instead")
	}
	ids, err := e.reserve(ctx, 1)
	if err != nil {
		// The key may have been bound before, through another entry.
		err.Verdict = structs.MayHaveRun
		return structs.JobID{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	job, err := e.keys.Bind(ctx, key, ids[0])
	if err == nil && job != ids[0] {
		e.giveBack(ids[0])
	}
	return job, err
}

// giveBack closes an id that will not be used.
func (e *Entry) giveBack(id structs.JobID) {
	call, _ := e.calls.open()
	e.mail.post(coordinator.CancelCalled{Call: call, ID: id})
}
