package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

const flagWait = "wait"

// getPoll is how long one request of job get waits, so that progress shows.
const getPoll = time.Second

func jobGetCommand() *cli.Command {
	args := []string{"ID"}
	return &cli.Command{
		Name:      "get",
		Usage:     "print a job's answer",
		ArgsUsage: "ID",
		Description: `Prints the answer of a job as it is, or waits for the final one with --wait.
The exit status tells the outcome, as for job submit; a running job gives 0.`,
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
			wait = getPoll
		}
		a, err := s.client.Get(ctx, id, wait)
		if err != nil || wait == 0 || a.State.Final() {
			bar.clear()
			return s.finishJob(a, err, c.Bool(flagResults))
		}
		bar.job(a)
	}
}
