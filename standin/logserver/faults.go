package logserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// DefaultAppendsPerSecond is the rate the platform states for its log.
const DefaultAppendsPerSecond = 300

// Faults states how the log misbehaves. The zero value is a log in good order.
type Faults struct {
	// Down cuts every request's connection before it takes effect.
	Down bool `json:"down"`
	// DropReplies cuts every append's connection after it took effect.
	DropReplies bool `json:"deaf"`
	// DropNextReplies does the same to this many appends.
	DropNextReplies int `json:"deaf_appends"`
	// Delay passes before each request takes effect.
	Delay Duration `json:"delay"`
	// KeepRecords is the number of records kept; zero keeps all.
	KeepRecords int `json:"keep_records"`
	// AppendsPerSecond bounds the rate of appends; zero takes
	// DefaultAppendsPerSecond.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

func (f Faults) appendsPerSecond() float64 {
	if f.AppendsPerSecond <= 0 {
		return DefaultAppendsPerSecond
	}
	return f.AppendsPerSecond
}

// Duration is a time.Duration in its text form in JSON, such as "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String returns the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// ParseFaults reads faults from JSON and refuses unknown keys.
func ParseFaults(text []byte) (Faults, error) {
	var f Faults
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// appendLimiter bounds the rate of appends, with a burst of one second's worth.
type appendLimiter struct{ limiter *rate.Limiter }

func (a *appendLimiter) setRate(perSecond float64) {
	if a.limiter != nil && a.limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	a.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (a *appendLimiter) allow() bool { return a.limiter.Allow() }
