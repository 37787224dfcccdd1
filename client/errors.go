package client

import (
	"context"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// JobError reports a job that did not complete. It wraps Reason, a *structs.Error,
// and Cause, which is the context's error if that ended the call.
type JobError struct {
	ID structs.JobID // zero if the job has none
	// Attempts is the number of requests sent for the job.
	Attempts int
	// Answer is the final answer of a failed job, with each task's verdict;
	// nil if no entry returned one.
	Answer *structs.JobAnswer
	Reason *structs.Error
	// Cause is why the client stopped retrying; nil if an entry's response was
	// final.
	Cause error
}

// Error implements the error interface.
func (e *JobError) Error() string {
	s := fmt.Sprintf("job %s: %s", e.idString(), e.Reason)
	if e.Cause != nil {
		s += fmt.Sprintf(" (abandoned after %d requests: %s)", e.Attempts, e.Cause)
	}
	return s
}

func (e *JobError) idString() string {
	if e.ID == (structs.JobID{}) {
		return "without an id"
	}
	return e.ID.String()
}

// Unwrap returns Reason and Cause.
func (e *JobError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Reason}
	}
	return []error{e.Reason, e.Cause}
}

// Verdict returns what err says about the effect of the request: the verdict of
// the *structs.Error that it wraps, or structs.MayHaveRun if it wraps none.
func Verdict(err error) structs.Verdict {
	var e *structs.Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return structs.MayHaveRun
}

// noResponse returns the error for a request that got no usable response.
func noResponse(cause error, v structs.Verdict) *structs.Error {
	switch {
	case errors.Is(cause, context.Canceled):
		return structs.Errorf(structs.CodeCanceled, v, "canceled by the caller: %s", cause)
	case errors.Is(cause, errResponseTooLarge):
		return structs.Errorf(structs.CodeTooLarge, v, "%s", cause)
	case errors.Is(cause, context.DeadlineExceeded):
		return structs.Errorf(structs.CodeTimeout, v, "timed out waiting for a response: %s", cause)
	}
	return structs.Errorf(structs.CodeUnavailable, v, "no response from an entry: %s", cause)
}

// withNotRun returns err with the verdict structs.NotRun. It is for requests that
// start no task.
func withNotRun(err error) error {
	var e *structs.Error
	if errors.As(err, &e) {
		return withVerdict(e, structs.NotRun)
	}
	return err
}
