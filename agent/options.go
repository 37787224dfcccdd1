package agent

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// Options are an agent's settings, in the form of its TOML file.
type Options struct {
	Name    string `toml:"name" validate:"required,name"`    // stable across restarts
	Service string `toml:"service" validate:"required,name"` // that the backend server belongs to
	Team    string `toml:"team" validate:"required,name"`    // owner of the backend server
	Zone    string `toml:"zone" validate:"required,name"`
	Region  string `toml:"region" validate:"required,name"`

	RPCAddr     string `toml:"rpc_addr" validate:"required,ipport"`  // for entries
	HTTPAddr    string `toml:"http_addr" validate:"required,ipport"` // for operators
	BackendURL  string `toml:"backend_url" validate:"required,http_url"`
	BalancerURL string `toml:"balancer_url" validate:"required,http_url"`

	Slots int `toml:"slots" validate:"min=1,max=1024"` // tasks its backend server runs at once
	// MemoryLimit is what LimitProcess holds the process to, in MB; zero: no
	// limit.
	MemoryLimit int    `toml:"memory_limit_mb" validate:"min=0,max=65536"`
	LogLevel    string `toml:"log_level" validate:"oneof=debug info warn error"`

	// LookupInterval is how often the balancer is asked for entries.
	LookupInterval settings.Duration `toml:"lookup_interval" validate:"min=1000000"`
	// SilenceTimeout is how long no entry may be heard of before the balancer
	// is asked out of turn.
	SilenceTimeout settings.Duration `toml:"silence_timeout" validate:"min=1000000"`
	// AnnounceTimeout bounds one announcement to an entry.
	AnnounceTimeout settings.Duration `toml:"announce_timeout" validate:"min=1000000"`
	// StopLinger is how long a stopping agent goes on refusing new tasks after
	// its entries have been told, for tasks that are under way to it.
	StopLinger settings.Duration `toml:"stop_linger" validate:"min=0"`
}

// DefaultOptions returns the settings of an agent but for those that have no
// sensible default.
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
