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

// settingsCheckInterval is how often a settings file is looked at: it may change without a signal.
const settingsCheckInterval = 2 * time.Second

// followSettings reads the settings file again on SIGHUP and when it has changed, until ctx ends. defaults returns the
// settings in force where the file gives none; a file that cannot be used changes nothing.
func followSettings[T any](ctx context.Context, path string, defaults func() T, log *slog.Logger, apply func(T)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := modified(path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := modified(path); now.Equal(last) {
				continue
			}
			reason = "file changed"
		}
		last = modified(path)
		next := defaults()
		if err := settings.Load(path, &next); err != nil {
			log.Error("reload refused", "reason", reason, "error", err)
			continue
		}
		apply(next)
		log.Info("reload", "reason", reason)
	}
}

// modified returns when the file was last written; the zero time when it cannot be told, which counts as no change.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
