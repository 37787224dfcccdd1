package daemon

import (
	"context"
	"fmt"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Names of the flags of a role.
const (
	flagConfig = "config"
	flagCheck  = "check"
)

// process is a role that serves until its context is canceled.
type process interface {
	Run(ctx context.Context) error
}

// role is one kind of process with its settings.
type role struct {
	settings any // pointer; holds the defaults before loading
	// name and logLevel are read from the loaded settings.
	name, logLevel func() string
	start          func(log.Logger) (process, error)
}

func roleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` in TOML", Required: true, TakesFile: true},
		&cli.BoolFlag{Name: flagCheck, Usage: "only check the settings"},
	}
}

// run loads the settings and runs the process.
func (r *role) run(ctx context.Context, c *cli.Command) error {
	file := c.String(flagConfig)
	if err := settings.Load(file, r.settings); err != nil {
		return exit.With(exit.Usage, err)
	}
	root := c.Root()
	if c.Bool(flagCheck) {
		fmt.Fprintf(root.Writer, "%s: ok\n", file)
		return nil
	}
	p, err := r.start(logging.New(root.ErrWriter, r.name(), r.logLevel()))
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

func checkNoArgs(c *cli.Command) error {
	if c.Args().Present() {
		return exit.Usagef("%s: unknown argument %q (%s --help says more)", c.FullName(), c.Args().First(), c.FullName())
	}
	return nil
}
