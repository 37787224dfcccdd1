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
	// KeyLogURL is a second stream of the log, for idempotency keys; empty
	// refuses jobs that carry one.
	KeyLogURL string `toml:"key_log_url" validate:"omitempty,http_url"`
	LogLevel  string `toml:"log_level" validate:"oneof=debug info warn error"`

	// PublishToken lets the platform's operators publish any document.
	PublishToken string `toml:"publish_token"`
	// PublishTokens holds by team the token that lets it publish the documents
	// it owns. Without any token everyone who reaches the entry may publish.
	PublishTokens map[string]string `toml:"publish_tokens" validate:"dive,keys,name,endkeys,min=16"`

	// PublishTimeout bounds how long an edit is tried while the log is slow or
	// down.
	PublishTimeout settings.Duration `toml:"publish_timeout" validate:"longest=1m"`

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
		LogLevel:       "info",
		PublishTimeout: settings.Duration(15 * time.Second),
		MaxWait:        settings.Duration(60 * time.Second),
		DrainTimeout:   settings.Duration(60 * time.Second),
		StopLinger:     settings.Duration(5 * time.Second),
		MaxOpenJobs:    10_000,
		MaxOpenTasks:   50_000,
	}
}
