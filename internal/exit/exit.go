// Package exit defines the exit statuses of the programs and runs a command
// line so that every error is mapped to one of them.
package exit

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Exit statuses.
const (
	OK         = 0
	Failure    = 1 // any failure without a status of its own
	Usage      = 2 // invalid arguments, settings or document; nothing was done
	NotRun     = 3 // rejected or failed, and certain not to have run or taken effect
	MayHaveRun = 4 // outcome in doubt: it may have run or taken effect
	JobFailed  = 5 // the job failed after at least one of its tasks had run
)

// Error is an error with an exit status.
type Error struct {
	Status int
	Err    error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error, without the status.
func (e *Error) Unwrap() error { return e.Err }

// With attaches an exit status to err. It returns nil if err is nil.
func With(status int, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Status: status, Err: err}
}

// Usagef returns an error with the status Usage.
func Usagef(format string, args ...any) error {
	return With(Usage, fmt.Errorf(format, args...))
}

// Status returns the exit status for err: the attached one, OK for nil, and
// Failure for an error without a status.
func Status(err error) int {
	var e *Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &e):
		return e.Status
	}
	return Failure
}

// Run runs a command line, prints its error, if any, to the root command's
// ErrWriter, and returns the exit status.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	configureUsageErrors(root)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(root.ErrWriter, withProgramName(root.Name, err))
	}
	return Status(err)
}

// withProgramName returns the error's text prefixed with the program's name.
func withProgramName(program string, err error) string {
	text := err.Error()
	if strings.HasPrefix(text, program) {
		return text // usage errors start with the full command name
	}
	return program + ": " + text
}

// configureUsageErrors gives the CLI library's own errors the status Usage, and
// makes a command that only groups subcommands reject a missing or unknown one.
func configureUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return Usagef("%s: %w (see %s --help)", c.FullName(), err, c.FullName())
	}
	if c.Action == nil {
		c.Action = rejectMissingSubcommand
	}
	for _, sub := range c.Commands {
		configureUsageErrors(sub)
	}
}

func rejectMissingSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return Usagef("%s: unknown command %q (see %s --help for the list)", c.FullName(), name, c.FullName())
	}
	return Usagef("%s: missing command (see %s --help for the list)", c.FullName(), c.FullName())
}
