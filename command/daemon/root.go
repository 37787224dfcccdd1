package daemon

import (
	"io"

	"github.com/urfave/cli/v3"
)

const rootDescription = `Runs one role until SIGTERM or SIGINT, which starts a graceful stop: the process
accepts no new work and finishes what is running. A further SIGINT terminates it
immediately.

Log lines go to standard error, one key=value line per event; those of the
platform commands go to standard output.

Exit status:
   0  stopped gracefully, or --check found nothing wrong
   1  failed, or the graceful stop was interrupted
   2  invalid arguments or settings; all errors are reported`

// New returns the root command with its standard output and error.
func New(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "chestnuthollowd",
		Usage:                 "run a process of the dispatcher",
		Description:           rootDescription,
		Writer:                out,
		ErrWriter:             errOut,
		HideHelpCommand:       true,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			allInOneCommand(),
			platformCommand(),
		},
	}
}
