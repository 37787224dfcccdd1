// Package sidecar is the shell of an agent on the users' platform: it carries
// entries' calls, the backend server's heartbeats and its answers to the state
// machine of package guard, and its effects out.
package sidecar

import (
	"context"
	"net/http"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
)

// Options are the settings of an agent.
type Options struct {
	instance.Options
	// Service is the service of the backend server.
	Service string `toml:"service" validate:"required,name"`
	// HeartbeatAddr takes the backend server's heartbeats.
	HeartbeatAddr string `toml:"heartbeat_addr" validate:"required,ipport"`
	// AdvertiseAddr is the address that entries are told, if it is not PeerAddr.
	AdvertiseAddr string `toml:"advertise_addr" validate:"omitempty,ipport"`
}

// defaultMemoryMB is the memory of the common instance of an agent.
const defaultMemoryMB = 152

// DefaultOptions returns the defaults of the settings that have one.
func DefaultOptions() Options {
	return Options{Options: instance.DefaultOptions(defaultMemoryMB)}
}

// Server is the backend server as the agent orders it. Each call reports by the
// event it returns; an error is part of it.
type Server interface {
	Start(ctx context.Context, o guard.StartRun) guard.StartReplied
	Stop(ctx context.Context, o guard.StopRun) guard.StopReplied
	RenewLease(ctx context.Context, o guard.RenewLease) guard.RenewReplied
}

// Platform is what the sidecar needs of the users' platform.
type Platform struct {
	Store        keyedlog.Store
	MembersTopic string
	Server       Server
	// Heartbeats serves the backend server.
	Heartbeats func(*Sidecar) http.Handler
}
