package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/redwinggauge/redwinggauge/internal/settings"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

// sidecarCommand returns the command that runs a sidecar, the process next to a backend server that schedules its calls.
func sidecarCommand() *processCommand {
	return &processCommand{
		name:     "sidecar",
		synopsis: "run the process next to a backend server that schedules its calls",
		load: func(path string) (string, func(context.Context) error, error) {
			config := sidecar.Default()
			err := settings.Load(path, &config)
			return config.Name, func(ctx context.Context) error { return runSidecar(ctx, config) }, err
		},
	}
}

// sidecarMemoryBytes is what a sidecar's machine spares for it, less its executable. Near it the garbage collector runs more often.
const sidecarMemoryBytes = 46 << 20

// runSidecar runs a sidecar until ctx ends or the sidecar has drained after a request over the network.
func runSidecar(ctx context.Context, config sidecar.Settings) error {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(sidecarMemoryBytes)
	}
	background := context.WithoutCancel(ctx)
	process, err := sidecar.Start(background, config, config.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-process.Drained():
	}
	return process.Shutdown(background)
}
