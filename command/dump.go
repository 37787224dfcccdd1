package command

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:      "dump",
		Usage:     "print the state of processes",
		ArgsUsage: "[PROCESS...]",
		Description: `Prints the state of each process as JSON, bounded in size. A process is named by
the base URL of its HTTP address, which also serves an agent's state, or, for an
entry, by its name. Without a process: each --entry. Several processes give an
object by process.`,
		Action: func(ctx context.Context, c *cli.Command) error {
			return withSession(ctx, c, dumpProcesses)
		},
	}
}

func dumpProcesses(ctx context.Context, c *cli.Command, s *session) error {
	processes := c.Args().Slice()
	if len(processes) == 0 {
		processes = s.entries
	}
	dumps := make(map[string]json.RawMessage, len(processes))
	for _, p := range processes {
		url, err := s.processURL(ctx, p)
		if err != nil {
			return s.failRead(err)
		}
		if dumps[p], err = s.client.Dump(ctx, url); err != nil {
			return s.failRead(err)
		}
	}
	if len(processes) == 1 {
		return writeJSON(s.out, dumps[processes[0]])
	}
	return writeJSON(s.out, dumps)
}

// processURL returns the base URL of a process, which is a URL already or the
// name of an entry.
func (s *session) processURL(ctx context.Context, process string) (string, error) {
	if strings.Contains(process, "://") {
		return process, nil
	}
	entries, err := s.client.Entries(ctx)
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		if e.Name == process {
			return entryURL(e.HTTPAddr), nil
		}
	}
	return "", exit.Usagef("no entry is called %q; name an agent by the URL of its HTTP address", process)
}

func entryURL(addr string) string { return "http://" + addr }
