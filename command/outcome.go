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

// statusOf returns the exit status for what is known of a change or a job that
// failed.
func statusOf(v structs.Verdict) int {
	switch v {
	case structs.NotRun:
		return exit.NotRun
	case structs.Ran:
		return exit.JobFailed
	}
	return exit.MayHaveRun
}

// fail prints the JSON form of an error and returns it with the exit status of
// its verdict.
func (s *session) fail(err error) error {
	s.printFailure(err)
	return exit.With(statusOf(client.Verdict(err)), err)
}

// failRead is fail for a command that only reads, of which a verdict says
// nothing.
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
