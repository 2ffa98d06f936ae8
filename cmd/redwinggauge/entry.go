package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/entry"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// entryCommand runs the process that serves callers and operators.
type entryCommand struct {
	settings string
	check    bool
}

// Name implements subcommands.Command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis implements subcommands.Command.
func (*entryCommand) Synopsis() string { return "run the process that serves callers and operators" }

// Usage implements subcommands.Command.
func (*entryCommand) Usage() string {
	return "entry -settings FILE [-check]\n  Run the process that serves callers and operators until SIGTERM, which drains it.\n"
}

// SetFlags implements subcommands.Command.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE` in YAML")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute implements subcommands.Command.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintln(os.Stderr, "entry: -settings FILE is required")
		return subcommands.ExitUsageError
	}
	config := entry.DefaultSettings()
	if err := settings.Load(c.settings, &config); err != nil {
		fmt.Fprintf(os.Stderr, "entry: %v\n", err)
		return subcommands.ExitFailure
	}
	if c.check {
		fmt.Printf("%s: settings of entry %s are valid\n", c.settings, config.ID)
		return subcommands.ExitSuccess
	}
	if err := runEntry(ctx, config); err != nil {
		fmt.Fprintf(os.Stderr, "entry: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runEntry runs an entry until a signal drains it.
func runEntry(ctx context.Context, config entry.Settings) error {
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	process, err := entry.Start(ctx, config, &policy.Config{}, config.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	<-signals.Done()
	drain, cancel := context.WithTimeout(ctx, time.Duration(config.DrainMS)*time.Millisecond)
	defer cancel()
	return process.Shutdown(drain)
}
