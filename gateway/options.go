// Package gateway is the shell of an entry on the users' platform: it carries
// callers' jobs, agents' sessions and the store's records to the state machine
// of package dispatch, and its effects out.
package gateway

import (
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/routing"
)

// Options are the settings of an entry.
type Options struct {
	Name   string `toml:"name" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	// JobsAddr takes callers' requests, ReadyAddr the balancer's probes,
	// PeerAddr net/rpc of the system's other processes, OpsAddr the operators'.
	JobsAddr  string `toml:"jobs_addr" validate:"required,ipport"`
	ReadyAddr string `toml:"ready_addr" validate:"required,ipport"`
	PeerAddr  string `toml:"peer_addr" validate:"required,ipport"`
	OpsAddr   string `toml:"ops_addr" validate:"required,ipport"`
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
func DefaultOptions() Options {
	return Options{
		Grace:       settings.Duration(6 * time.Second),
		LeaseMax:    settings.Duration(time.Second),
		StopTimeout: settings.Duration(50 * time.Millisecond),
		MemoryMB:    256,
		LogLevel:    "info",
	}
}

// Platform is what the gateway needs of the users' platform.
type Platform struct {
	Store keyedlog.Store
	// ConfigTopic and ConfigKey name the record with the operators'
	// configuration, MembersTopic the topic of the agents' announcements.
	ConfigTopic, ConfigKey, MembersTopic string
	// DecodeConfig decodes the record's value.
	DecodeConfig func(text []byte) (*routing.Table, error)
	// Jobs and Ready serve callers and the balancer.
	Jobs, Ready func(*Gateway) http.Handler
}
