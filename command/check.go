package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Kinds of files that the check command accepts.
const (
	kindDocument = "document"
	kindEntry    = "entry"
	kindAgent    = "agent"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check service documents or settings files",
		ArgsUsage: "FILE...",
		Description: `Checks files without connecting to any process ("-" reads standard input) and
reports the errors in each. Exit status 2 if a file is invalid.`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:      flagKind,
				Usage:     "kind of the files: " + strings.Join([]string{kindDocument, kindEntry, kindAgent}, ", "),
				Value:     kindDocument,
				Validator: validKind,
			},
		},
		Action: checkFiles,
	}
}

func validKind(kind string) error {
	switch kind {
	case kindDocument, kindEntry, kindAgent:
		return nil
	}
	return fmt.Errorf("want %s, %s or %s", kindDocument, kindEntry, kindAgent)
}

// fileCheck is the JSON form of the outcome of checking one file.
type fileCheck struct {
	File  string `json:"file"`
	OK    bool   `json:"ok"`
	Error string `json:"error,omitempty"`
}

func checkFiles(_ context.Context, c *cli.Command) error {
	if err := checkArgs(c, 1, -1); err != nil {
		return err
	}
	root := c.Root()
	var results []fileCheck
	var problems []error
	for _, file := range c.Args().Slice() {
		text, err := readFile(file, root.Reader)
		if err == nil {
			err = checkText(c.String(flagKind), file, string(text))
		}
		result := fileCheck{File: file, OK: err == nil}
		if err != nil {
			result.Error = err.Error()
			problems = append(problems, err)
		}
		results = append(results, result)
		if !c.Bool(flagJSON) && result.OK {
			fmt.Fprintf(root.Writer, "%s: ok\n", file)
		}
	}
	if c.Bool(flagJSON) {
		if err := writeJSON(root.Writer, results); err != nil {
			return err
		}
	}
	return exit.With(exit.Usage, errors.Join(problems...))
}

func checkText(kind, file, text string) error {
	switch kind {
	case kindEntry:
		opts := entry.DefaultOptions()
		return settings.Parse(file, text, &opts)
	case kindAgent:
		opts := agent.DefaultOptions()
		return settings.Parse(file, text, &opts)
	}
	if _, err := document.ParseStrict(text); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
