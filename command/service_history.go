package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

func serviceHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the retained revisions of a service's document, newest first",
		ArgsUsage: "NAME",
		Action:    action([]string{"NAME"}, serviceHistory),
	}
}

func serviceHistory(ctx context.Context, c *cli.Command, s *session) error {
	history, err := s.client.History(ctx, c.Args().First())
	if err != nil {
		return s.failRead(err)
	}
	if s.json {
		return s.printJSON(history)
	}
	w := tabwriter.NewWriter(s.out, zeroWidth, zeroWidth, tablePadding, ' ', 0)
	fmt.Fprintln(w, "REV\tPUBLISHED\tOFFSET\tEDIT")
	for _, rec := range history {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\n", rec.Revision, publishedAt(rec.Published), rec.Offset, rec.EditID)
	}
	return w.Flush()
}

func publishedAt(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format(time.RFC3339)
}
