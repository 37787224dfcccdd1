package entry

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/placement"
)

// Options are the settings of an entry. The toml names are the keys of its
// settings file.
type Options struct {
	Name     string `toml:"name" validate:"required,name"`
	Zone     string `toml:"zone" validate:"required,name"`
	Region   string `toml:"region" validate:"required,name"`
	HTTPAddr string `toml:"http_addr" validate:"required,ipport"`
	RPCAddr  string `toml:"rpc_addr" validate:"required,ipport"`
	LogURL   string `toml:"log_url" validate:"required,http_url"` // of the platform's log
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`

	// PublishToken is what an operator presents to publish documents; empty
	// lets anyone who reaches the entry publish.
	PublishToken string `toml:"publish_token"`

	MaxWait      settings.Duration `toml:"max_wait"`      // a caller may hold a request open
	DrainTimeout settings.Duration `toml:"drain_timeout"` // of a graceful stop
	// StopLinger is how long a stopped entry goes on answering for its jobs.
	StopLinger   settings.Duration `toml:"stop_linger" validate:"min=0"`
	MaxOpenJobs  int               `toml:"max_open_jobs" validate:"min=1,max=1000000"`
	MaxOpenTasks int               `toml:"max_open_tasks" validate:"min=1,max=10000000"`
	// Seed feeds the random choices of placement; 0 draws one at start.
	Seed uint64 `toml:"seed"`

	// NewPolicy and NoRecall are for measurements: another way to place, and
	// none to recall tasks from stragglers.
	NewPolicy func(seed uint64) placement.Policy `toml:"-"`
	NoRecall  bool                               `toml:"-"`
}

// DefaultOptions returns the settings that have a default.
func DefaultOptions() Options {
	return Options{
		LogLevel:     "info",
		MaxWait:      settings.Duration(60 * time.Second),
		DrainTimeout: settings.Duration(60 * time.Second),
		StopLinger:   settings.Duration(5 * time.Second),
		MaxOpenJobs:  10_000,
		MaxOpenTasks: 50_000,
	}
}
