package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/backend"
)

// Fault is a change of a backend server's behavior during a run, including the
// change back to normal.
type Fault struct {
	At       time.Duration // from the start of the run
	Server   int           // index in Options.Servers
	Behavior backend.Behavior
}

// Faults returns the named fault scenario for a run of the given duration. The
// faults last from one quarter to three quarters of it. The scenarios are:
//
//   - "none" or "": no fault
//   - "slow": one server runs at a tenth of its speed
//   - "fail": one server fails every task immediately
//   - "fail-slow": one server fails every task after its work time
//   - "stall": one server stalls every task until the fault ends
//   - "half": every second server declines every task; all recover at the same
//     time
func (o *Options) Faults(name string, duration time.Duration) ([]Fault, error) {
	from, to := duration/4, duration*3/4
	firstServer := func(b backend.Behavior) []Fault {
		return []Fault{{At: from, Behavior: b}, {At: to, Behavior: o.normalBehavior(0)}}
	}
	switch name {
	case "", "none":
		return nil, nil
	case "slow":
		return firstServer(backend.Behavior{Mode: backend.ModeWork, Speed: o.Servers[0].Speed / 10}), nil
	case "fail":
		return firstServer(backend.Behavior{Mode: backend.ModeFail}), nil
	case "fail-slow":
		return firstServer(backend.Behavior{Mode: backend.ModeFailSlow}), nil
	case "stall":
		return firstServer(backend.Behavior{Mode: backend.ModeStall}), nil
	case "half":
		return o.declineHalf(from, to), nil
	}
	return nil, fmt.Errorf("deployment: unknown fault scenario %q", name)
}

// declineHalf returns the faults of scenario "half".
func (o *Options) declineHalf(from, to time.Duration) []Fault {
	var faults []Fault
	for i := 0; i < len(o.Servers); i += 2 {
		faults = append(faults, Fault{At: from, Server: i, Behavior: backend.Behavior{Mode: backend.ModeDecline}})
	}
	for i := 0; i < len(o.Servers); i += 2 {
		faults = append(faults, Fault{At: to, Server: i, Behavior: o.normalBehavior(i)})
	}
	return faults
}

// normalBehavior returns the behavior of a server without a fault.
func (o *Options) normalBehavior(server int) backend.Behavior {
	return backend.Behavior{Mode: backend.ModeWork, Speed: o.Servers[server].Speed}
}

// injectFaults applies the faults in order, each at its time, until ctx ends.
func (d *Deployment) injectFaults(ctx context.Context, faults []Fault) {
	start := time.Now()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.At))):
			// No error can occur: scenarios contain valid behaviors only.
			_ = d.Backends[f.Server].SetBehavior(f.Behavior)
		}
	}
}
