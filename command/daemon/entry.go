package daemon

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/entry"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "admit jobs from callers and place their tasks on agents",
		Description: `Runs an entry, one of a few instances behind the platform's load balancer. It
keeps its state in memory only. docs/OPERATORS.md lists the settings.`,
		Flags: roleFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkNoArgs(c); err != nil {
				return err
			}
			opts := entry.DefaultOptions()
			r := &role{
				settings: &opts,
				name:     func() string { return opts.Name },
				logLevel: func() string { return opts.LogLevel },
				start: func(l log.Logger) (process, error) {
					limitMemory(opts.MemoryMB)
					return entry.New(opts, l)
				},
			}
			return r.run(ctx, c)
		},
	}
}
