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
	Teams  map[string]Quota `toml:"teams" validate:"dive,keys,name,endkeys"`
	Leave  Leave            `toml:"leave"`
	Policy Policy           `toml:"policy"`
}

// Accept states which jobs the service takes. Zero values take the system's
// own limits.
type Accept struct {
	Kinds           []string `toml:"kinds"` // empty: every kind
	ContentTypes    []string `toml:"content_types"`
	MaxTasksPerJob  int      `toml:"max_tasks_per_job"`
	MaxPayloadBytes int      `toml:"max_payload_bytes"`
	MaxDeclared     Duration `toml:"max_declared"`
	MaxTimeout      Duration `toml:"max_timeout"`
}

// Limits states how much the service takes.
type Limits struct {
	Slots int `toml:"slots"` // tasks at once per backend server; zero: as the agent announces
	Queue int `toml:"queue"` // tasks waiting per agent
	// TasksPerSecond bounds task starts over all entries; zero: no bound.
	TasksPerSecond float64 `toml:"tasks_per_second"`
	// Retries is the share of dispatches that may be retries, 0 to 1.
	Retries float64 `toml:"retries"`
}

// Quota is a calling team's part of the service. A team without one shares
// what is left.
type Quota struct {
	Share          float64 `toml:"share"`            // weight under contention; zero counts as 1
	TasksPerSecond float64 `toml:"tasks_per_second"` // zero: no bound
	MaxOpenTasks   int     `toml:"max_open_tasks"`   // zero: no bound
}

// Leave states when the service or single backend servers take no new work.
type Leave struct {
	At             time.Time `toml:"at"` // zero: no date
	Drain          bool      `toml:"drain"`
	BackendServers []string  `toml:"backend_servers"` // agent names that leave
	Grace          Duration  `toml:"grace"`           // for started tasks
	// StopCanceled stops started tasks whose job is canceled.
	StopCanceled bool `toml:"stop_canceled"`
}

// Policy weighs the two measures.
type Policy struct {
	// MessageWeight is the weight of wasted messages against response time, 0
	// to 1.
	MessageWeight float64 `toml:"message_weight"`
}

// Duration is a time.Duration in TOML's text form, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

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
