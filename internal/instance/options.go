// Package instance contains what the processes of all roles on the users' platform
// have in common: settings, listeners, HTTP servers and histograms.
package instance

import (
	"time"

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
	// MemoryMB is the memory of the instance in MB.
	MemoryMB int    `toml:"memory_mb" validate:"min=16"`
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
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
