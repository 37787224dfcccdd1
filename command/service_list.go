package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func serviceListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list the services and the revisions in force",
		Action: action(nil, listServices),
	}
}

func listServices(ctx context.Context, _ *cli.Command, s *session) error {
	services, err := s.client.Services(ctx)
	if err != nil {
		return s.failRead(err)
	}
	if s.json {
		return s.printJSON(services)
	}
	w := tabwriter.NewWriter(s.out, zeroWidth, zeroWidth, tablePadding, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tOWNER\tREV")
	for _, sv := range services {
		fmt.Fprintf(w, "%s\t%s\t%d\n", sv.Service, sv.Owner, sv.Revision)
	}
	return w.Flush()
}
