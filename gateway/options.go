// Package gateway implements the process of an entry on the users' platform. It
// performs the I/O for the state machine of package dispatch: it turns callers'
// requests, agents' replies and records of the store into events, and carries out
// the resulting effects.
package gateway

import (
	"net/http"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/routing"
)

// Options are the settings of an entry.
type Options struct {
	instance.Options
	// JobsAddr is the listen address for callers' requests, ReadyAddr the one for
	// the balancer's readiness probes.
	JobsAddr  string `toml:"jobs_addr" validate:"required,ipport"`
	ReadyAddr string `toml:"ready_addr" validate:"required,ipport"`
	// Processors is the processor time of the instance, in processors.
	Processors float64 `toml:"processors" validate:"gt=0,lte=1024"`
	// FarFactor is how many times as long a task takes away from the rack that it names.
	FarFactor  float64             `toml:"far_factor" validate:"omitempty,gte=1"`
	Scheduling dispatch.Scheduling `toml:"scheduling"`
}

// defaultMemoryMB is the memory of the smallest instance type commonly used for an
// entry.
const defaultMemoryMB = 256

// DefaultOptions returns the default values of the settings that have one.
func DefaultOptions() Options {
	return Options{Options: instance.DefaultOptions(defaultMemoryMB), Processors: 1}
}

// Platform contains the parts of the users' platform that a Gateway depends on.
type Platform struct {
	Store keyedlog.Store
	// ConfigTopic and ConfigKey identify the record with the operators'
	// configuration. MembersTopic is the topic of the agents' announcements.
	ConfigTopic, ConfigKey, MembersTopic string
	// EvacuationKeyPrefix begins the keys of the configuration topic that evacuate an
	// availability zone; the rest of the key is the zone.
	EvacuationKeyPrefix string
	// ConfigCopyTopic is the topic of the copy that entries keep of that record.
	ConfigCopyTopic string
	// DecodeConfig decodes the value of the configuration record.
	DecodeConfig func(text []byte) (*routing.Table, error)
	// Jobs and Ready return the handlers of callers' requests and of the balancer's
	// probes.
	Jobs, Ready func(*Gateway) http.Handler
}
