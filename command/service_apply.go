package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Names of the flags of commands that publish.
const (
	flagBase        = "base"
	flagEditID      = "edit-id"
	flagToken       = "token"
	flagWaitTimeout = "wait-timeout"
)

// TokenEnv is the environment variable with the publish token.
const TokenEnv = "CHESTNUTHOLLOW_TOKEN"

const serviceApplyDescription = `Checks a document and publishes it ("-" reads standard input). The edit is based
on a revision: that of the comment which service get wrote, or --base, or 0 for a
service that has no document yet. If another edit was accepted meanwhile, this
one changes nothing, and the command shows the other's change.

With --wait it returns when every live process has the revision in force, and
names those that have not when --wait-timeout ends (exit status 1; the edit is
published all the same).`

func serviceApplyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "publish a service's document",
		ArgsUsage:   "FILE",
		Description: serviceApplyDescription,
		Flags: append(publishFlags(),
			&cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the edit is based on"},
			&cli.StringFlag{Name: flagEditID, Usage: "unique `ID` of the edit, to publish it again after a lost answer"},
		),
		Action: action([]string{"FILE"}, applyService),
	}
}

// publishFlags are those of every command that publishes.
func publishFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the revision is in force everywhere"},
		&cli.DurationFlag{Name: flagWaitTimeout, Usage: "how long to wait", Value: defaultWaitTimeout},
		&cli.StringFlag{Name: flagToken, Usage: "publish `TOKEN` of the entries", Sources: cli.EnvVars(TokenEnv), HideDefault: true},
	}
}

func applyService(ctx context.Context, c *cli.Command, s *session) error {
	file := c.Args().First()
	text, err := readFile(file, s.in)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	base, body, _ := cutBase(string(text))
	if c.IsSet(flagBase) {
		base = c.Uint64(flagBase)
	}
	doc, err := document.ParseStrict(string(text)) // whole, for the line numbers
	if err != nil {
		return exit.Usagef("%s: %w", file, err)
	}
	edit := structs.Edit{EditID: c.String(flagEditID), Base: base, Text: body}
	return s.publish(ctx, c, doc.Service, edit)
}

// published is the JSON form of an accepted edit.
type published struct {
	Record structs.DocumentRecord `json:"record"`
	// InForce says that every live process has the revision; absent without
	// --wait.
	InForce *bool       `json:"in_force,omitempty"`
	Behind  []processAt `json:"behind,omitempty"`
}

// publish publishes an edit, and waits for it if the command has --wait.
func (s *session) publish(ctx context.Context, c *cli.Command, service string, edit structs.Edit) error {
	if edit.EditID == "" {
		edit.EditID = uuid.NewString()
	}
	rec, err := s.client.Apply(ctx, service, edit)
	if err != nil {
		return s.publishFailed(ctx, service, edit, err)
	}
	s.printf("service %s: revision %d published\n", service, rec.Revision)
	if !c.Bool(flagWait) {
		return s.printJSON(published{Record: *rec})
	}
	behind, err := s.waitInForce(ctx, rec, c.Duration(flagWaitTimeout))
	if err != nil {
		return s.failRead(err)
	}
	inForce := len(behind) == 0
	if err := s.printJSON(published{Record: *rec, InForce: &inForce, Behind: behind}); err != nil {
		return err
	}
	if !inForce {
		return behindError(rec, behind)
	}
	s.printf("service %s: revision %d is in force everywhere\n", service, rec.Revision)
	return nil
}

// publishFailed explains an edit that was not accepted, or not known to be.
func (s *session) publishFailed(ctx context.Context, service string, edit structs.Edit, err error) error {
	if isConflict(err) {
		return s.conflict(ctx, service, edit, err)
	}
	wrapped := fmt.Errorf("service %s: not published: %w", service, err)
	if statusOf(client.Verdict(err)) != exit.NotRun {
		wrapped = fmt.Errorf("service %s: edit %s may have been published (the same command with --%s %s finds out): %w",
			service, edit.EditID, flagEditID, edit.EditID, err)
	}
	return s.fail(wrapped)
}

// conflictFailure is the JSON form of an edit that lost against another.
type conflictFailure struct {
	Error *structs.Error `json:"error"`
	// Current is the document in force, and Change how it differs from the
	// revision that the edit was based on.
	Current structs.DocumentRecord `json:"current"`
	Change  string                 `json:"change"`
}

// conflict shows the change that won. What cannot be fetched is left out.
func (s *session) conflict(ctx context.Context, service string, edit structs.Edit, err error) error {
	f := conflictFailure{}
	errors.As(err, &f.Error)
	f.Current, _ = s.current(ctx, service)
	base, baseErr := s.revision(ctx, service, edit.Base)
	if baseErr == nil {
		f.Change = diffTexts(base, f.Current, revisionName(f.Current))
	}
	if err := s.printJSON(f); err != nil {
		return err
	}
	s.printf("The change that won:\n%s", f.Change)
	return exit.With(exit.NotRun, fmt.Errorf("service %s: not published: %w", service, err))
}
