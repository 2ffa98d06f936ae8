package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// processCommand is a command that runs a long-lived process with a settings file. It implements subcommands.Command.
type processCommand struct {
	name     string
	synopsis string
	// load reads and checks the settings file. It returns the id of the process and a function that runs the process until
	// ctx ends.
	load func(path string) (id string, run func(ctx context.Context) error, err error)

	settingsFile string
	checkOnly    bool
}

// Name implements subcommands.Command.
func (c *processCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *processCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *processCommand) Usage() string {
	return fmt.Sprintf("%s -settings FILE [-check]\n  %s. SIGTERM drains the process and ends it.\n", c.name, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *processCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings `FILE` in YAML")
	f.BoolVar(&c.checkOnly, "check", false, "check the settings file and exit")
}

// Execute implements subcommands.Command.
func (c *processCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" {
		fmt.Fprintf(os.Stderr, "%s: -settings FILE is required\n", c.name)
		return subcommands.ExitUsageError
	}
	// Signals are handled before the process starts, so that a process that receives one while starting shuts down
	// gracefully as well.
	signal.Ignore(syscall.SIGHUP) // Processes that watch their settings file handle it again later.
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	id, run, err := c.load(c.settingsFile)
	if err == nil && c.checkOnly {
		fmt.Printf("%s: settings of %s %s are valid\n", c.settingsFile, c.name, id)
		return subcommands.ExitSuccess
	}
	if err == nil {
		err = run(signalCtx)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
