// Package logging creates the key=value (logfmt) loggers of the programs.
package logging

import (
	"io"
	stdlog "log"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// timeKey is the key of a line's time.
const timeKey = "ts"

// New returns a logger that writes one key=value line per event to w. Every line
// carries name as the process name, and the time at which it is logged, unless At
// sets another one. minLevel is "debug", "info", "warn" or "error"; any other value
// means "info".
func New(w io.Writer, name, minLevel string) log.Logger {
	l := log.Logger(lastTime{log.NewLogfmtLogger(log.NewSyncWriter(w))})
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, timeKey, log.DefaultTimestampUTC, "process", name)
}

// At returns a logger for an event at time t. The process may be suspended between an
// event and the line about it.
func At(l log.Logger, t time.Time) log.Logger { return log.With(l, timeKey, t.UTC()) }

// lastTime keeps the last of several times of a line, in the place of the first.
type lastTime struct{ next log.Logger }

// Log implements log.Logger.
func (l lastTime) Log(keyvals ...any) error {
	first := -1
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch {
		case keyvals[i] != timeKey:
		case first < 0:
			first = i
		default:
			keyvals = slices.Clone(keyvals)
			keyvals[first+1] = keyvals[i+1]
			return l.next.Log(slices.Delete(keyvals, i, i+2)...)
		}
	}
	return l.next.Log(keyvals...)
}

// Stdlib returns a standard-library logger to pass to a library. Each line that
// is written to it is logged to l as a warning with the given event name, the
// line itself under the key detail.
func Stdlib(l log.Logger, event string) *stdlog.Logger {
	l = log.With(level.Warn(l), "event", event)
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("detail")), "", 0)
}
