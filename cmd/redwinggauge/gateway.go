package main

import (
	"context"
	"os"

	"github.com/redwinggauge/redwinggauge/internal/gateway"
	"github.com/redwinggauge/redwinggauge/internal/logging"
	"github.com/redwinggauge/redwinggauge/internal/settings"
	"github.com/redwinggauge/redwinggauge/platform"
)

// gatewayCommand returns the command that runs a gateway, the process that serves callers on the users' platform.
func gatewayCommand() *processCommand {
	return &processCommand{
		name:     "gateway",
		synopsis: "run the process that serves callers on the users' platform",
		load: func(path string) (string, func(context.Context) error, error) {
			config := gateway.DefaultSettings()
			err := settings.Load(path, &config)
			return config.ID, func(ctx context.Context) error { return runGateway(ctx, path, config) }, err
		},
	}
}

// runGateway runs a gateway until ctx ends, then drains it.
func runGateway(ctx context.Context, path string, config gateway.Settings) error {
	logWriter := logging.NewWriter(os.Stdout)
	defer logWriter.Close()
	log := config.Log.Logger(logWriter)
	process, err := gateway.Start(config, platform.New(config.Store), log)
	if err != nil {
		return err
	}
	process.CountDroppedLines(logWriter.Dropped)
	go watchSettings(ctx, path, gateway.DefaultSettings, log, process.Reload)
	<-ctx.Done()
	return process.Shutdown(context.WithoutCancel(ctx))
}
