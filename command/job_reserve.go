package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func jobReserveCommand() *cli.Command {
	return &cli.Command{
		Name:  "reserve",
		Usage: "reserve job ids",
		Description: `Reserves ids and prints them, one per line. An id is for one job. Store it before
submitting the job, so that the job can be submitted again under the same id
after any failure (job submit --id). An unused id expires after ten minutes.`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagCount, Usage: "number of ids", Value: 1},
		},
		Action: action(nil, reserveJobs),
	}
}

func reserveJobs(ctx context.Context, c *cli.Command, s *session) error {
	ids, err := s.client.ReserveN(ctx, c.Int(flagCount))
	if err != nil {
		return s.fail(err)
	}
	for _, id := range ids {
		s.printf("%s\n", id)
	}
	return s.printJSON(struct {
		IDs []structs.JobID `json:"ids"`
	}{ids})
}
