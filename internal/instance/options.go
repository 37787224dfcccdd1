// Package instance contains what the processes of all roles on the users' platform
// have in common: settings, listeners, HTTP servers and histograms.
package instance

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Options are the settings common to all roles.
type Options struct {
	Name   string `toml:"name" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	// PeerAddr is the listen address for net/rpc calls of the system's other
	// processes, OpsAddr the one for operators' HTTP requests.
	PeerAddr string `toml:"peer_addr" validate:"required,ipport"`
	OpsAddr  string `toml:"ops_addr" validate:"required,ipport"`
	// Seeds are the addresses of entries from which a process first learns of others.
	Seeds []string `toml:"seeds" validate:"dive,ipport"`
	// Grace is how long the platform waits after SIGTERM before it kills the process.
	Grace settings.Duration `toml:"grace" validate:"longest=1h"`
	// LeaseMax is the platform's upper bound for the duration of a lease,
	// StopTimeout the one for the time in which a stopped task ends.
	LeaseMax    settings.Duration `toml:"lease_max" validate:"longest=1m"`
	StopTimeout settings.Duration `toml:"stop_timeout" validate:"longest=1m"`
	// MemoryMB is the memory of the instance in MiB.
	MemoryMB int `toml:"memory_mb" validate:"min=16"`
	// MaxDescriptors is how many files and sockets the process may have open; zero for the limit of the
	// operating system. What clients may occupy follows from it and from MemoryMB.
	MaxDescriptors int    `toml:"max_descriptors" validate:"omitempty,min=256"`
	LogLevel       string `toml:"log_level" validate:"oneof=debug info warn error"`
}

// IntakeLimits returns the bounds on what clients occupy.
func (o *Options) IntakeLimits() (intake.Limits, error) {
	return intake.LimitsOf(o.MemoryMB, o.MaxDescriptors)
}

// DefaultOptions returns the default values of the settings that have one.
func DefaultOptions(memoryMB int) Options {
	return Options{
		Grace:       settings.Duration(6 * time.Second),
		LeaseMax:    settings.Duration(time.Second),
		StopTimeout: settings.Duration(50 * time.Millisecond),
		MemoryMB:    memoryMB,
		LogLevel:    "info",
	}
}
