package backend

import (
	"context"
	"flag"
	"fmt"
	"io"
)

// Main runs a stand-in until ctx ends, for test binaries that start one as a
// separate process. It prints the base URL as the first line to out.
func Main(ctx context.Context, args []string, out io.Writer) error {
	opts := DefaultOptions()
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	flags.StringVar(&opts.Addr, "addr", opts.Addr, "host:port to listen on")
	flags.IntVar(&opts.Slots, "slots", opts.Slots, "number of tasks to run concurrently")
	flags.Float64Var(&opts.Speed, "speed", opts.Speed, "factor by which work times are divided")
	flags.DurationVar(&opts.Work, "work", opts.Work, "work time of a task that specifies none")
	flags.Float64Var(&opts.Spread, "spread", opts.Spread, "sigma of the log-normal factor on the work time")
	flags.Uint64Var(&opts.Seed, "seed", opts.Seed, "seed of the random numbers")
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
