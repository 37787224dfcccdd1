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

// settingsPollInterval is the interval at which the modification time of the settings
// file is checked. The platform may change the file without sending a signal, and no
// setting is urgent.
const settingsPollInterval = 5 * time.Second

// settingsWatcher reloads the settings file on SIGHUP and when the file changes.
type settingsWatcher struct {
	file string
	// prepare returns a struct for the new settings, set to the defaults, and a
	// function that puts them in force.
	prepare func() (settings any, apply func())
	logger  log.Logger
	modTime time.Time // of the file when it was last read
}

// catchHangups returns a channel of the SIGHUPs from now on. They are caught until the
// process ends: by default one would end it, also during its graceful shutdown.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

func (w *settingsWatcher) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	w.modTime = w.fileModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.reload("SIGHUP")
		case <-ticker.C:
			if !w.fileModTime().Equal(w.modTime) {
				w.reload("file changed")
			}
		}
	}
}

func (w *settingsWatcher) fileModTime() time.Time {
	info, err := os.Stat(w.file)
	if err != nil {
		return w.modTime
	}
	return info.ModTime()
}

// reload loads the file and puts its settings in force. If the file is invalid, the
// settings in force stay.
func (w *settingsWatcher) reload(cause string) {
	w.modTime = w.fileModTime()
	s, apply := w.prepare()
	if err := settings.Load(w.file, s); err != nil {
		level.Error(w.logger).Log("event", "reload_failed", "cause", cause, "reason", err)
		return
	}
	apply()
	level.Info(w.logger).Log("event", "reloaded", "cause", cause, "file", w.file)
}
