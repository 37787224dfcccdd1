package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show entries, agents and services, as known to one entry",
		Description: `Shows the live entries, the services with the revision of the document in force,
and the agents by service and availability zone, with their slots and their
running and queued tasks. An agent whose REV is below that of its service does
not have the latest revision yet.`,
		Action: action(nil, showStatus),
	}
}

func showStatus(ctx context.Context, _ *cli.Command, s *session) error {
	st, err := s.client.Status(ctx)
	if err != nil {
		return s.failRead(err)
	}
	sortStatus(st)
	if s.json {
		return s.printJSON(st)
	}
	return printStatus(s.out, st)
}

func sortStatus(st *structs.Status) {
	slices.SortFunc(st.Entries, func(a, b structs.EntryInfo) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	slices.SortFunc(st.Agents, func(a, b structs.AgentStatus) int {
		return cmp.Or(cmp.Compare(a.Info.Service, b.Info.Service), cmp.Compare(a.Info.Zone, b.Info.Zone),
			cmp.Compare(a.Info.Name, b.Info.Name), cmp.Compare(a.Info.Incarnation, b.Info.Incarnation))
	})
	slices.SortFunc(st.Services, func(a, b structs.ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
}

// Column layout of printed tables.
const (
	tablePadding = 2
	zeroWidth    = 0 // no minimum cell width, no tab width
)

// printStatus writes a status as tables with aligned columns.
func printStatus(out io.Writer, st *structs.Status) error {
	w := tabwriter.NewWriter(out, zeroWidth, zeroWidth, tablePadding, ' ', 0)
	fmt.Fprintf(w, "as seen by entry %s (%s)\n", st.Entry.Name, st.Entry.HTTPAddr)
	if st.LogError != "" {
		fmt.Fprintf(w, "the platform's log cannot be read: %s\n", st.LogError)
	}
	printEntries(w, st)
	printServices(w, st)
	printAgents(w, st)
	return w.Flush()
}

func printEntries(w io.Writer, st *structs.Status) {
	fmt.Fprintln(w, "\nENTRY\tZONE\tHTTP\tRPC\tINCARNATION\tSTATE")
	for _, e := range st.Entries {
		leaving := st.Leaving && e.Incarnation == st.Entry.Incarnation
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, e.Zone, e.HTTPAddr, e.RPCAddr, e.Incarnation, stateName(leaving))
	}
}

func printServices(w io.Writer, st *structs.Status) {
	fmt.Fprintln(w, "\nSERVICE\tOWNER\tREV\tAGENTS\tSLOTS\tRUNNING\tQUEUED")
	for _, sv := range st.Services {
		var sum structs.AgentState
		agents := 0
		for _, a := range st.Agents {
			if a.Info.Service != sv.Service {
				continue
			}
			agents++
			sum.Slots += a.State.Slots
			sum.Running += a.State.Running
			sum.Queued += a.State.Queued
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", sv.Service, sv.Owner, sv.Revision, agents, sum.Slots, sum.Running, sum.Queued)
	}
}

func printAgents(w io.Writer, st *structs.Status) {
	fmt.Fprintln(w, "\nAGENT\tSERVICE\tZONE\tTEAM\tSLOTS\tRUNNING\tQUEUED\tREV\tSTATE")
	for _, a := range st.Agents {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", a.Info.Name, a.Info.Service, a.Info.Zone, a.Info.Team,
			a.State.Slots, a.State.Running, a.State.Queued, a.State.Revision, stateName(a.State.Leaving))
	}
}

func stateName(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}
