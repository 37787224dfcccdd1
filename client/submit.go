package client

import (
	"context"
	"encoding/json"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// SubmitOption changes one call of Submit.
type SubmitOption func(*submission)

// WithID submits under an id that the caller has reserved, and may have used
// before: a resubmission after a crash, with the same spec. The client takes no
// other id for the job, and a refusal, which closes the id, is then final.
func WithID(id structs.JobID) SubmitOption {
	return func(s *submission) {
		s.id = id
		s.pinned = true
		s.lost = true // an earlier process may have sent it
	}
}

// WithKey submits under an idempotency key, a UUID of version 7, in place of a
// reserved id. It may be used again for the same job, also after a crash. A key
// costs a write to the platform's log and is refused while the log is out;
// reserved ids are not.
func WithKey(key string) SubmitOption {
	return func(s *submission) {
		s.key = key
		s.pinned = true
		s.lost = true // an earlier process may have sent it
	}
}

// WithProgress has f called when an entry says how far the job is. It is
// called from the goroutine of Submit.
func WithProgress(f func(*structs.JobAnswer)) SubmitOption {
	return func(s *submission) { s.progress = f }
}

// WithoutWaiting has Submit return as soon as an entry has taken the job; Get
// fetches the answer.
func WithoutWaiting() SubmitOption {
	return func(s *submission) { s.detached = true }
}

// Submit runs a job and returns its whole answer. If an answer is lost, it
// submits the job again under the same id, through any entry. It takes another
// id only if the first one certainly never runs. A job that does not complete
// gives a *JobError; the answer is then returned too if the job has one.
//
// When ctx ends, Submit returns at once and the job goes on; Cancel stops it.
func (c *Client) Submit(ctx context.Context, spec *structs.JobSpec, options ...SubmitOption) (*structs.JobAnswer, error) {
	s := &submission{
		c:      c,
		retry:  c.newRetrier(),
		total:  len(spec.Tasks),
		lostAt: make(map[*endpoint]bool),
	}
	for _, o := range options {
		o(s)
	}
	if refused := checkSpec(spec); refused != nil {
		return nil, s.failed(refused, nil)
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, s.failed(structs.Errorf(structs.CodeInvalid, structs.NotRun, "%s", err), nil)
	}
	s.body = body
	return s.run(ctx)
}

// checkSpec refuses what every entry would refuse.
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
