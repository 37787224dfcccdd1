// Package instance holds what the roles on the users' platform have in common
// as processes: settings, listeners, HTTP servers and histograms.
package instance

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Options are the settings that every role has.
type Options struct {
	Name   string `toml:"name" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	// PeerAddr serves net/rpc to the system's other processes, OpsAddr the
	// operators' requests.
	PeerAddr string `toml:"peer_addr" validate:"required,ipport"`
	OpsAddr  string `toml:"ops_addr" validate:"required,ipport"`
	// Seeds are addresses of entries to ask for others.
	Seeds []string `toml:"seeds" validate:"dive,ipport"`
	// Grace is how long the platform waits after SIGTERM.
	Grace settings.Duration `toml:"grace" validate:"longest=1h"`
	// LeaseMax and StopTimeout are the platform's bounds of a lease and of the
	// time that a stop takes.
	LeaseMax    settings.Duration `toml:"lease_max" validate:"longest=1m"`
	StopTimeout settings.Duration `toml:"stop_timeout" validate:"longest=1m"`
	// MemoryMB is the memory of the instance.
	MemoryMB int    `toml:"memory_mb" validate:"min=16"`
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
}

// DefaultOptions returns the defaults of the settings that have one.
func DefaultOptions(memoryMB int) Options {
	return Options{
		Grace:       settings.Duration(6 * time.Second),
		LeaseMax:    settings.Duration(time.Second),
		StopTimeout: settings.Duration(50 * time.Millisecond),
		MemoryMB:    memoryMB,
		LogLevel:    "info",
	}
}
