// Package logging makes the key=value loggers of the programs.
package logging

import (
	"io"
	stdlog "log"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes one key=value line per event to w. Name
// names the process; lowest is "debug", "info", "warn" or "error".
func New(w io.Writer, name, lowest string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "process", name)
}

// Stdlib returns a standard logger for a library, each line of which becomes one
// event of l.
func Stdlib(l log.Logger, event string) *stdlog.Logger {
	l = log.With(level.Warn(l), "event", event)
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("detail")), "", 0)
}
