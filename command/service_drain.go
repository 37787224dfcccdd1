package command

import (
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Names of the flags of service drain.
const (
	flagAgent = "agent"
	flagUndo  = "undo"
)

const serviceDrainDescription = `Publishes a revision in which the service, or with --agent single backend
servers, accept no new work; started tasks finish. --undo reverses this. Only the
leave table of the document is changed.

   chestnuthollow service drain --wait booking
   chestnuthollow service drain --agent booking-3 --agent booking-4 booking
   chestnuthollow service drain --undo --agent booking-3 booking`

func serviceDrainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "drain a service or single backend servers",
		ArgsUsage:   "NAME",
		Description: serviceDrainDescription,
		Flags: append(publishFlags(),
			&cli.StringSliceFlag{Name: flagAgent, Usage: "`NAME` of the agent beside a backend server; may be repeated"},
			&cli.BoolFlag{Name: flagUndo, Usage: "accept new work again"},
		),
		Action: action([]string{"NAME"}, drainService),
	}
}

func drainService(ctx context.Context, c *cli.Command, s *session) error {
	name := c.Args().First()
	rec, err := s.client.Service(ctx, name)
	if err != nil {
		return s.failRead(err)
	}
	text, err := setDrain(rec.Text, c.StringSlice(flagAgent), !c.Bool(flagUndo))
	if err != nil {
		return exit.With(exit.Failure, err)
	}
	if text == rec.Text {
		s.printf("service %s: nothing to change in revision %d\n", name, rec.Revision)
		return s.printJSON(publishResult{Record: *rec})
	}
	return s.publish(ctx, c, name, structs.Edit{Base: rec.Revision, Text: text})
}

// setDrain returns the document's text with the service, or only the given agents
// if there are any, marked as leaving or not leaving.
func setDrain(text string, agents []string, leave bool) (string, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return "", err
	}
	if len(agents) == 0 {
		if doc.Leave.Drain == leave {
			return text, nil
		}
		return setLeaveKey(text, "drain", tomlBool(leave), func(l *document.Leave) { l.Drain = leave })
	}
	leaving := updateLeaving(doc.Leave.BackendServers, agents, leave)
	if slices.Equal(leaving, doc.Leave.BackendServers) {
		return text, nil
	}
	return setLeaveKey(text, "backend_servers", tomlStrings(leaving), func(l *document.Leave) { l.BackendServers = leaving })
}

// updateLeaving returns list with the agents added or removed.
func updateLeaving(list, agents []string, leave bool) []string {
	out := slices.Clone(list)
	for _, a := range agents {
		out = slices.DeleteFunc(out, func(s string) bool { return s == a })
		if leave {
			out = append(out, a)
		}
	}
	return out
}
