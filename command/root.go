package command

import (
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the global flags.
const (
	flagEntry   = "entry"
	flagJSON    = "json"
	flagTimeout = "timeout"
)

// EntriesEnv is the environment variable with the entries' URLs.
const EntriesEnv = "CHESTNUTHOLLOW_ENTRIES"

const rootDescription = `Callers submit jobs; operators publish the document of their service and inspect
the system. Any entry accepts any request; give several entries for failover.

Exit status:
   0  success; for a job: complete, with every result
   1  any failure other than those below
   2  invalid arguments, settings or document; nothing was done
   3  not run: refused or failed, and certainly did not run or take effect
   4  may have run: the response was lost or the outcome is unknown
   5  the job failed after one of its tasks had run

With --json, standard output is one JSON value, also on failure.
Errors and progress go to standard error.`

// New returns the root command with its standard input, output and error.
func New(in io.Reader, out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "chestnuthollow",
		Usage:                 "submit jobs and operate services",
		Description:           rootDescription,
		Reader:                in,
		Writer:                out,
		ErrWriter:             errOut,
		HideHelpCommand:       true,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		Commands: []*cli.Command{
			jobCommand(),
			serviceCommand(),
			statusCommand(),
			dumpCommand(),
			checkCommand(),
			checkRefusalsCommand(),
			configCommand(),
			loadCommand(),
		},
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagEntry,
			Usage:   "base `URL` of an entry or of the load balancer; may be repeated",
			Sources: cli.EnvVars(EntriesEnv),
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		&cli.DurationFlag{
			Name:  flagTimeout,
			Usage: "time limit of the command; 0 for none",
			Value: time.Minute,
		},
	}
}
