// Package document defines the service document, by which the team that owns a
// service configures how it is used: its TOML format, validation and diffs.
package document

import "time"

// Document configures which jobs a service accepts, its limits and quotas, and
// when it or its backend servers leave. It is owned by the team that runs the
// service.
type Document struct {
	Service string `toml:"service" validate:"required,name"`
	Owner   string `toml:"owner" validate:"required,name"`

	Accept Accept           `toml:"accept"`
	Limits Limits           `toml:"limits"`
	Teams  map[string]Quota `toml:"teams" validate:"max=256,dive,keys,name,endkeys"`
	Leave  Leave            `toml:"leave"`
	Policy Policy           `toml:"policy"`
}

// Accept configures which jobs the service accepts. Zero values select the
// system's own limits.
type Accept struct {
	Kinds           []string `toml:"kinds" validate:"max=256,dive,required,max=64"` // empty: any kind
	ContentTypes    []string `toml:"content_types" validate:"max=64,dive,mediatype"`
	MaxTasksPerJob  int      `toml:"max_tasks_per_job" validate:"min=0,max=890"`
	MaxPayloadBytes int      `toml:"max_payload_bytes" validate:"min=0,max=262144"`
	MaxDeclared     Duration `toml:"max_declared" validate:"longest=1h"`
	MaxTimeout      Duration `toml:"max_timeout" validate:"longest=1h"`
}

// Limits configures the load on the service.
type Limits struct {
	// Slots is the number of concurrent tasks per backend server; zero: the
	// number that the agent announces.
	Slots int `toml:"slots" validate:"min=0,max=4096"`
	// Queue is the number of queued tasks per agent, at most the maximum in the
	// agent's settings; zero: as many as slots.
	Queue int `toml:"queue" validate:"min=0,max=4096"`
	// TasksPerSecond bounds the rate of task starts over all entries; zero: no
	// bound.
	TasksPerSecond float64 `toml:"tasks_per_second" validate:"min=0,max=1000000"`
	// Retries is the fraction of dispatches that may be retries, 0 to 1; zero
	// selects retry.DefaultShare.
	Retries float64 `toml:"retries" validate:"min=0,max=1"`
}

// Quota bounds a calling team's use of the service. A team without a quota has
// weight 1 and no bounds.
type Quota struct {
	Share          float64 `toml:"share" validate:"min=0,max=1000"`               // relative weight under contention; zero counts as 1
	TasksPerSecond float64 `toml:"tasks_per_second" validate:"min=0,max=1000000"` // zero: no bound
	MaxOpenTasks   int     `toml:"max_open_tasks" validate:"min=0,max=1000000"`   // zero: no bound
}

// Leave configures when the service, or some of its backend servers, accept no
// new work.
type Leave struct {
	At             time.Time `toml:"at"`                                            // the service leaves at this time; zero: never
	Drain          bool      `toml:"drain"`                                         // the service leaves now
	BackendServers []string  `toml:"backend_servers" validate:"max=1024,dive,name"` // names of the agents whose backend servers leave now
	Grace          Duration  `toml:"grace" validate:"longest=1h"`                   // after which started tasks are stopped; zero: never
	// StopCanceled makes agents stop started tasks whose job is canceled.
	StopCanceled bool `toml:"stop_canceled"`
}

// Policy configures the trade-off between response time and wasted messages.
type Policy struct {
	// MessageWeight is the weight of wasted messages relative to response time,
	// 0 to 1.
	MessageWeight float64 `toml:"message_weight" validate:"min=0,max=1"`
}

// Duration is a time.Duration that is written in TOML as text, such as "250ms".
type Duration time.Duration

// String implements fmt.Stringer.
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

// Leaving reports whether the backend server of the named agent is to accept no
// new work at the time now.
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
