package daemon

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/agent"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "control admission to one backend server and run tasks on it",
		Description: `Runs an agent, the single process beside a backend server that decides whether a
task starts there. docs/OPERATORS.md lists the settings.`,
		Flags: roleFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkNoArgs(c); err != nil {
				return err
			}
			opts := agent.DefaultOptions()
			r := &role{
				settings: &opts,
				name:     func() string { return opts.Name },
				logLevel: func() string { return opts.LogLevel },
				start: func(l log.Logger) (process, error) {
					opts.LimitProcess()
					return agent.New(opts, l)
				},
			}
			return r.run(ctx, c)
		},
	}
}
