package client

import (
	"context"
	"encoding/json"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// SubmitOption modifies one call of Submit.
type SubmitOption func(*submission)

// WithID submits the job under an id that the caller has reserved, and may have
// used before: after a crash, the same spec can be submitted again. The client
// uses no other id for the job, so a refusal, which closes the id, is final.
func WithID(id structs.JobID) SubmitOption {
	return func(s *submission) {
		s.id = id
		s.pinned = true
		s.inDoubt = true // an earlier process may have sent the job
	}
}

// WithKey submits the job under an idempotency key, a UUID of version 7, instead
// of a reserved id. The key may be used again for the same job, also after a
// crash. A key requires a write to the platform's log and is refused while the
// log is unavailable; reserved ids do not depend on the log.
func WithKey(key string) SubmitOption {
	return func(s *submission) {
		s.key = key
		s.pinned = true
		s.inDoubt = true // an earlier process may have sent the job
	}
}

// WithProgress makes Submit call f with each answer that shows the job running. f
// runs on the goroutine of Submit.
func WithProgress(f func(*structs.JobAnswer)) SubmitOption {
	return func(s *submission) { s.progress = f }
}

// WithoutWaiting makes Submit return as soon as an entry has admitted the job.
// Get returns the answer later.
func WithoutWaiting() SubmitOption {
	return func(s *submission) { s.detached = true }
}

// Submit runs a job and returns its complete answer. If a response is lost, Submit
// sends the job again under the same id, through any entry. It uses another id
// only after proof that the job never runs under the first one. A job that does
// not complete gives a *JobError, along with the job's answer if there is one.
//
// When ctx ends, Submit returns at once and the job continues; Cancel stops it.
func (c *Client) Submit(ctx context.Context, spec *structs.JobSpec, options ...SubmitOption) (*structs.JobAnswer, error) {
	s := &submission{
		c:            c,
		retry:        c.newRetrier(),
		total:        len(spec.Tasks),
		homeLostFrom: make(map[*endpoint]bool),
	}
	for _, o := range options {
		o(s)
	}
	if refused := checkSpec(spec); refused != nil {
		return nil, s.jobError(refused, nil)
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, s.jobError(structs.Errorf(structs.CodeInvalid, structs.NotRun, "%s", err), nil)
	}
	s.body = body
	return s.run(ctx)
}

// checkSpec rejects jobs over the limits that every entry enforces.
func checkSpec(spec *structs.JobSpec) *structs.Error {
	if len(spec.Tasks) == 0 || len(spec.Tasks) > structs.MaxTasksPerJob {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun,
			"%d tasks: want 1 to %d", len(spec.Tasks), structs.MaxTasksPerJob)
	}
	for i := range spec.Tasks {
		if n := len(spec.Tasks[i].Payload); n > structs.MaxPayloadBytes {
			return structs.Errorf(structs.CodeTooLarge, structs.NotRun,
				"task %d: payload of %d bytes: want at most %d", i, n, structs.MaxPayloadBytes)
		}
	}
	if n := spec.PayloadBytes(); n > structs.MaxJobBytes {
		return structs.Errorf(structs.CodeTooLarge, structs.NotRun,
			"payloads of %d bytes: want at most %d", n, structs.MaxJobBytes)
	}
	return nil
}
