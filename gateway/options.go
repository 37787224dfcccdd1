// Package gateway is the shell of an entry on the users' platform: it carries
// callers' jobs, agents' sessions and the store's records to the state machine
// of package dispatch, and its effects out.
package gateway

import (
	"net/http"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/routing"
)

// Options are the settings of an entry.
type Options struct {
	instance.Options
	// JobsAddr takes callers' requests, ReadyAddr the balancer's probes.
	JobsAddr  string `toml:"jobs_addr" validate:"required,ipport"`
	ReadyAddr string `toml:"ready_addr" validate:"required,ipport"`
}

// defaultMemoryMB is the memory of the smallest common instance of an entry.
const defaultMemoryMB = 256

// DefaultOptions returns the defaults of the settings that have one.
func DefaultOptions() Options {
	return Options{Options: instance.DefaultOptions(defaultMemoryMB)}
}

// Platform is what the gateway needs of the users' platform.
type Platform struct {
	Store keyedlog.Store
	// ConfigTopic and ConfigKey name the record with the operators'
	// configuration, MembersTopic the topic of the agents' announcements.
	ConfigTopic, ConfigKey, MembersTopic string
	// ConfigCopyTopic is where entries keep a copy of that record.
	ConfigCopyTopic string
	// DecodeConfig decodes the record's value.
	DecodeConfig func(text []byte) (*routing.Table, error)
	// Jobs and Ready serve callers and the balancer.
	Jobs, Ready func(*Gateway) http.Handler
}
