package main

import (
	"context"
	"os"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/entry"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// entryCommand returns the command that runs an entry, the process that serves callers and operators.
func entryCommand() *processCommand {
	return &processCommand{
		name:     "entry",
		synopsis: "run the process that serves callers and operators",
		load: func(path string) (string, func(context.Context) error, error) {
			config := entry.DefaultSettings()
			err := settings.Load(path, &config)
			return config.ID, func(ctx context.Context) error { return runEntry(ctx, config) }, err
		},
	}
}

// runEntry runs an entry until ctx ends, then drains it for at most the configured time.
func runEntry(ctx context.Context, config entry.Settings) error {
	background := context.WithoutCancel(ctx)
	process, err := entry.Start(background, config, &policy.Config{}, config.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(background, time.Duration(config.DrainMS)*time.Millisecond)
	defer cancel()
	return process.Shutdown(drain)
}
