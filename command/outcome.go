package command

import (
	"errors"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// failure is the JSON form of a command's error.
type failure struct {
	ID    *structs.JobID `json:"id,omitempty"`
	Error *structs.Error `json:"error"`
}

// exitStatus returns the exit status for the verdict on a change or job that failed.
func exitStatus(v structs.Verdict) int {
	switch v {
	case structs.NotRun:
		return exit.NotRun
	case structs.Ran:
		return exit.JobFailed
	}
	return exit.MayHaveRun
}

// fail prints the JSON form of an error, if JSON is requested, and returns the
// error with the exit status of its verdict.
func (s *session) fail(err error) error {
	s.printFailure(err)
	return exit.With(exitStatus(client.Verdict(err)), err)
}

// failRead is fail for an error while reading, for which a verdict has no meaning:
// the exit status is Failure.
func (s *session) failRead(err error) error {
	s.printFailure(err)
	var e *structs.Error
	if errors.As(err, &e) {
		err = fmt.Errorf("%s: %s", e.Code, e.Message)
	}
	return exit.With(exit.Failure, err)
}

func (s *session) printFailure(err error) {
	var f failure
	if !errors.As(err, &f.Error) {
		f.Error = structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "%s", err)
	}
	var job *client.JobError
	if errors.As(err, &job) && job.ID != (structs.JobID{}) {
		f.ID = &job.ID
	}
	_ = s.printJSON(f)
}
