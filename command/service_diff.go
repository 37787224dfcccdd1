package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const flagFile = "file"

// Number of arguments of service diff.
const (
	minDiffArgs = 1
	maxDiffArgs = 3
)

func serviceDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the changes between two revisions, or between a revision and a file",
		ArgsUsage: "NAME [FROM [TO]]",
		Description: `Shows a unified diff between the revisions FROM and TO. TO defaults to the
revision in force, and FROM to the one before TO. With --file, shows the diff from
the document in force, or FROM if given, to the file.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Usage: "compare with this `FILE`", TakesFile: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkArgs(c, minDiffArgs, maxDiffArgs); err != nil {
				return err
			}
			return withSession(ctx, c, diffService)
		},
	}
}

// serviceDiff is the JSON form of the diff between two documents.
type serviceDiff struct {
	From structs.DocumentRecord `json:"from"`
	To   structs.DocumentRecord `json:"to"`
	Diff string                 `json:"diff"`
}

func diffService(ctx context.Context, c *cli.Command, s *session) error {
	d, err := s.diff(ctx, c)
	if err != nil && exit.Status(err) == exit.Usage {
		return err
	}
	if err != nil {
		return s.failRead(err)
	}
	s.printf("%s", d.Diff)
	return s.printJSON(d)
}

// revisions holds the arguments FROM and TO; nil if not given.
type revisions struct{ from, to *uint64 }

func diffArgs(c *cli.Command) (revisions, error) {
	var r revisions
	for i, dst := range []**uint64{&r.from, &r.to} {
		if c.Args().Len() < minDiffArgs+i+1 {
			return r, nil
		}
		n, err := parseRevision(c.Args().Get(minDiffArgs + i))
		if err != nil {
			return r, err
		}
		*dst = &n
	}
	if c.IsSet(flagFile) {
		return r, exit.Usagef("give either TO or --%s, not both", flagFile)
	}
	return r, nil
}

func (s *session) diff(ctx context.Context, c *cli.Command) (*serviceDiff, error) {
	args, err := diffArgs(c)
	if err != nil {
		return nil, err
	}
	name := c.Args().First()
	current, err := s.current(ctx, name)
	if err != nil {
		return nil, err
	}
	if c.IsSet(flagFile) {
		return s.diffToFile(ctx, c.String(flagFile), current, args.from)
	}
	d := &serviceDiff{To: current}
	if args.to != nil {
		if d.To, err = s.revision(ctx, name, *args.to); err != nil {
			return nil, err
		}
	}
	from := max(d.To.Revision, 1) - 1
	if args.from != nil {
		from = *args.from
	}
	if d.From, err = s.revision(ctx, name, from); err != nil {
		return nil, err
	}
	d.Diff = diffTexts(d.From, d.To, revisionName(d.To))
	return d, nil
}

func (s *session) diffToFile(ctx context.Context, file string, current structs.DocumentRecord, from *uint64) (*serviceDiff, error) {
	text, err := readFile(file, s.in)
	if err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	_, body, _ := cutBase(string(text))
	d := &serviceDiff{From: current, To: structs.DocumentRecord{Service: current.Service, Text: body}}
	if from != nil {
		if d.From, err = s.revision(ctx, current.Service, *from); err != nil {
			return nil, err
		}
	}
	d.Diff = diffTexts(d.From, d.To, file)
	return d, nil
}
