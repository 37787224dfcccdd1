package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/load"
)

// Flags of the load commands.
const (
	flagServer         = "server"
	flagDuration       = "duration"
	flagRate           = "rate"
	flagReplay         = "replay"
	flagRecord         = "record"
	flagSeed           = "seed"
	flagLoadTeam       = "team"
	flagSingle         = "single"
	flagLarge          = "large"
	flagBurst          = "burst"
	flagScale          = "scale"
	flagDeclaredOff    = "declared-off"
	flagRetries        = "retries"
	flagPlot           = "plot"
	flagLoadJobTimeout = "job-timeout"
)

const loadRunDescription = `Sends jobs at their scheduled times, regardless of the outcome of earlier ones
(open loop). Reports the ratio of each job's response time, measured from its
scheduled time, to the ideal: the time that the job would take alone on idle
backend servers of the speeds given with --server. Tasks have the payload
{"work_ms": …}, which the stand-in backend server understands. --timeout bounds
the whole run.`

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:     "load",
		Usage:    "generate load and measure the ratio of response time to the ideal",
		Commands: []*cli.Command{loadRunCommand(), loadCompareCommand()},
	}
}

func loadRunCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: flagService, Usage: "`NAME` of the service", Required: true},
		&cli.StringSliceFlag{Name: flagServer, Usage: "`SLOTSxSPEED` of a backend server, for the ideal; may be repeated", Value: []string{"8x1"}},
		&cli.FloatFlag{Name: flagRate, Usage: "mean number of `TASKS` per second, over all jobs", Value: 50},
		&cli.StringFlag{Name: flagReplay, Usage: "send the jobs in `FILE`, one JSON object per line, instead of generated ones"},
		&cli.StringFlag{Name: flagRecord, Usage: "write the jobs to `FILE`, for use with --replay"},
		&cli.IntFlag{Name: flagRetries, Usage: "how often a refused job is retried after its Retry-After"},
		&cli.DurationFlag{Name: flagLoadJobTimeout, Usage: "timeout of each job", Value: 30 * time.Second},
		&cli.StringFlag{Name: flagPlot, Usage: "write a plot to `FILE`, .png or .svg"},
	}
	return &cli.Command{
		Name:        "run",
		Usage:       "generate load on running entries",
		Description: loadRunDescription,
		Flags:       append(flags, workloadFlags()...),
		Action:      action(nil, runLoad),
	}
}

// workloadFlags returns the flags that describe generated jobs.
func workloadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: flagDuration, Usage: "duration of the arrivals", Value: 10 * time.Second},
		&cli.Uint64Flag{Name: flagSeed, Usage: "random `SEED` of the jobs", Value: 1},
		&cli.StringSliceFlag{Name: flagLoadTeam, Usage: "`NAME=WEIGHT` of a calling team; may be repeated", Value: []string{"front-desk=1"}},
		&cli.FloatFlag{Name: flagSingle, Usage: "fraction of jobs with one task", Value: load.DefaultJobSizes().SingleShare},
		&cli.FloatFlag{Name: flagLarge, Usage: "fraction of jobs with 50 to 890 tasks", Value: load.DefaultJobSizes().LargeShare},
		&cli.DurationFlag{Name: flagBurst, Usage: "interval between bursts of 890 tasks; 0 for no bursts"},
		&cli.FloatFlag{Name: flagScale, Usage: "factor applied to the task times of 50 ms to 1 s", Value: 1},
		&cli.FloatFlag{Name: flagDeclaredOff, Usage: "largest factor by which declared times are too long or too short", Value: 1},
	}
}

func workload(c *cli.Command) (load.Workload, error) {
	teams, err := parseTeams(c.StringSlice(flagLoadTeam))
	if err != nil {
		return load.Workload{}, err
	}
	return load.Workload{
		Seed:          c.Uint64(flagSeed),
		Duration:      c.Duration(flagDuration),
		Teams:         teams,
		Sizes:         load.JobSizes{SingleShare: c.Float(flagSingle), LargeShare: c.Float(flagLarge)},
		Times:         load.DefaultWorkTimes().Scale(c.Float(flagScale)),
		Burst:         c.Duration(flagBurst),
		DeclaredError: c.Float(flagDeclaredOff),
	}, nil
}

func parseTeams(list []string) ([]load.Team, error) {
	teams := make([]load.Team, 0, len(list))
	for _, text := range list {
		name, weight, _ := strings.Cut(text, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || w <= 0 {
			return nil, exit.Usagef("--%s %s: want NAME=WEIGHT with a positive weight", flagLoadTeam, text)
		}
		teams = append(teams, load.Team{Name: name, Weight: w})
	}
	return teams, nil
}

func parseServers(list []string) ([]load.Server, error) {
	servers := make([]load.Server, 0, len(list))
	for _, text := range list {
		var s load.Server
		if n, err := fmt.Sscanf(text, "%dx%g", &s.Slots, &s.Speed); n != 2 || err != nil || s.Slots < 1 || s.Speed <= 0 {
			return nil, exit.Usagef("--%s %s: want SLOTSxSPEED such as 8x0.5", flagServer, text)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func runLoad(ctx context.Context, c *cli.Command, s *session) error {
	servers, err := parseServers(c.StringSlice(flagServer))
	if err != nil {
		return err
	}
	jobs, err := prepareJobs(c)
	if err != nil {
		return err
	}
	opts := load.Options{
		Entries: s.entries,
		Service: c.String(flagService),
		Servers: servers,
		Timeout: c.Duration(flagLoadJobTimeout),
		Retries: c.Int(flagRetries),
	}
	rep, err := load.Run(ctx, opts, jobs)
	if err != nil {
		return exit.With(exit.Failure, err)
	}
	rep.Name = opts.Service
	return s.printReports(c.String(flagPlot), rep)
}

// prepareJobs returns the jobs to send, and writes them to the --record file if one
// is given.
func prepareJobs(c *cli.Command) ([]load.Job, error) {
	jobs, err := readOrGenerateJobs(c)
	if err != nil {
		return nil, err
	}
	path := c.String(flagRecord)
	if path == "" {
		return jobs, nil
	}
	return jobs, writeFile(path, func(w io.Writer) error { return load.WriteJobs(w, jobs) })
}

func readOrGenerateJobs(c *cli.Command) ([]load.Job, error) {
	if path := c.String(flagReplay); path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, exit.With(exit.Usage, err)
		}
		defer f.Close()
		return load.ReadJobs(f)
	}
	w, err := workload(c)
	if err != nil {
		return nil, err
	}
	w.Rate = c.Float(flagRate)
	if err := w.Validate(); err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	return w.Generate(), nil
}

// printReports prints the reports, and plots them if a plot file is given.
func (s *session) printReports(plot string, reports ...*load.Report) error {
	if s.json {
		if err := writeJSON(s.out, reports); err != nil {
			return err
		}
	} else {
		for _, rep := range reports {
			rep.WriteText(s.out)
		}
	}
	return writePlot(plot, reports)
}

func writePlot(path string, reports []*load.Report) error {
	if path == "" {
		return nil
	}
	format := load.PNG
	if strings.HasSuffix(path, ".svg") {
		format = load.SVG
	}
	return writeFile(path, func(w io.Writer) error { return load.Plot(w, format, reports...) })
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
