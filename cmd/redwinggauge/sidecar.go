package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/settings"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

// sidecarCommand runs the process beside a backend server.
type sidecarCommand struct {
	settings string
	check    bool
}

// Name implements subcommands.Command.
func (*sidecarCommand) Name() string { return "sidecar" }

// Synopsis implements subcommands.Command.
func (*sidecarCommand) Synopsis() string { return "run the process beside a backend server" }

// Usage implements subcommands.Command.
func (*sidecarCommand) Usage() string {
	return "sidecar -settings FILE [-check]\n  Run the process beside a backend server until SIGTERM, which drains it.\n"
}

// SetFlags implements subcommands.Command.
func (c *sidecarCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE` in YAML")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute implements subcommands.Command.
func (c *sidecarCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintln(os.Stderr, "sidecar: -settings FILE is required")
		return subcommands.ExitUsageError
	}
	config := sidecar.Default()
	if err := settings.Load(c.settings, &config); err != nil {
		fmt.Fprintf(os.Stderr, "sidecar: %v\n", err)
		return subcommands.ExitFailure
	}
	if c.check {
		fmt.Printf("%s: settings of sidecar %s are valid\n", c.settings, config.Name)
		return subcommands.ExitSuccess
	}
	if err := runSidecar(ctx, config); err != nil {
		fmt.Fprintf(os.Stderr, "sidecar: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runSidecar runs a sidecar until a signal or a drain asked for over the network ends it.
func runSidecar(ctx context.Context, config sidecar.Settings) error {
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	process, err := sidecar.Start(ctx, config, config.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	select {
	case <-signals.Done():
	case <-process.Drained():
	}
	return process.Shutdown(ctx)
}
