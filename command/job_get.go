package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

const flagWait = "wait"

// getPollWait is how long one request of job get --wait waits for the final
// answer; progress is updated after each request.
const getPollWait = time.Second

func jobGetCommand() *cli.Command {
	args := []string{"ID"}
	return &cli.Command{
		Name:      "get",
		Usage:     "print a job's answer",
		ArgsUsage: "ID",
		Description: `Prints the current answer of a job, or with --wait the final one. The exit status
reports the outcome, as for job submit; it is 0 for a running job.`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the job is final"},
			resultsFlag(),
		},
		Action: action(args, getJob),
	}
}

func getJob(ctx context.Context, c *cli.Command, s *session) error {
	id, err := parseJobID(c)
	if err != nil {
		return err
	}
	bar := newProgress(s.errOut)
	defer bar.clear()
	for {
		wait := time.Duration(0)
		if c.Bool(flagWait) {
			wait = getPollWait
		}
		a, err := s.client.Get(ctx, id, wait)
		if err != nil || wait == 0 || a.State.Final() {
			bar.clear()
			return s.finishJob(a, err, c.Bool(flagResults))
		}
		bar.job(a)
	}
}
