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

// TokenEnv is the environment variable that holds the publish token.
const TokenEnv = "CHESTNUTHOLLOW_TOKEN"

const serviceApplyDescription = `Checks a document and publishes it ("-" reads standard input). The edit is based
on the revision given with --base, else on that in the comment line written by
service get, else on 0, for a service that has no document yet. If another edit
of that revision was accepted first, nothing is published, and the command shows
the accepted change.

With --wait the command returns when every live process has the revision in
force. When --wait-timeout ends, it lists the processes that do not (exit status
1; the edit remains published).`

func serviceApplyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "publish a service's document",
		ArgsUsage:   "FILE",
		Description: serviceApplyDescription,
		Flags: append(publishFlags(),
			&cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` on which the edit is based"},
			&cli.StringFlag{Name: flagEditID, Usage: "unique `ID` of the edit, for publishing it again after a lost response"},
		),
		Action: action([]string{"FILE"}, applyService),
	}
}

// publishFlags returns the flags common to the commands that publish.
func publishFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the revision is in force at every live process"},
		&cli.DurationFlag{Name: flagWaitTimeout, Usage: "time limit of --wait", Value: defaultWaitTimeout},
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
	doc, err := document.ParseStrict(string(text)) // with the base comment, so that line numbers are those of the file
	if err != nil {
		return exit.Usagef("%s: %w", file, err)
	}
	edit := structs.Edit{EditID: c.String(flagEditID), Base: base, Text: body}
	return s.publish(ctx, c, doc.Service, edit)
}

// publishResult is the JSON form of the result of a command that publishes: the
// accepted edit, or the record in force if there was nothing to change.
type publishResult struct {
	Record structs.DocumentRecord `json:"record"`
	// InForce reports whether every live process has the revision in force;
	// absent without --wait.
	InForce *bool             `json:"in_force,omitempty"`
	Behind  []processRevision `json:"behind,omitempty"`
}

// publish publishes an edit. With --wait it also waits until the new revision is in
// force.
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
		return s.printJSON(publishResult{Record: *rec})
	}
	behind, err := s.waitInForce(ctx, rec, c.Duration(flagWaitTimeout))
	if err != nil {
		return s.failRead(err)
	}
	inForce := len(behind) == 0
	if err := s.printJSON(publishResult{Record: *rec, InForce: &inForce, Behind: behind}); err != nil {
		return err
	}
	if !inForce {
		return notInForceError(rec, behind)
	}
	s.printf("service %s: revision %d is in force everywhere\n", service, rec.Revision)
	return nil
}

// publishFailed reports an edit that was refused or is in doubt.
func (s *session) publishFailed(ctx context.Context, service string, edit structs.Edit, err error) error {
	if isConflict(err) {
		return s.reportConflict(ctx, service, edit, err)
	}
	wrapped := fmt.Errorf("service %s: not published: %w", service, err)
	if exitStatus(client.Verdict(err)) != exit.NotRun {
		wrapped = fmt.Errorf("service %s: edit %s may have been published (to find out, repeat the command with --%s %s): %w",
			service, edit.EditID, flagEditID, edit.EditID, err)
	}
	return s.fail(wrapped)
}

// conflictFailure is the JSON form of the failure of an edit whose base revision
// is no longer in force.
type conflictFailure struct {
	Error *structs.Error `json:"error"`
	// Current is the document in force, and Change the diff to it from the
	// revision on which the edit is based.
	Current structs.DocumentRecord `json:"current"`
	Change  string                 `json:"change"`
}

// reportConflict reports a conflict and shows the change that was accepted instead.
// Parts that cannot be fetched are omitted.
func (s *session) reportConflict(ctx context.Context, service string, edit structs.Edit, err error) error {
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
	s.printf("The edit conflicts with this change:\n%s", f.Change)
	return exit.With(exit.NotRun, fmt.Errorf("service %s: not published: %w", service, err))
}
