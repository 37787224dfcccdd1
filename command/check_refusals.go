package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/refusals"
)

const flagPossible = "possible"

// errStartedAfterRefusal is the error of a check that is certain of a finding.
var errStartedAfterRefusal = errors.New("jobs that were started although they were refused as not run")

func checkRefusalsCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-refusals",
		Usage:     "find refused jobs that were started, in the logs of all processes",
		ArgsUsage: "FILE...",
		Description: `Reads the logs of all entries and agents on the users' platform ("-" reads standard
input) without connecting to any process. The lines of several processes may be
mixed, out of order, and have a prefix. Prints each job of which a task was started
although an entry had told the caller that the job does not run, with all lines that
name the job in order of time. Exit status 1 if there is such a job; jobs of which
that is possible, but not shown by the lines, are only counted without --possible.
Exit status 2 if a file cannot be read.`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagPossible, Usage: "print jobs of which it is possible too"},
		},
		Action: checkRefusals,
	}
}

func checkRefusals(_ context.Context, c *cli.Command) error {
	if err := checkArgs(c, 1, -1); err != nil {
		return err
	}
	root := c.Root()
	var log refusals.Log
	for _, file := range c.Args().Slice() {
		if err := readLog(&log, file, root.Reader); err != nil {
			return exit.With(exit.Usage, fmt.Errorf("%s: %w", file, err))
		}
	}
	findings := log.Findings()
	certain := 0
	printed := []refusals.Finding{}
	for _, f := range findings {
		if f.Certain {
			certain++
		}
		if f.Certain || c.Bool(flagPossible) {
			printed = append(printed, f)
		}
	}
	if err := printRefusals(c, printed); err != nil {
		return err
	}
	fmt.Fprintf(root.ErrWriter, "certain: %d, possible: %d; lines that were dropped by processes: %d, unreadable: %d\n",
		certain, len(findings)-certain, log.Dropped, log.Unreadable)
	if certain > 0 {
		return exit.With(exit.Failure, fmt.Errorf("%w: %d", errStartedAfterRefusal, certain))
	}
	return nil
}

func readLog(log *refusals.Log, file string, in io.Reader) error {
	if file == stdinName {
		return log.Read(in)
	}
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(f)
}

func printRefusals(c *cli.Command, findings []refusals.Finding) error {
	out := c.Root().Writer
	if c.Bool(flagJSON) {
		return writeJSON(out, findings)
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}
