package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "ID",
		Description: `Cancels a job and prints its final answer. Tasks that have not started never
start. Started tasks finish or are stopped, as set in the service's document.
The exit status reports the outcome: 3 if no task ran, 5 if a task ran, 4 if a
task may have run, and 0 if the job had already completed.`,
		Action: action([]string{"ID"}, cancelJob),
	}
}

func cancelJob(ctx context.Context, c *cli.Command, s *session) error {
	id, err := parseJobID(c)
	if err != nil {
		return err
	}
	a, err := s.client.Cancel(ctx, id)
	return s.finishJob(a, err, false)
}
