package command

import (
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const flagResults = "results"

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, follow and cancel jobs",
		Commands: []*cli.Command{
			jobSubmitCommand(),
			jobGetCommand(),
			jobCancelCommand(),
			jobReserveCommand(),
		},
	}
}

func resultsFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagResults, Usage: "print the result of every task"}
}

// finishJob prints a job's answer, if there is one, and returns the command's
// error, whose exit status reports the outcome of the job.
func (s *session) finishJob(a *structs.JobAnswer, err error, results bool) error {
	var failed *client.JobError
	if a == nil && errors.As(err, &failed) {
		a = failed.Answer
	}
	if a == nil {
		return s.fail(err)
	}
	if e := s.printJSON(a); e != nil {
		return e
	}
	s.printAnswer(a, results)
	return jobFailure(a)
}

func (s *session) printAnswer(a *structs.JobAnswer, results bool) {
	s.printf("job %s: %s, %d of %d tasks done\n", a.ID, a.State, a.Done, a.Total)
	for i := range a.Results {
		r := &a.Results[i]
		switch {
		case r.Error != nil:
			s.printf("task %d: %s\n", r.Index, r.Error)
		case a.State == structs.JobFailed:
			s.printf("task %d: %s\n", r.Index, r.Verdict)
		case results:
			s.printf("task %d: %s\n", r.Index, r.Body)
		}
	}
}

// jobFailure returns the error of a failed job; nil for a job in another state.
func jobFailure(a *structs.JobAnswer) error {
	if a.State != structs.JobFailed {
		return nil
	}
	v := structs.MayHaveRun
	reason := "no reason given"
	if a.Error != nil {
		v = a.Error.Verdict
		reason = a.Error.Error()
	}
	return exit.With(exitStatus(v), fmt.Errorf("job %s failed: %s", a.ID, reason))
}

// parseJobID parses the command's first argument.
func parseJobID(c *cli.Command) (structs.JobID, error) {
	id, err := structs.ParseJobID(c.Args().First())
	return id, exit.With(exit.Usage, err)
}
