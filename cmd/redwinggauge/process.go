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

// processCommand runs a long-lived process from a settings file.
type processCommand struct {
	name     string
	synopsis string
	// load reads the settings file and returns the process's name with the function that runs it until ctx ends.
	load func(path string) (id string, run func(ctx context.Context) error, err error)

	settings string
	check    bool
}

// Name implements subcommands.Command.
func (c *processCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *processCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *processCommand) Usage() string {
	return fmt.Sprintf("%s -settings FILE [-check]\n  %s until SIGTERM, which drains it.\n", c.name, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *processCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE` in YAML")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute implements subcommands.Command.
func (c *processCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintf(os.Stderr, "%s: -settings FILE is required\n", c.name)
		return subcommands.ExitUsageError
	}
	// Signals count from the first moment: a process that is stopped while it starts ends in order as well.
	signal.Ignore(syscall.SIGHUP) // Processes that follow their settings ask for it again.
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	id, run, err := c.load(c.settings)
	if err == nil && c.check {
		fmt.Printf("%s: settings of %s %s are valid\n", c.settings, c.name, id)
		return subcommands.ExitSuccess
	}
	if err == nil {
		err = run(signals)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
