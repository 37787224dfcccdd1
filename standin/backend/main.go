package backend

import (
	"context"
	"flag"
	"fmt"
	"io"
)

// Main serves a stand-in until ctx ends, for test binaries that run one as a
// process of its own. It prints the base URL as its first line to out.
func Main(ctx context.Context, args []string, out io.Writer) error {
	opts := DefaultOptions()
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	flags.StringVar(&opts.Addr, "addr", opts.Addr, "host:port to listen on")
	flags.IntVar(&opts.Slots, "slots", opts.Slots, "tasks at once")
	flags.Float64Var(&opts.Speed, "speed", opts.Speed, "divides every work time")
	flags.DurationVar(&opts.Work, "work", opts.Work, "work time of a task that names none")
	flags.Float64Var(&opts.Spread, "spread", opts.Spread, "sigma of the log-normal factor on the work time")
	flags.Uint64Var(&opts.Seed, "seed", opts.Seed, "seed of the work times")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s, err := New(opts)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, err := fmt.Fprintln(out, s.URL()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
