package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
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
	// flagProcessors is one of the platform's entries only.
	flagProcessors = "processors"
)

// process is an entry or agent, which runs until its context is canceled.
type process interface {
	Run(ctx context.Context) error
}

// role describes how a kind of process is configured, started and reloaded.
type role struct {
	settings any // pointer to a struct; holds the defaults before loading
	// name and logLevel return these values from the loaded settings.
	name, logLevel func() string
	start          func(log.Logger) (process, error)
	// prepareReload is settingsWatcher.prepare for the running process; nil if its
	// settings cannot be reloaded.
	prepareReload func(process) (settings any, apply func())
	// file is the path of the settings file; empty for that of the --config flag.
	file string
	// logOutput returns the destination of log lines, which are then written without
	// blocking the process; nil for standard error, with writes that may block.
	logOutput func(root *cli.Command) io.Writer
}

func roleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` in TOML", Required: true, TakesFile: true},
		&cli.BoolFlag{Name: flagCheck, Usage: "only check the settings"},
	}
}

// run loads the settings and, unless they are only to be checked, runs the process.
func (r *role) run(ctx context.Context, c *cli.Command) error {
	var hangups <-chan os.Signal
	if r.prepareReload != nil {
		hangups = catchHangups() // first, because a SIGHUP may come while the process starts
	}
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
	if r.logOutput != nil {
		w := asynclog.New(r.logOutput(root))
		defer w.Close()
		logs = w
	}
	logger := logging.New(logs, r.name(), r.logLevel())
	p, err := r.start(logger)
	if err != nil {
		return err
	}
	if r.prepareReload != nil {
		w := &settingsWatcher{file: file, logger: logger, prepare: func() (any, func()) { return r.prepareReload(p) }}
		go w.run(ctx, hangups)
	}
	return p.Run(ctx)
}

func checkNoArgs(c *cli.Command) error {
	if c.Args().Present() {
		return exit.Usagef("%s: unknown argument %q (see %s --help)", c.FullName(), c.Args().First(), c.FullName())
	}
	return nil
}

const (
	// memoryLimitFraction is the memory limit of the Go runtime as a fraction of the
	// instance's memory. Above the limit the runtime collects garbage more often;
	// the rest is for memory that it does not count.
	memoryLimitFraction = 0.6
	bytesPerMB          = 1 << 20
)

// limitMemory sets the runtime's soft memory limit for an instance with mb MiB of
// memory.
func limitMemory(mb int) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * bytesPerMB))
}
