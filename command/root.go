package command

import (
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the flags that every command has.
const (
	flagEntry   = "entry"
	flagJSON    = "json"
	flagTimeout = "timeout"
)

// EntriesEnv is the environment variable with the entries' URLs.
const EntriesEnv = "CHESTNUTHOLLOW_ENTRIES"

const rootDescription = `Callers submit jobs; operators publish their service's document and look at
the system. Any entry takes any request; give several for failing over.

Exit status:
   0  done; for a job: complete, with every result
   1  failed in a way that none of the others names
   2  wrong arguments, settings or document; nothing was done
   3  not run: refused or failed, and it certainly did not run or take effect
   4  may have run: the answer is lost or the outcome is not known
   5  the job failed after a task of it had run

With --json, standard output is one JSON value, also for a failure.
Errors and progress go to standard error.`

// New returns the command line with its input and outputs.
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
			loadCommand(),
		},
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagEntry,
			Usage:   "base `URL` of an entry or of the balancer; may be repeated",
			Sources: cli.EnvVars(EntriesEnv),
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		&cli.DurationFlag{
			Name:  flagTimeout,
			Usage: "give up after this long; 0 for never",
			Value: time.Minute,
		},
	}
}
