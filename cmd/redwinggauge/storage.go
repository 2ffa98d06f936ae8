package main

import (
	"context"
	"os"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/logging"
	"github.com/redwinggauge/redwinggauge/internal/retire"
	"github.com/redwinggauge/redwinggauge/internal/settings"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/platform"
)

// storageCommand returns the command that runs the process on machines with a disk. The process answers requests to empty
// its machine.
func storageCommand() *processCommand {
	return &processCommand{
		name:     "storage",
		synopsis: "run the process that answers requests to empty a machine with a disk",
		load: func(path string) (string, func(context.Context) error, error) {
			var config retire.Settings
			err := settings.Load(path, &config)
			return config.ID, func(ctx context.Context) error {
				logWriter := logging.NewWriter(os.Stdout)
				defer logWriter.Close()
				store, log := platform.NewStore(config.Store), config.Log.Logger(logWriter)
				store.OnBrokenAnswer(transport.RecordBrokenAnswers(log, metrics.GetDefaultSet()))
				go watchSettings(ctx, path, func() retire.Settings { return retire.Settings{} }, log, func(s retire.Settings) {
					store.Relocate(s.Store)
				})
				return retire.Run(ctx, config, platform.RetireRequests(config.ID), store, log)
			}, err
		},
	}
}
