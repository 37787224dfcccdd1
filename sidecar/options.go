// Package sidecar is the shell of an agent on the users' platform: it carries
// entries' calls, the backend server's heartbeats and its answers to the state
// machine of package guard, and its effects out.
package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
)

// Options are the settings of an agent.
type Options struct {
	Name   string `toml:"name" validate:"required,name"`
	Zone   string `toml:"zone" validate:"required,name"`
	Region string `toml:"region" validate:"required,name"`
	// Service is the service of the backend server.
	Service string `toml:"service" validate:"required,name"`
	// HeartbeatAddr takes the backend server's heartbeats, PeerAddr net/rpc of
	// the entries, OpsAddr the operators' requests.
	HeartbeatAddr string `toml:"heartbeat_addr" validate:"required,ipport"`
	PeerAddr      string `toml:"peer_addr" validate:"required,ipport"`
	OpsAddr       string `toml:"ops_addr" validate:"required,ipport"`
	// AdvertiseAddr is the address that entries are told, if it is not PeerAddr.
	AdvertiseAddr string `toml:"advertise_addr" validate:"omitempty,ipport"`
	// Seeds are addresses of entries.
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
		MemoryMB:    152,
		LogLevel:    "info",
	}
}

// Server is the backend server as the agent orders it. Each call reports by the
// event it returns; an error is part of it.
type Server interface {
	Start(ctx context.Context, o guard.StartRun) guard.StartReplied
	Stop(ctx context.Context, o guard.StopRun) guard.StopReplied
	Look(ctx context.Context, o guard.Look) guard.LookReplied
}

// Platform is what the sidecar needs of the users' platform.
type Platform struct {
	Store        keyedlog.Store
	MembersTopic string
	Server       Server
	// Heartbeats serves the backend server.
	Heartbeats func(*Sidecar) http.Handler
}
