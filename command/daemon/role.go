package daemon

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/asynclog"
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
	// again serves settings that change while the process runs, see
	// settingsWatch; nil if they do not.
	again func(process) (settings any, take func())
	// file is the settings file, that of the flag if empty.
	file string
	// logTo returns where log lines go, without blocking; nil for standard
	// error, which blocks.
	logTo func(root *cli.Command) io.Writer
}

func roleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` in TOML", Required: true, TakesFile: true},
		&cli.BoolFlag{Name: flagCheck, Usage: "only check the settings"},
	}
}

// run loads the settings and runs the process.
func (r *role) run(ctx context.Context, c *cli.Command) error {
	file := r.file
	if file == "" {
		file = c.String(flagConfig)
	}
	if err := settings.Load(file, r.settings); err != nil {
		return exit.With(exit.Usage, err)
	}
	root := c.Root()
	if c.Bool(flagCheck) {
		fmt.Fprintf(root.Writer, "%s: ok\n", file)
		return nil
	}
	logs := root.ErrWriter
	if r.logTo != nil {
		w := asynclog.New(r.logTo(root))
		defer w.Close()
		logs = w
	}
	logger := logging.New(logs, r.name(), r.logLevel())
	p, err := r.start(logger)
	if err != nil {
		return err
	}
	if r.again != nil {
		w := &settingsWatch{file: file, logger: logger, again: func() (any, func()) { return r.again(p) }}
		go w.run(ctx)
	}
	return p.Run(ctx)
}

func checkNoArgs(c *cli.Command) error {
	if c.Args().Present() {
		return exit.Usagef("%s: unknown argument %q (%s --help says more)", c.FullName(), c.Args().First(), c.FullName())
	}
	return nil
}

const (
	// memoryShare is the part of the instance's memory that the Go runtime may
	// take before it collects garbage harder; the rest covers what it does not
	// count.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
)

// limitMemory keeps the process within the instance's memory.
func limitMemory(mb int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(mb) * bytesPerMB))
}
