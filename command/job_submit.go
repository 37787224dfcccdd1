package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// Names of the flags of job submit.
const (
	flagService     = "service"
	flagTeam        = "team"
	flagTask        = "task"
	flagCount       = "count"
	flagKind        = "kind"
	flagContentType = "content-type"
	flagDeclared    = "declared"
	flagJobTimeout  = "job-timeout"
	flagID          = "id"
	flagKey         = "key"
	flagDetach      = "detach"
)

const jobSubmitDescription = `Submits a job and waits for its complete answer. The job is read from a JSON file
in the format of docs/API.md ("-" reads standard input), or built from flags: one
task for each --task, all of them repeated --count times.

The command reserves an id, and sends the job again under the same id when a
response is lost, so that no task starts twice. To resume after the command
itself was terminated, run it again with the same job and --id with that id.
Callers with their own idempotency keys use --key.

   chestnuthollow job submit job.json
   chestnuthollow job submit --service booking --team desk --task '{"court":4}'
   chestnuthollow job submit --service booking --team desk --task x --count 50 --json`

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job and wait for its answer",
		ArgsUsage:   "[FILE]",
		Description: jobSubmitDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: flagTeam, Usage: "`NAME` of the calling team"},
			&cli.StringSliceFlag{Name: flagTask, Usage: "`PAYLOAD` of a task; may be repeated", Config: cli.StringConfig{}},
			&cli.IntFlag{Name: flagCount, Usage: "number of times to repeat the tasks", Value: 1},
			&cli.StringFlag{Name: flagKind, Usage: "kind of the tasks"},
			&cli.StringFlag{Name: flagContentType, Usage: "content type of the payloads", Value: "application/json"},
			&cli.DurationFlag{Name: flagDeclared, Usage: "estimated run time of each task"},
			&cli.DurationFlag{Name: flagJobTimeout, Usage: "time after which the job fails; 0 for the service's default"},
			&cli.StringFlag{Name: flagID, Usage: "reserved `ID` for the job, also to submit it again"},
			&cli.StringFlag{Name: flagKey, Usage: "idempotency `KEY` of the caller instead of a reserved id: a UUID of version 7"},
			&cli.BoolFlag{Name: flagDetach, Usage: "do not wait for the answer; use job get to fetch it"},
			resultsFlag(),
		},
		DisableSliceFlagSeparator: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkArgs(c, 0, 1); err != nil {
				return err
			}
			return withSession(ctx, c, submitJob)
		},
	}
}

func submitJob(ctx context.Context, c *cli.Command, s *session) error {
	spec, err := jobSpec(c, s.in)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	options, err := submitOptions(c)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	bar := newProgress(s.errOut)
	options = append(options, client.WithProgress(bar.job))
	a, err := s.client.Submit(ctx, spec, options...)
	bar.clear()
	return s.finishJob(a, err, c.Bool(flagResults))
}

func submitOptions(c *cli.Command) ([]client.SubmitOption, error) {
	var options []client.SubmitOption
	if c.IsSet(flagID) && c.IsSet(flagKey) {
		return nil, fmt.Errorf("give either --%s or --%s, not both", flagID, flagKey)
	}
	if c.IsSet(flagID) {
		id, err := structs.ParseJobID(c.String(flagID))
		if err != nil {
			return nil, err
		}
		options = append(options, client.WithID(id))
	}
	if c.IsSet(flagKey) {
		options = append(options, client.WithKey(c.String(flagKey)))
	}
	if c.Bool(flagDetach) {
		options = append(options, client.WithoutWaiting())
	}
	return options, nil
}

// jobSpec reads the job from the file given on the command line, or builds it from
// flags.
func jobSpec(c *cli.Command, in io.Reader) (*structs.JobSpec, error) {
	if c.Args().Len() == 0 {
		return jobSpecFromFlags(c)
	}
	for _, name := range []string{flagService, flagTeam, flagTask, flagCount} {
		if c.IsSet(name) {
			return nil, fmt.Errorf("give either a file or --%s, not both", name)
		}
	}
	text, err := readFile(c.Args().First(), in)
	if err != nil {
		return nil, err
	}
	var spec structs.JobSpec
	if err := json.Unmarshal(text, &spec); err != nil {
		return nil, fmt.Errorf("%s: not a job: %w", c.Args().First(), err)
	}
	return &spec, nil
}

func jobSpecFromFlags(c *cli.Command) (*structs.JobSpec, error) {
	var problems []error
	for _, name := range []string{flagService, flagTeam, flagTask} {
		if !c.IsSet(name) {
			problems = append(problems, fmt.Errorf("--%s is missing", name))
		}
	}
	count := c.Int(flagCount)
	if count < 1 || count > structs.MaxTasksPerJob {
		problems = append(problems, fmt.Errorf("--%s %d: want 1 to %d", flagCount, count, structs.MaxTasksPerJob))
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("no job file given, and %w", errors.Join(problems...))
	}
	spec := &structs.JobSpec{
		Service: c.String(flagService),
		Team:    c.String(flagTeam),
		Timeout: c.Duration(flagJobTimeout),
	}
	for range count {
		for _, payload := range c.StringSlice(flagTask) {
			spec.Tasks = append(spec.Tasks, structs.TaskSpec{
				Kind:        c.String(flagKind),
				ContentType: c.String(flagContentType),
				Payload:     []byte(payload),
				Declared:    c.Duration(flagDeclared),
			})
		}
	}
	return spec, nil
}

// readFile reads a file, or in if the name is "-".
func readFile(name string, in io.Reader) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}
