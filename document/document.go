// Package document is the service document: its TOML form, its checks, and the
// questions that entries and agents ask of it.
package document

import "time"

// Document states what a service accepts, how much it takes and when it
// leaves. It is owned by the team that runs the service.
type Document struct {
	Service string `toml:"service" validate:"required,name"`
	Owner   string `toml:"owner" validate:"required,name"`

	Accept Accept           `toml:"accept"`
	Limits Limits           `toml:"limits"`
	Teams  map[string]Quota `toml:"teams" validate:"max=256,dive,keys,name,endkeys"`
	Leave  Leave            `toml:"leave"`
	Policy Policy           `toml:"policy"`
}

// Accept states which jobs the service takes. Zero values take the system's
// own limits.
type Accept struct {
	Kinds           []string `toml:"kinds" validate:"max=256,dive,required,max=64"` // empty: every kind
	ContentTypes    []string `toml:"content_types" validate:"max=64,dive,mediatype"`
	MaxTasksPerJob  int      `toml:"max_tasks_per_job" validate:"min=0,max=890"`
	MaxPayloadBytes int      `toml:"max_payload_bytes" validate:"min=0,max=262144"`
	MaxDeclared     Duration `toml:"max_declared" validate:"longest=1h"`
	MaxTimeout      Duration `toml:"max_timeout" validate:"longest=1h"`
}

// Limits states how much the service takes.
type Limits struct {
	// Slots is the number of tasks at once per backend server; zero: as the
	// agent announces.
	Slots int `toml:"slots" validate:"min=0,max=4096"`
	// Queue is the number of tasks waiting per agent; zero: as the agent has it
	// set.
	Queue int `toml:"queue" validate:"min=0,max=4096"`
	// TasksPerSecond bounds task starts over all entries; zero: no bound.
	TasksPerSecond float64 `toml:"tasks_per_second" validate:"min=0,max=1000000"`
	// Retries is the share of dispatches that may be retries, 0 to 1.
	Retries float64 `toml:"retries" validate:"min=0,max=1"`
}

// Quota is a calling team's part of the service. A team without one shares
// what is left.
type Quota struct {
	Share          float64 `toml:"share" validate:"min=0,max=1000"`               // weight under contention; zero counts as 1
	TasksPerSecond float64 `toml:"tasks_per_second" validate:"min=0,max=1000000"` // zero: no bound
	MaxOpenTasks   int     `toml:"max_open_tasks" validate:"min=0,max=1000000"`   // zero: no bound
}

// Leave states when the service or single backend servers take no new work.
type Leave struct {
	At             time.Time `toml:"at"` // zero: no date
	Drain          bool      `toml:"drain"`
	BackendServers []string  `toml:"backend_servers" validate:"max=1024,dive,name"` // agent names that leave
	Grace          Duration  `toml:"grace" validate:"longest=1h"`                   // for started tasks
	// StopCanceled stops started tasks whose job is canceled.
	StopCanceled bool `toml:"stop_canceled"`
}

// Policy weighs the two measures.
type Policy struct {
	// MessageWeight is the weight of wasted messages against response time, 0
	// to 1.
	MessageWeight float64 `toml:"message_weight" validate:"min=0,max=1"`
}

// Duration is a time.Duration in TOML's text form, such as "250ms".
type Duration time.Duration

// String returns the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Leaving reports whether the backend server with the agent name takes no new
// work at now.
func (d *Document) Leaving(agent string, now time.Time) bool {
	if d.Leave.Drain {
		return true
	}
	if !d.Leave.At.IsZero() && !now.Before(d.Leave.At) {
		return true
	}
	for _, name := range d.Leave.BackendServers {
		if name == agent {
			return true
		}
	}
	return false
}
