package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Variant is a way to place tasks that is compared with others.
type Variant struct {
	Name      string
	NewPolicy func(seed uint64) placement.Policy
	NoRecall  bool
	// Policy is the [policy] table of the service's document.
	Policy string
}

// Variants returns the ways to place, by name.
func Variants() []Variant {
	policy := func(seed uint64) placement.Policy { return placement.NewLeastExpectedFinish(seed) }
	return []Variant{
		{Name: "finish", NewPolicy: policy, NoRecall: true},
		{Name: "finish+recall", NewPolicy: policy},
		{Name: "finish+recall+messages", NewPolicy: policy, Policy: "message_weight = 1.0\n"},
	}
}

// Run describes the measurement of one variant.
type Run struct {
	Deployment Options
	// Load is the offered work over the servers' capacity.
	Load     float64
	Workload load.Workload // Rate is set from Load
	Warmup   time.Duration // under the same load, not measured
	Fault    string        // scenario, see Options.Faults
	Timeout  time.Duration // of each job
	Retries  int           // of refused jobs
}

// warmupSeed sets the warm-up's jobs apart from the measured ones.
const warmupSeed = 1 << 32

// Measure starts a deployment with the variant, loads it and stops it.
func (r Run) Measure(ctx context.Context, v Variant) (*load.Report, error) {
	opts := r.Deployment
	opts.NewPolicy, opts.NoRecall = v.NewPolicy, v.NoRecall
	if v.Policy != "" {
		opts.Document = opts.plainDocument() + "[policy]\n" + v.Policy
	}
	faults, err := opts.Faults(r.Fault, r.Workload.Duration)
	if err != nil {
		return nil, err
	}
	d, err := Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	runOpts := load.Options{Entries: d.URLs(), Service: opts.Service, Servers: opts.Servers, Timeout: r.Timeout, Retries: r.Retries}
	work := r.Workload
	work.Rate = r.rate()
	if err := work.Validate(); err != nil {
		return nil, err
	}
	if r.Warmup > 0 {
		warm := work
		warm.Duration, warm.Seed = r.Warmup, work.Seed+warmupSeed
		if _, err := load.Run(ctx, runOpts, warm.Generate()); err != nil {
			return nil, err
		}
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	go d.play(playing, faults)
	rep, err := load.Run(ctx, runOpts, work.Generate())
	if err != nil {
		return nil, err
	}
	rep.Name = fmt.Sprintf("%s %s load %.0f%%", opts.Service, v.Name, 100*r.Load)
	return rep, nil
}

// rate returns the tasks a second that make up the load, bursts included.
func (r Run) rate() float64 {
	perSecond := r.Load * load.Capacity(r.Deployment.Servers) / r.Workload.Times.Mean().Seconds()
	if r.Workload.Burst > 0 {
		perSecond -= structs.MaxTasksPerJob / r.Workload.Burst.Seconds()
	}
	return perSecond
}
