package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/configcheck"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/platform"
)

const flagAgainst = "against"

// errFindings is the error of a check that found faults.
var errFindings = errors.New("the configuration has faults")

func configCommand() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "work with configurations of the users' platform",
		Commands: []*cli.Command{configCheckCommand()},
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration before it is sent",
		ArgsUsage: "FILE",
		Description: `Checks a configuration without connecting to any process ("-" reads standard
input). Reports errors, queues that no request can reach, and limits that contradict
each other; with --against also what differs from the version in force. Differences
alone are no fault. Exit status 1 if there are faults, 2 if a file cannot be read.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` with the version in force", TakesFile: true},
		},
		Action: checkConfig,
	}
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if err := checkArgs(c, 1, 1); err != nil {
		return err
	}
	next, err := readConfig(c, c.Args().First())
	if err != nil {
		return err
	}
	findings := configcheck.Check(next)
	if file := c.String(flagAgainst); file != "" {
		inForce, err := readConfig(c, file)
		if err != nil {
			return err
		}
		findings = append(findings, configcheck.Differences(inForce, next)...)
	}
	return printFindings(c, findings)
}

func readConfig(c *cli.Command, file string) (configcheck.Config, error) {
	text, err := readFile(file, c.Root().Reader)
	if err != nil {
		return configcheck.Config{}, exit.With(exit.Usage, err)
	}
	config, err := platform.DecodeForCheck(text)
	if err != nil {
		return configcheck.Config{}, exit.Usagef("%s: %w", file, err)
	}
	return config, nil
}

// printFindings prints the findings, and returns errFindings if one is a fault.
func printFindings(c *cli.Command, findings []configcheck.Finding) error {
	out := c.Root().Writer
	if c.Bool(flagJSON) {
		if err := writeJSON(out, append([]configcheck.Finding{}, findings...)); err != nil {
			return err
		}
	}
	faults := 0
	for _, f := range findings {
		if f.Kind != configcheck.Difference {
			faults++
		}
		if !c.Bool(flagJSON) {
			if _, err := fmt.Fprintln(out, f); err != nil {
				return err
			}
		}
	}
	if faults > 0 {
		return exit.With(exit.Failure, fmt.Errorf("%w: %d", errFindings, faults))
	}
	return nil
}
