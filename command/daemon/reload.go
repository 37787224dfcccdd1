package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

// settingsPoll is how often the settings file is looked at: the platform may
// change it without a signal, and nothing in it is urgent.
const settingsPoll = 5 * time.Second

// settingsWatch reads the settings file again on SIGHUP and when it changes.
type settingsWatch struct {
	file string
	// again returns a place for the settings, with their defaults, and take
	// takes them in.
	again   func() (settings any, take func())
	logger  log.Logger
	changed time.Time // of the file, when last read
}

func (w *settingsWatch) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	w.changed = w.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.reload("SIGHUP")
		case <-ticker.C:
			if !w.modified().Equal(w.changed) {
				w.reload("file changed")
			}
		}
	}
}

func (w *settingsWatch) modified() time.Time {
	info, err := os.Stat(w.file)
	if err != nil {
		return w.changed
	}
	return info.ModTime()
}

// reload takes in the file, or keeps the settings in force if it has mistakes.
func (w *settingsWatch) reload(cause string) {
	w.changed = w.modified()
	s, take := w.again()
	if err := settings.Load(w.file, s); err != nil {
		level.Error(w.logger).Log("event", "reload_failed", "cause", cause, "reason", err)
		return
	}
	take()
	level.Info(w.logger).Log("event", "reloaded", "cause", cause, "file", w.file)
}
