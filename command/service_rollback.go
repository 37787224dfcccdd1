package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func serviceRollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "publish the text of an earlier revision as a new revision",
		ArgsUsage: "NAME REVISION",
		Description: `Publishes the text of a retained revision again, as a new revision based on the one
in force. Revision numbers only increase.`,
		Flags:  publishFlags(),
		Action: action([]string{"NAME", "REVISION"}, rollbackService),
	}
}

func rollbackService(ctx context.Context, c *cli.Command, s *session) error {
	name := c.Args().First()
	to, err := parseRevision(c.Args().Get(1))
	if err != nil {
		return err
	}
	current, err := s.current(ctx, name)
	if err != nil {
		return s.failRead(err)
	}
	old, err := s.revision(ctx, name, to)
	if err != nil {
		return s.failRead(err)
	}
	return s.publish(ctx, c, name, structs.Edit{Base: current.Revision, Text: old.Text})
}
