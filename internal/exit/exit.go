// Package exit holds the exit statuses of the programs, and runs a command line
// so that each error ends in one of them.
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
	Failure    = 1 // any failure that is not one of the others
	Usage      = 2 // wrong arguments, settings or document; nothing was done
	NotRun     = 3 // refused or failed; it certainly did not run or take effect
	MayHaveRun = 4 // it may have run or taken effect
	JobFailed  = 5 // the job failed after a task of it had run
)

// Error is an error with an exit status.
type Error struct {
	Status int
	Err    error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the error without the status.
func (e *Error) Unwrap() error { return e.Err }

// With returns err with an exit status; nil if err is nil.
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

// Status returns the exit status of an error.
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

// Run runs a command line, prints its error to the root's ErrWriter, and returns
// the exit status.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	prepare(root)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(root.ErrWriter, named(root.Name, err))
	}
	return Status(err)
}

// named returns the error's text with the program's name in front.
func named(program string, err error) string {
	text := err.Error()
	if strings.HasPrefix(text, program) {
		return text // usage errors name the whole command
	}
	return program + ": " + text
}

// prepare makes the library's own complaints usage errors, and lets a command
// that only groups others refuse unknown ones.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return Usagef("%s: %w (%s --help says more)", c.FullName(), err, c.FullName())
	}
	if c.Action == nil {
		c.Action = refuseGroup
	}
	for _, sub := range c.Commands {
		prepare(sub)
	}
}

func refuseGroup(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return Usagef("%s: no command %q (%s --help lists them)", c.FullName(), name, c.FullName())
	}
	return Usagef("%s: a command is missing (%s --help lists them)", c.FullName(), c.FullName())
}
