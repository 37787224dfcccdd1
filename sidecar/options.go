// Package sidecar implements the process of an agent on the users' platform. It
// performs the I/O for the state machine of package taskrunner: it turns entries'
// calls and the backend server's heartbeats and replies into events, and carries out
// the resulting effects.
package sidecar

import (
	"context"
	"net/http"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Options are the settings of an agent.
type Options struct {
	instance.Options
	// Service is the service of the backend server.
	Service string `toml:"service" validate:"required,name"`
	// HeartbeatAddr is the listen address for the backend server's heartbeats.
	HeartbeatAddr string `toml:"heartbeat_addr" validate:"required,ipport"`
	// AdvertiseAddr is the address at which entries reach the agent. It defaults to
	// PeerAddr.
	AdvertiseAddr string `toml:"advertise_addr" validate:"omitempty,ipport"`
	// RunTimes learns the distributions of run times, see taskrunner.Options.
	RunTimes bool `toml:"run_times"`
}

// defaultMemoryMB is the memory of the instance type commonly used for an agent.
const defaultMemoryMB = 152

// DefaultOptions returns the default values of the settings that have one.
func DefaultOptions() Options {
	return Options{Options: instance.DefaultOptions(defaultMemoryMB)}
}

// Server is a client of the backend server. Each method makes one call and returns
// its result as an event for the Runner. The event also represents errors.
type Server interface {
	Start(ctx context.Context, o taskrunner.StartTask) taskrunner.StartReplied
	Stop(ctx context.Context, o taskrunner.StopTask) taskrunner.StopReplied
	RenewLease(ctx context.Context, o taskrunner.RenewLease) taskrunner.RenewReplied
	// Connections returns how many connections to the server were opened.
	Connections() int64
}

// Platform contains the parts of the users' platform that a Sidecar depends on.
type Platform struct {
	Store        keyedlog.Store
	MembersTopic string
	// ConfigTopic is the operators' topic. The key of a record that evacuates an
	// availability zone is EvacuationKeyPrefix and the name of the zone.
	ConfigTopic         string
	EvacuationKeyPrefix string
	Server              Server
	// Heartbeats returns the handler of the backend server's heartbeats.
	Heartbeats func(*Sidecar) http.Handler
}
