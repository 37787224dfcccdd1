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
		Usage:     "print the internal state of processes",
		ArgsUsage: "[PROCESS...]",
		Description: `Prints the internal state of each process as JSON, limited in size. PROCESS is the
base URL of the HTTP address of an entry or agent, or the name of an entry.
Without PROCESS, the command prints the state of each --entry. The output for
several processes is one JSON object with PROCESS as the key.`,
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

// processURL returns the base URL of a process that is given as a URL or as the
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
	return "", exit.Usagef("no live entry has the name %q; give an agent as the URL of its HTTP address", process)
}

func entryURL(addr string) string { return "http://" + addr }
