package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "publish and inspect service documents",
		Commands: []*cli.Command{
			serviceListCommand(),
			serviceGetCommand(),
			serviceApplyCommand(),
			serviceHistoryCommand(),
			serviceDiffCommand(),
			serviceRollbackCommand(),
			serviceDrainCommand(),
		},
	}
}

// current returns the document in force of a service, or a record without text if
// there is none.
func (s *session) current(ctx context.Context, name string) (structs.DocumentRecord, error) {
	rec, err := s.client.Service(ctx, name)
	if isNotFound(err) {
		return structs.DocumentRecord{Service: name}, nil
	}
	if err != nil {
		return structs.DocumentRecord{}, err
	}
	return *rec, nil
}

// revision returns a retained revision of a document. Revision 0 is the empty
// document before the first one.
func (s *session) revision(ctx context.Context, name string, revision uint64) (structs.DocumentRecord, error) {
	if revision == 0 {
		return structs.DocumentRecord{Service: name}, nil
	}
	history, err := s.client.History(ctx, name)
	if err != nil {
		return structs.DocumentRecord{}, err
	}
	for _, rec := range history {
		if rec.Revision == revision {
			return rec, nil
		}
	}
	return structs.DocumentRecord{}, fmt.Errorf("service %s: revision %d does not exist or is no longer retained", name, revision)
}

func isNotFound(err error) bool {
	var e *structs.Error
	return errors.As(err, &e) && e.Code == structs.CodeNotFound
}

func isConflict(err error) bool {
	var e *structs.Error
	return errors.As(err, &e) && e.Code == structs.CodeConflict
}

// parseRevision parses a revision given as an argument.
func parseRevision(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, exit.Usagef("revision %q: want a number", text)
	}
	return n, nil
}

// diffTexts returns the change from one record to another as a unified diff with a
// header, or an empty text if there is no change.
func diffTexts(from, to structs.DocumentRecord, toName string) string {
	change := document.Diff(from.Text, to.Text)
	if change == "" {
		return ""
	}
	return fmt.Sprintf("--- %s revision %d\n+++ %s %s\n%s", from.Service, from.Revision, from.Service, toName, change)
}

func revisionName(rec structs.DocumentRecord) string { return fmt.Sprintf("revision %d", rec.Revision) }
