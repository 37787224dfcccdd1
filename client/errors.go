package client

import (
	"context"
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// JobError is a job that did not complete. It wraps Reason, a *structs.Error,
// and the context's error if that ended the call.
type JobError struct {
	ID structs.JobID // zero if none was reserved
	// Attempts is how many requests were sent for the job.
	Attempts int
	// Answer is the final answer of a failed job, with each task's verdict;
	// nil if the entries gave none.
	Answer *structs.JobAnswer
	Reason *structs.Error
	// Cause is why the client gave up; nil if an entry's word was final.
	Cause error
}

// Error implements the error interface.
func (e *JobError) Error() string {
	s := fmt.Sprintf("job %s: %s", e.name(), e.Reason)
	if e.Cause != nil {
		s += fmt.Sprintf(" (gave up after %d requests: %s)", e.Attempts, e.Cause)
	}
	return s
}

func (e *JobError) name() string {
	if e.ID == (structs.JobID{}) {
		return "without id"
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

// Verdict returns what err says of the request's effect: that of the
// *structs.Error it wraps, otherwise structs.MayHaveRun.
func Verdict(err error) structs.Verdict {
	var e *structs.Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return structs.MayHaveRun
}

// noAnswer returns the error for a request that got no usable answer.
func noAnswer(cause error, v structs.Verdict) *structs.Error {
	switch {
	case errors.Is(cause, context.Canceled):
		return structs.Errorf(structs.CodeCanceled, v, "the caller canceled the call: %s", cause)
	case errors.Is(cause, errTooLong):
		return structs.Errorf(structs.CodeTooLarge, v, "%s", cause)
	case errors.Is(cause, context.DeadlineExceeded):
		return structs.Errorf(structs.CodeTimeout, v, "no answer in time: %s", cause)
	}
	return structs.Errorf(structs.CodeUnavailable, v, "no answer from an entry: %s", cause)
}

// notStarted returns the error of a request that starts nothing.
func notStarted(err error) error {
	var e *structs.Error
	if errors.As(err, &e) {
		return withVerdict(e, structs.NotRun)
	}
	return err
}
