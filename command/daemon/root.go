package daemon

import (
	"io"

	"github.com/urfave/cli/v3"
)

const rootDescription = `Runs one role until SIGTERM or SIGINT, which stops it gracefully: it takes nothing
new and finishes what runs. A second signal ends it at once.

Log lines go to standard error, one key=value line per event.

Exit status:
   0  stopped gracefully, or --check found nothing wrong
   1  failed, or a graceful stop was cut short
   2  wrong arguments or settings; all mistakes are named`

// New returns the command line with its outputs.
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
