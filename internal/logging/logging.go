// Package logging creates the key=value (logfmt) loggers of the programs.
package logging

import (
	"io"
	stdlog "log"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes one key=value line per event to w. Every line
// carries name as the process name. minLevel is "debug", "info", "warn" or
// "error"; any other value means "info".
func New(w io.Writer, name, minLevel string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "process", name)
}

// Stdlib returns a standard-library logger to pass to a library. Each line that
// is written to it is logged to l as a warning with the given event name, the
// line itself under the key detail.
func Stdlib(l log.Logger, event string) *stdlog.Logger {
	l = log.With(level.Warn(l), "event", event)
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("detail")), "", 0)
}
