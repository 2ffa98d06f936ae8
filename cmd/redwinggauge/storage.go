package main

import (
	"context"
	"os"

	"github.com/redwinggauge/redwinggauge/internal/retire"
	"github.com/redwinggauge/redwinggauge/internal/settings"
	"github.com/redwinggauge/redwinggauge/platform"
)

// storageCommand runs the process on machines with a disk.
func storageCommand() *processCommand {
	return &processCommand{
		name:     "storage",
		synopsis: "run the process that answers when a machine with a disk is to be emptied",
		load: func(path string) (string, func(context.Context) error, error) {
			var config retire.Settings
			err := settings.Load(path, &config)
			return config.ID, func(ctx context.Context) error {
				store := platform.NewStore(config.Store)
				return retire.Run(ctx, config, platform.RetireRequests(config.ID), store, config.Log.Logger(os.Stdout))
			}, err
		},
	}
}
