package daemon

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/allinone"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

// Names of the flags of all-in-one.
const (
	flagDemo     = "demo"
	flagLogLevel = "log-level"
)

// Column layout of printed tables.
const (
	zeroWidth    = 0 // no minimum cell width, no tab width
	tablePadding = 2
)

func allInOneCommand() *cli.Command {
	return &cli.Command{
		Name:  "all-in-one",
		Usage: "run a small complete system on loopback, for evaluation",
		Description: `Runs entries, agents, and stand-ins for the platform's log and for backend servers
of different speeds in one process, on free ports of 127.0.0.1. Publishes a
sample document and prints commands for use with the system. With --demo it
submits a job, prints a summary of the answer, and exits. Not for production.`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagDemo, Usage: "run one job and exit"},
			&cli.BoolFlag{Name: flagCheck, Usage: "only check the arguments"},
			&cli.StringFlag{Name: flagLogLevel, Usage: "minimum `LEVEL` of log lines: debug, info, warn, error", Value: "warn"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkNoArgs(c); err != nil {
				return err
			}
			if c.Bool(flagCheck) {
				return nil
			}
			return runAllInOne(ctx, c)
		},
	}
}

func runAllInOne(ctx context.Context, c *cli.Command) error {
	root := c.Root()
	logger := func(name string) log.Logger { return logging.New(root.ErrWriter, name, c.String(flagLogLevel)) }
	system, err := allinone.Start(allinone.DefaultOptions(), logger)
	if err != nil {
		return err
	}
	if c.Bool(flagDemo) {
		err = demo(ctx, root.Writer, system)
	} else {
		err = serve(ctx, root.Writer, system)
	}
	if stopErr := system.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func serve(ctx context.Context, out io.Writer, system *allinone.System) error {
	if err := system.PublishSample(ctx); err != nil {
		return err
	}
	entries := system.EntryURLs()
	fmt.Fprintf(out, `The system runs until SIGINT (Ctrl-C). Use it from another terminal:

  export CHESTNUTHOLLOW_ENTRIES=%s
  go run ./cmd/chestnuthollow status
  go run ./cmd/chestnuthollow job submit --service booking --team front-desk --task '{"work_ms": 200}' --count 50
  go run ./cmd/chestnuthollow service get booking
  go run ./cmd/chestnuthollow dump %s
  curl -s %s/v1/status

The stand-in for the platform's log listens at %s.
`, strings.Join(entries, ","), system.AgentURLs()[0], entries[0], system.LogURL())
	<-ctx.Done()
	return nil
}

func demo(ctx context.Context, out io.Writer, system *allinone.System) error {
	report, err := system.Demo(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "document: service %s, revision %d, in force at every process\n", report.Document.Service, report.Document.Revision)
	fmt.Fprintf(out, "job %s: %s, %d of %d tasks, in %s\n", report.Answer.ID, report.Answer.State,
		report.Answer.Done, report.Answer.Total, report.Took.Round(time.Millisecond))
	w := tabwriter.NewWriter(out, zeroWidth, zeroWidth, tablePadding, ' ', 0)
	fmt.Fprintln(w, "AGENT\tZONE\tSPEED\tTASKS")
	for _, s := range report.Servers {
		fmt.Fprintf(w, "%s\t%s\t%g\t%d\n", s.Agent, s.Zone, s.Speed, s.Starts)
	}
	return w.Flush()
}
