package command_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/command"
	"github.com/chestnuthollow/chestnuthollow/command/daemon"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

// TestHelp compares the help text of every command with the golden files. go test
// -update rewrites them.
func TestHelp(t *testing.T) {
	programs := map[string]func(out, errOut io.Writer) *cli.Command{
		"chestnuthollow":  func(out, errOut io.Writer) *cli.Command { return command.New(nil, out, errOut) },
		"chestnuthollowd": daemon.New,
	}
	for name, program := range programs {
		t.Run(name, func(t *testing.T) {
			t.Setenv(command.EntriesEnv, "")
			t.Setenv(command.TokenEnv, "")
			g := NewWithT(t)
			var help bytes.Buffer
			for _, path := range commandPaths(program(nil, nil), []string{name}) {
				root := program(&help, &help)
				g.Expect(exit.Run(t.Context(), root, append(path, "--help"))).To(Equal(exit.OK))
				help.WriteString("\n")
			}
			goldie.New(t).Assert(t, name, help.Bytes())
		})
	}
}

// commandPaths returns the command line of a command and of all its subcommands.
func commandPaths(c *cli.Command, path []string) [][]string {
	paths := [][]string{path}
	for _, sub := range c.Commands {
		below := append(append([]string{}, path...), sub.Name)
		paths = append(paths, commandPaths(sub, below)...)
	}
	return paths
}
