package command

import (
	"context"
	"fmt"
	"regexp"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const flagRevision = "revision"

func serviceGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print a service's document",
		ArgsUsage: "NAME",
		Description: `Prints the document in force, or another retained revision. The first line is a
comment with the revision number. service apply uses that revision as the base
of the edit and does not publish the comment.

   chestnuthollow service get booking > booking.toml
   $EDITOR booking.toml
   chestnuthollow service apply --wait booking.toml`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagRevision, Usage: "a retained revision instead of the one in force"},
		},
		Action: action([]string{"NAME"}, getService),
	}
}

func getService(ctx context.Context, c *cli.Command, s *session) error {
	rec, err := s.getRecord(ctx, c)
	if err != nil {
		return s.failRead(err)
	}
	s.printf("%s%s", baseComment(rec.Revision), rec.Text)
	return s.printJSON(rec)
}

func (s *session) getRecord(ctx context.Context, c *cli.Command) (structs.DocumentRecord, error) {
	name := c.Args().First()
	if c.IsSet(flagRevision) {
		return s.revision(ctx, name, c.Uint64(flagRevision))
	}
	rec, err := s.client.Service(ctx, name)
	if err != nil {
		return structs.DocumentRecord{}, err
	}
	return *rec, nil
}

var basePattern = regexp.MustCompile(`\A# chestnuthollow revision (\d+)\n`)

// baseComment returns the comment line that records the revision on which a file is
// based.
func baseComment(revision uint64) string {
	return fmt.Sprintf("# chestnuthollow revision %d\n", revision)
}

// cutBase removes the base comment from a document's text and returns its
// revision.
func cutBase(text string) (base uint64, rest string, found bool) {
	m := basePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, text, false
	}
	base, err := strconv.ParseUint(m[1], 10, 64)
	if err != nil {
		return 0, text, false
	}
	return base, text[len(m[0]):], true
}
