package logserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// DefaultAppendsPerSecond is the append rate that the platform specifies for its
// log.
const DefaultAppendsPerSecond = 300

// Faults are the faults that the server simulates. The zero value means none.
type Faults struct {
	// Down closes the connection of every request before the request takes
	// effect.
	Down bool `json:"down"`
	// DropReplies closes the connection of every append after the append took
	// effect, so that the client does not receive the reply.
	DropReplies bool `json:"deaf"`
	// DropNextReplies is the number of next appends to which the same happens.
	DropNextReplies int `json:"deaf_appends"`
	// Delay is the time to wait before each request takes effect.
	Delay Duration `json:"delay"`
	// KeepRecords is the number of newest records to retain; zero retains all.
	KeepRecords int `json:"keep_records"`
	// AppendsPerSecond limits the rate of appends; zero means
	// DefaultAppendsPerSecond.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

func (f Faults) appendsPerSecond() float64 {
	if f.AppendsPerSecond <= 0 {
		return DefaultAppendsPerSecond
	}
	return f.AppendsPerSecond
}

// Duration is a time.Duration that is encoded in JSON as text, such as "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String formats the duration like time.Duration.
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

// ParseFaults parses faults from JSON and rejects unknown keys.
func ParseFaults(text []byte) (Faults, error) {
	var f Faults
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("parse faults: %w", err)
	}
	return f, nil
}

// appendLimiter limits the rate of appends, with bursts of up to one second's
// worth of appends.
type appendLimiter struct{ limiter *rate.Limiter }

// setRate changes the rate. An unchanged rate keeps the state of the limiter.
func (a *appendLimiter) setRate(perSecond float64) {
	if a.limiter != nil && a.limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	a.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (a *appendLimiter) allow() bool { return a.limiter.Allow() }
