package entry

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/placement"
)

// Options are the settings of an entry. The toml tags are the keys of its settings
// file.
type Options struct {
	Name     string `toml:"name" validate:"required,name"`
	Zone     string `toml:"zone" validate:"required,name"`
	Region   string `toml:"region" validate:"required,name"`
	HTTPAddr string `toml:"http_addr" validate:"required,ipport"`
	RPCAddr  string `toml:"rpc_addr" validate:"required,ipport"`
	LogURL   string `toml:"log_url" validate:"required,http_url"` // of the platform's log
	// KeyLogURL is the URL of the separate stream for idempotency keys. If it is
	// empty, jobs with an idempotency key are rejected.
	KeyLogURL string `toml:"key_log_url" validate:"omitempty,http_url"`
	LogLevel  string `toml:"log_level" validate:"oneof=debug info warn error"`

	// PublishToken is the token of the platform's operators, who may publish any
	// document.
	PublishToken string `toml:"publish_token"`
	// PublishTokens maps a team to the token that permits it to publish the
	// documents it owns. If neither PublishToken nor PublishTokens is set,
	// everyone who can reach the entry may publish.
	PublishTokens map[string]string `toml:"publish_tokens" validate:"dive,keys,name,endkeys,min=16"`

	// PublishTimeout is how long publishing an edit is retried while the log is
	// slow or unavailable.
	PublishTimeout settings.Duration `toml:"publish_timeout" validate:"longest=1m"`

	MaxWait      settings.Duration `toml:"max_wait"`      // longest time that a request waits for a final state
	DrainTimeout settings.Duration `toml:"drain_timeout"` // of a graceful shutdown
	// StopLinger is how long a drained entry continues to answer requests about
	// its jobs before it exits.
	StopLinger   settings.Duration `toml:"stop_linger" validate:"min=0"`
	MaxOpenJobs  int               `toml:"max_open_jobs" validate:"min=1,max=1000000"`
	MaxOpenTasks int               `toml:"max_open_tasks" validate:"min=1,max=10000000"`
	// MemoryMB is the memory of the instance in MiB. MaxDescriptors is how many files and sockets the process
	// may have open; zero for the limit of the operating system. What clients may occupy follows from both.
	MemoryMB       int `toml:"memory_mb" validate:"min=256,max=1048576"`
	MaxDescriptors int `toml:"max_descriptors" validate:"omitempty,min=256"`
	// Seed is the seed for random choices of placement; 0 selects a random seed.
	Seed uint64 `toml:"seed"`

	// NewPolicy and NoRecall are for benchmarks. NewPolicy replaces the placement
	// policy, and NoRecall disables recalls of tasks that wait at slow agents.
	NewPolicy func(seed uint64) placement.Policy `toml:"-"`
	NoRecall  bool                               `toml:"-"`
}

// DefaultOptions returns the default values of the settings that have one.
func DefaultOptions() Options {
	return Options{
		LogLevel:       "info",
		PublishTimeout: settings.Duration(15 * time.Second),
		MaxWait:        settings.Duration(60 * time.Second),
		DrainTimeout:   settings.Duration(60 * time.Second),
		StopLinger:     settings.Duration(5 * time.Second),
		MaxOpenJobs:    10_000,
		MaxOpenTasks:   50_000,
		MemoryMB:       256,
	}
}
