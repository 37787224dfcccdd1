package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Variant is a configuration of task placement to compare with others.
type Variant struct {
	Name      string
	NewPolicy func(seed uint64) placement.Policy
	NoRecall  bool
	// Policy, if not empty, is the content of the [policy] table of a document
	// without limits that the variant uses in place of Options.Document.
	Policy string
}

// Variants returns all variants.
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
	// Load is the offered work as a fraction of the servers' capacity.
	Load     float64
	Workload load.Workload // Rate is ignored; it is computed from Load
	Warmup   time.Duration // run before the measurement under the same load
	Fault    string        // name of a fault scenario, see Options.Faults
	Timeout  time.Duration // of each job
	Retries  int           // of each refused job
}

// warmupSeedOffset is added to the workload's seed for the warm-up, so that its
// jobs differ from the measured ones.
const warmupSeedOffset = 1 << 32

// Measure starts a deployment with the variant, runs the warm-up and the measured
// workload on it, stops it, and returns the report.
func (r Run) Measure(ctx context.Context, v Variant) (*load.Report, error) {
	opts := r.Deployment
	opts.NewPolicy, opts.NoRecall = v.NewPolicy, v.NoRecall
	if v.Policy != "" {
		opts.Document = opts.documentWithoutLimits() + "[policy]\n" + v.Policy
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
		warmup := work
		warmup.Duration, warmup.Seed = r.Warmup, work.Seed+warmupSeedOffset
		if _, err := load.Run(ctx, runOpts, warmup.Generate()); err != nil {
			return nil, err
		}
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go d.injectFaults(faultCtx, faults)
	rep, err := load.Run(ctx, runOpts, work.Generate())
	if err != nil {
		return nil, err
	}
	rep.Name = fmt.Sprintf("%s %s load %.0f%%", opts.Service, v.Name, 100*r.Load)
	return rep, nil
}

// rate returns the task rate that results in the offered load together with the
// bursts, whose tasks are not part of the rate.
func (r Run) rate() float64 {
	tasksPerSecond := r.Load * load.Capacity(r.Deployment.Servers) / r.Workload.Times.Mean().Seconds()
	if r.Workload.Burst > 0 {
		tasksPerSecond -= structs.MaxTasksPerJob / r.Workload.Burst.Seconds()
	}
	return tasksPerSecond
}
