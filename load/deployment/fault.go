package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/backend"
)

// Fault is a change of a backend server's behavior during a run.
type Fault struct {
	At       time.Duration // from the start of the run
	Server   int
	Behavior backend.Behavior
}

// Faults returns the named scenario for a run of the given length: "none",
// "slow" (one server 10 times slower), "fail" (one fails all at once),
// "fail-slow" (one fails after working), "stall" (one stalls and comes back)
// or "half" (half of the servers refuse everything, all back at once).
func (o *Options) Faults(name string, duration time.Duration) ([]Fault, error) {
	from, to := duration/4, duration*3/4
	one := func(b backend.Behavior) []Fault {
		return []Fault{{At: from, Behavior: b}, {At: to, Behavior: o.working(0)}}
	}
	switch name {
	case "", "none":
		return nil, nil
	case "slow":
		return one(backend.Behavior{Mode: backend.ModeWork, Speed: o.Servers[0].Speed / 10}), nil
	case "fail":
		return one(backend.Behavior{Mode: backend.ModeFail}), nil
	case "fail-slow":
		return one(backend.Behavior{Mode: backend.ModeFailSlow}), nil
	case "stall":
		return one(backend.Behavior{Mode: backend.ModeStall}), nil
	case "half":
		return o.half(from, to), nil
	}
	return nil, fmt.Errorf("deployment: no fault scenario %q", name)
}

func (o *Options) half(from, to time.Duration) []Fault {
	var faults []Fault
	for i := 0; i < len(o.Servers); i += 2 {
		faults = append(faults, Fault{At: from, Server: i, Behavior: backend.Behavior{Mode: backend.ModeDecline}})
	}
	for i := 0; i < len(o.Servers); i += 2 {
		faults = append(faults, Fault{At: to, Server: i, Behavior: o.working(i)})
	}
	return faults
}

func (o *Options) working(server int) backend.Behavior {
	return backend.Behavior{Mode: backend.ModeWork, Speed: o.Servers[server].Speed}
}

// play brings the faults about, in order, until ctx ends.
func (d *Deployment) play(ctx context.Context, faults []Fault) {
	start := time.Now()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.At))):
			// A scenario names valid behaviors only.
			_ = d.Backends[f.Server].SetBehavior(f.Behavior)
		}
	}
}
