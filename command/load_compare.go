package command

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/load/deployment"
)

// Flags of load compare.
const (
	flagSite    = "site"
	flagVariant = "variant"
	flagLoad    = "load"
	flagRounds  = "rounds"
	flagWarmup  = "warmup"
	flagFault   = "fault"
)

const loadCompareDescription = `Starts a whole deployment in this process on loopback, with the daemons' own
code and stand-ins for the platform's log and the backend servers, once for
each variant, load and round, and prints one line for each. The variants of a
round get the same jobs. No entry is needed. --timeout 0 lets it take its time.`

func loadCompareCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringSliceFlag{Name: flagSite, Usage: "`NAME` of a sample deployment: booking or faq; repeated", Value: []string{"booking"}},
		&cli.StringSliceFlag{Name: flagVariant, Usage: "`NAME` of a way to place; repeated; none for all"},
		&cli.FloatSliceFlag{Name: flagLoad, Usage: "offered work over the `CAPACITY`; repeated", Value: []float64{0.6}},
		&cli.IntFlag{Name: flagRounds, Usage: "`N` rounds, each with jobs of its own", Value: 1},
		&cli.DurationFlag{Name: flagWarmup, Usage: "load before what is measured", Value: 5 * time.Second},
		&cli.StringFlag{Name: flagFault, Usage: "`SCENARIO` during the run: none, slow, fail, fail-slow, stall, half", Value: "none"},
		&cli.IntFlag{Name: flagRetries, Usage: "how often a refused job comes back when told"},
		&cli.StringFlag{Name: flagPlot, Usage: "write a plot to `FILE`, .png or .svg"},
	}
	return &cli.Command{
		Name:        "compare",
		Usage:       "compare ways to place tasks in this process",
		Description: loadCompareDescription,
		Flags:       append(flags, workloadFlags()...),
		Action:      compareLoads,
	}
}

func compareLoads(ctx context.Context, c *cli.Command) error {
	if err := checkArgs(c, 0, 0); err != nil {
		return err
	}
	runs, err := compareRuns(c)
	if err != nil {
		return err
	}
	variants, err := chosenVariants(c.StringSlice(flagVariant))
	if err != nil {
		return err
	}
	root := c.Root()
	s := &session{out: root.Writer, errOut: root.ErrWriter, json: c.Bool(flagJSON)}
	var reports []*load.Report
	for _, r := range runs {
		for _, v := range variants {
			rep, err := r.Measure(ctx, v)
			if err != nil {
				return exit.With(exit.Failure, err)
			}
			s.printLine(r, v, rep)
			reports = append(reports, rep)
		}
	}
	if s.json {
		return s.printReports(c.String(flagPlot), reports...)
	}
	return writePlot(c.String(flagPlot), reports)
}

// compareRuns returns one run for each round, site and load, in that order.
func compareRuns(c *cli.Command) ([]deployment.Run, error) {
	work, err := workload(c)
	if err != nil {
		return nil, err
	}
	var runs []deployment.Run
	for round := range c.Int(flagRounds) {
		for _, site := range c.StringSlice(flagSite) {
			for _, offered := range c.FloatSlice(flagLoad) {
				r := deployment.Run{
					Load:     offered,
					Workload: work,
					Warmup:   c.Duration(flagWarmup),
					Fault:    c.String(flagFault),
					Timeout:  jobTimeout,
					Retries:  c.Int(flagRetries),
				}
				r.Workload.Seed += uint64(round)
				if err := setSite(c, &r, site); err != nil {
					return nil, err
				}
				runs = append(runs, r)
			}
		}
	}
	return runs, nil
}

// jobTimeout is that of each job of a comparison.
const jobTimeout = 30 * time.Second

func setSite(c *cli.Command, r *deployment.Run, site string) error {
	var sizes load.JobSizes
	switch site {
	case "booking":
		r.Deployment, sizes = deployment.Booking(r.Workload.Seed)
	case "faq":
		r.Deployment, sizes = deployment.FAQ(r.Workload.Seed)
	default:
		return exit.Usagef("--%s %s: want booking or faq", flagSite, site)
	}
	if !c.IsSet(flagSingle) && !c.IsSet(flagLarge) {
		r.Workload.Sizes = sizes
	}
	return nil
}

func chosenVariants(names []string) ([]deployment.Variant, error) {
	all := deployment.Variants()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []deployment.Variant
	for _, name := range names {
		i := slices.IndexFunc(all, func(v deployment.Variant) bool { return v.Name == name })
		if i < 0 {
			return nil, exit.Usagef("--%s %s: no such way to place", flagVariant, name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// lineWidth is that of a column in a line of a comparison.
const lineWidth = 9

// printLine prints one run as one line, unless JSON is asked for.
func (s *session) printLine(r deployment.Run, v deployment.Variant, rep *load.Report) {
	if s.json {
		return
	}
	failed := 0
	for _, n := range rep.Failures {
		failed += n
	}
	w := tabwriter.NewWriter(s.out, lineWidth, noIndent, 1, ' ', 0)
	fmt.Fprintf(w, "%s\t%-18s\tload %.2f\tseed %d\toffered %.2f\tgoodput %.2f\tmean %.2f\tp50 %.2f\tp95 %.2f\tp99 %.2f\tsingle p99 %.2f\twasted %.4f\trefused %d/%d\tagain %d\tfailed %d\tlag99 %.1fms\n",
		r.Deployment.Service, v.Name, r.Load, r.Workload.Seed, rep.Offered, rep.Goodput,
		rep.Slowdown.Mean, rep.Slowdown.P50, rep.Slowdown.P95, rep.Slowdown.P99, rep.SingleTaskSlowdown.P99,
		rep.ExcessMessagesPerTask, rep.FirstAttemptRefusals, rep.Jobs, rep.RetryRefusals, failed, 1000*rep.GeneratorLag.P99)
	_ = w.Flush() // the line is progress; the reports follow
}
