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
		Usage:     "show the change between two revisions, or to a file",
		ArgsUsage: "NAME [FROM [TO]]",
		Description: `Shows a unified diff. FROM is the revision before TO unless given, and TO the
one in force. With --file the change goes from the document in force, or FROM,
to the file.`,
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

// serviceDiff is the JSON form of a change.
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

func (s *session) diff(ctx context.Context, c *cli.Command) (*serviceDiff, error) {
	args := c.Args()
	current, err := s.current(ctx, args.First())
	if err != nil {
		return nil, err
	}
	if c.IsSet(flagFile) {
		return s.diffToFile(ctx, c, current)
	}
	d := &serviceDiff{To: current}
	if args.Len() == maxDiffArgs {
		if d.To, err = s.revisionArg(ctx, args.First(), args.Get(2)); err != nil {
			return nil, err
		}
	}
	if args.Len() > minDiffArgs {
		d.From, err = s.revisionArg(ctx, args.First(), args.Get(1))
	} else {
		d.From, err = s.revision(ctx, args.First(), max(d.To.Revision, 1)-1)
	}
	if err != nil {
		return nil, err
	}
	d.Diff = diffTexts(d.From, d.To, revisionName(d.To))
	return d, nil
}

func (s *session) diffToFile(ctx context.Context, c *cli.Command, current structs.DocumentRecord) (*serviceDiff, error) {
	args := c.Args()
	if args.Len() == maxDiffArgs {
		return nil, exit.Usagef("give either TO or --%s, not both", flagFile)
	}
	text, err := readFile(c.String(flagFile), s.in)
	if err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	_, body, _ := cutBase(string(text))
	d := &serviceDiff{From: current, To: structs.DocumentRecord{Service: current.Service, Text: body}}
	if args.Len() > minDiffArgs {
		if d.From, err = s.revisionArg(ctx, args.First(), args.Get(1)); err != nil {
			return nil, err
		}
	}
	d.Diff = diffTexts(d.From, d.To, c.String(flagFile))
	return d, nil
}

func (s *session) revisionArg(ctx context.Context, name, text string) (structs.DocumentRecord, error) {
	n, err := parseRevision(text)
	if err != nil {
		return structs.DocumentRecord{}, err
	}
	return s.revision(ctx, name, n)
}
