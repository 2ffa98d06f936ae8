package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// settingsCheckInterval is the interval at which the settings file is checked for changes, as it may change without a
// signal to the process.
const settingsCheckInterval = 2 * time.Second

// watchSettings reads the settings file on SIGHUP and whenever it has changed, and passes the settings to apply, until ctx
// ends. defaults returns the values of settings that the file does not contain. An invalid file is logged and not applied.
func watchSettings[T any](ctx context.Context, path string, defaults func() T, log *slog.Logger, apply func(T)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := modTime(path); now.Equal(last) {
				continue
			}
			reason = "file changed"
		}
		last = modTime(path)
		next := defaults()
		if err := settings.Load(path, &next); err != nil {
			log.Error("reload refused", "reason", reason, "error", err)
			continue
		}
		apply(next)
		log.Info("reload", "reason", reason)
	}
}

// modTime returns the modification time of the file, or the zero time if it cannot be determined. A file that disappears
// therefore counts as changed.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
