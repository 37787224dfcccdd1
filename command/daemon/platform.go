package daemon

import (
	"context"
	"io"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/gateway"
	"github.com/chestnuthollow/chestnuthollow/platform"
	"github.com/chestnuthollow/chestnuthollow/sidecar"
)

// platformCommand returns the commands that run the roles on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a role on the users' platform",
		Commands: []*cli.Command{
			platformEntryCommand(),
			platformAgentCommand(),
		},
	}
}

type platformEntrySettings struct {
	gateway.Options
	Platform platform.Settings `toml:"platform" validate:"required"`
}

func platformEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "admit callers' jobs from the platform's load balancer and place their tasks",
		Flags: append(platformFlags(), &cli.FloatFlag{
			Name: flagProcessors, Value: gateway.DefaultOptions().Processors, Usage: "processor time of the instance, in processors, if the settings do not state it",
			Sources: cli.EnvVars("CHESTNUTHOLLOW_PROCESSORS"),
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			opts := platformEntrySettings{Options: gateway.DefaultOptions()}
			if c.IsSet(flagProcessors) {
				opts.Processors = c.Float(flagProcessors)
			}
			return runPlatformRole(ctx, c, &role{
				settings: &opts,
				prepareReload: func(p process) (any, func()) {
					reloaded := &platformEntrySettings{Options: gateway.DefaultOptions()}
					return reloaded, func() { p.(*gateway.Gateway).Reload(reloaded.Options) }
				},
				name:     func() string { return opts.Name },
				logLevel: func() string { return opts.LogLevel },
				start: func(l log.Logger) (process, error) {
					limitMemory(opts.MemoryMB)
					return gateway.New(opts.Options, gateway.Platform{
						Store:           platform.NewStore(opts.Platform.StoreAddr),
						ConfigTopic:     platform.ConfigTopic,
						ConfigKey:       platform.ConfigKey,
						MembersTopic:    platform.MembersTopic,
						ConfigCopyTopic: platform.ConfigCopyTopic,
						DecodeConfig:    platform.DecodeConfig,
						Jobs:            platform.JobsHandler,
						Ready:           platform.ReadyHandler,

						EvacuationKeyPrefix: platform.EvacuationKeyPrefix,
					}, l)
				},
			})
		},
	}
}

type platformAgentSettings struct {
	sidecar.Options
	Platform platform.Settings `toml:"platform" validate:"required"`
}

func platformAgentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "control admission to one backend server whose tasks run under a lease",
		Flags: platformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			opts := platformAgentSettings{Options: sidecar.DefaultOptions()}
			return runPlatformRole(ctx, c, &role{
				settings: &opts,
				prepareReload: func(p process) (any, func()) {
					reloaded := &platformAgentSettings{Options: sidecar.DefaultOptions()}
					return reloaded, func() { p.(*sidecar.Sidecar).Reload(reloaded.Options) }
				},
				name:     func() string { return opts.Name },
				logLevel: func() string { return opts.LogLevel },
				start: func(l log.Logger) (process, error) {
					limitMemory(opts.MemoryMB)
					return sidecar.New(opts.Options, sidecar.Platform{
						Store:        platform.NewStore(opts.Platform.StoreAddr),
						MembersTopic: platform.MembersTopic,
						Server:       platform.NewServerClient(opts.Platform.ServerAddr),
						Heartbeats:   platform.HeartbeatHandler,

						ConfigTopic: platform.ConfigTopic, EvacuationKeyPrefix: platform.EvacuationKeyPrefix,
					}, l)
				},
			})
		},
	}
}

func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` in TOML; default: the platform's settings path", TakesFile: true},
		&cli.BoolFlag{Name: flagCheck, Usage: "only check the settings"},
	}
}

// runPlatformRole runs a role that logs to standard output, which the platform
// collects.
func runPlatformRole(ctx context.Context, c *cli.Command, r *role) error {
	if err := checkNoArgs(c); err != nil {
		return err
	}
	r.file = c.String(flagConfig)
	if r.file == "" {
		r.file = platform.SettingsPath()
	}
	r.logOutput = func(root *cli.Command) io.Writer { return root.Writer }
	return r.run(ctx, c)
}
