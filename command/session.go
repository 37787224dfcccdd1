package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

// session holds the client, input and outputs of one run of a command.
type session struct {
	client  *client.Client
	entries []string
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
	json    bool
}

// action returns the Action of a command that connects to the entries. args names
// its arguments, all of which are required.
func action(args []string, run func(context.Context, *cli.Command, *session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkArgs(c, len(args), len(args)); err != nil {
			return err
		}
		return withSession(ctx, c, run)
	}
}

func withSession(ctx context.Context, c *cli.Command, run func(context.Context, *cli.Command, *session) error) error {
	s, err := newSession(c)
	if err != nil {
		return err
	}
	defer s.client.Close()
	if d := c.Duration(flagTimeout); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	return run(ctx, c, s)
}

func newSession(c *cli.Command) (*session, error) {
	entries := c.StringSlice(flagEntry)
	if len(entries) == 0 {
		return nil, exit.Usagef("no entry URL given: use --%s URL or set %s", flagEntry, EntriesEnv)
	}
	cl, err := client.New(client.Options{Entries: entries, PublishToken: c.String(flagToken)})
	if err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	root := c.Root()
	return &session{
		client:  cl,
		entries: entries,
		in:      root.Reader,
		out:     root.Writer,
		errOut:  root.ErrWriter,
		json:    c.Bool(flagJSON),
	}, nil
}

// checkArgs checks the number of a command's arguments. A negative maxArgs means no
// upper bound.
func checkArgs(c *cli.Command, minArgs, maxArgs int) error {
	n := c.Args().Len()
	if n < minArgs || (maxArgs >= 0 && n > maxArgs) {
		return exit.Usagef("%s: got %d arguments, want: %s %s (see %s --help)",
			c.FullName(), n, c.FullName(), c.ArgsUsage, c.FullName())
	}
	return nil
}

// printf writes to standard output, unless JSON is requested.
func (s *session) printf(format string, args ...any) {
	if !s.json {
		fmt.Fprintf(s.out, format, args...)
	}
}

// printJSON writes v to standard output if JSON is requested.
func (s *session) printJSON(v any) error {
	if !s.json {
		return nil
	}
	return writeJSON(s.out, v)
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
