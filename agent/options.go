package agent

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Options are the settings of an agent. The toml tags are the keys of its settings
// file.
type Options struct {
	Name    string `toml:"name" validate:"required,name"`    // stable across restarts
	Service string `toml:"service" validate:"required,name"` // of the backend server
	Team    string `toml:"team" validate:"required,name"`    // owner of the backend server
	Zone    string `toml:"zone" validate:"required,name"`
	Region  string `toml:"region" validate:"required,name"`

	RPCAddr     string `toml:"rpc_addr" validate:"required,ipport"`  // for entries
	HTTPAddr    string `toml:"http_addr" validate:"required,ipport"` // for operators
	BackendURL  string `toml:"backend_url" validate:"required,http_url"`
	BalancerURL string `toml:"balancer_url" validate:"required,http_url"`

	Slots int `toml:"slots" validate:"min=1,max=1024"` // maximum number of tasks that the backend server runs concurrently
	// MemoryLimit is the memory limit in MB that LimitProcess sets; zero means no
	// limit.
	MemoryLimit int    `toml:"memory_limit_mb" validate:"min=0,max=65536"`
	LogLevel    string `toml:"log_level" validate:"oneof=debug info warn error"`

	// LookupInterval is the interval at which the balancer is asked for entries.
	LookupInterval settings.Duration `toml:"lookup_interval" validate:"min=1000000"`
	// SilenceTimeout is the time without a heartbeat of any entry after which the
	// balancer is asked before LookupInterval has passed. It is also the time after
	// which the agent announces itself again to an entry that it has not heard from.
	SilenceTimeout settings.Duration `toml:"silence_timeout" validate:"min=1000000"`
	// AnnounceTimeout is the timeout of an announcement to an entry. On shutdown it
	// also limits the wait until all entries have been notified.
	AnnounceTimeout settings.Duration `toml:"announce_timeout" validate:"min=1000000"`
	// StopLinger is how long a drained agent continues to refuse new tasks after
	// its entries have been notified, for tasks that are in flight to it.
	StopLinger settings.Duration `toml:"stop_linger" validate:"min=0"`
}

// DefaultOptions returns the default values of the settings that have one.
func DefaultOptions() Options {
	return Options{
		Region:          "local",
		Slots:           8,
		MemoryLimit:     48,
		LogLevel:        "info",
		LookupInterval:  settings.Duration(time.Minute),
		SilenceTimeout:  settings.Duration(40 * time.Second),
		AnnounceTimeout: settings.Duration(2 * time.Second),
		StopLinger:      settings.Duration(500 * time.Millisecond),
	}
}
