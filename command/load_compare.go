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

const loadCompareDescription = `Runs a complete deployment on loopback within this process, once for each
variant, load and round, and prints one line per run. The deployment uses the
daemons' code, and stand-ins for the platform's log and the backend servers. All
variants of a round get the same jobs. No entry needs to be running. Use
--timeout 0 for no time limit.`

func loadCompareCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringSliceFlag{Name: flagSite, Usage: "`NAME` of a sample deployment: booking or faq; may be repeated", Value: []string{"booking"}},
		&cli.StringSliceFlag{Name: flagVariant, Usage: "`NAME` of a placement variant; may be repeated; default: all"},
		&cli.FloatSliceFlag{Name: flagLoad, Usage: "offered load as a fraction of `CAPACITY`; may be repeated", Value: []float64{0.6}},
		&cli.IntFlag{Name: flagRounds, Usage: "`N` rounds, each with different jobs", Value: 1},
		&cli.DurationFlag{Name: flagWarmup, Usage: "duration of the load before the measurement starts", Value: 5 * time.Second},
		&cli.StringFlag{Name: flagFault, Usage: "fault `SCENARIO` during the run: none, slow, fail, fail-slow, stall, half", Value: "none"},
		&cli.IntFlag{Name: flagRetries, Usage: "how often a refused job is retried after its Retry-After"},
		&cli.StringFlag{Name: flagPlot, Usage: "write a plot to `FILE`, .png or .svg"},
	}
	return &cli.Command{
		Name:        "compare",
		Usage:       "compare placement variants within this process",
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
	variants, err := selectVariants(c.StringSlice(flagVariant))
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
			s.printRun(r, v, rep)
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
	base, err := workload(c)
	if err != nil {
		return nil, err
	}
	var runs []deployment.Run
	for round := range c.Int(flagRounds) {
		for _, site := range c.StringSlice(flagSite) {
			for _, offered := range c.FloatSlice(flagLoad) {
				r := deployment.Run{
					Load:     offered,
					Workload: base,
					Warmup:   c.Duration(flagWarmup),
					Fault:    c.String(flagFault),
					Timeout:  compareJobTimeout,
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

// compareJobTimeout is the timeout of each job of a comparison.
const compareJobTimeout = 30 * time.Second

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

func selectVariants(names []string) ([]deployment.Variant, error) {
	all := deployment.Variants()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []deployment.Variant
	for _, name := range names {
		i := slices.IndexFunc(all, func(v deployment.Variant) bool { return v.Name == name })
		if i < 0 {
			return nil, exit.Usagef("--%s %s: no such placement variant", flagVariant, name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// minColumnWidth is the minimum width of a column in the output of a comparison.
const minColumnWidth = 9

// printRun prints the report of one run as one line, unless JSON is requested.
func (s *session) printRun(r deployment.Run, v deployment.Variant, rep *load.Report) {
	if s.json {
		return
	}
	failed := 0
	for _, n := range rep.Failures {
		failed += n
	}
	w := tabwriter.NewWriter(s.out, minColumnWidth, zeroWidth, 1, ' ', 0)
	fmt.Fprintf(w, "%s\t%-18s\tload %.2f\tseed %d\toffered %.2f\tgoodput %.2f\tmean %.2f\tp50 %.2f\tp95 %.2f\tp99 %.2f\tsingle p99 %.2f\twasted %.4f\trefused %d/%d\tagain %d\tfailed %d\tlag99 %.1fms\n",
		r.Deployment.Service, v.Name, r.Load, r.Workload.Seed, rep.Offered, rep.Goodput,
		rep.Slowdown.Mean, rep.Slowdown.P50, rep.Slowdown.P95, rep.Slowdown.P99, rep.SingleTaskSlowdown.P99,
		rep.ExcessMessagesPerTask, rep.FirstAttemptRefusals, rep.Jobs, rep.RetryRefusals, failed, 1000*rep.GeneratorLag.P99)
	_ = w.Flush() // a write error does not end the comparison
}
