package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
)

// backendCommands returns the commands on backend servers.
func backendCommands(out, errOut io.Writer) *commandGroup {
	return &commandGroup{
		name:     "backend",
		synopsis: "list and drain backend servers",
		errOut:   errOut,
		commands: []*operatorCommand{backendList(out, errOut), backendDrain(out, errOut)},
	}
}

func backendList(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	return &operatorCommand{
		name:     "list",
		synopsis: "list backend servers with their load, as one entry sees them",
		errOut:   errOut,
		flags:    flags.Register,
		run: func(ctx context.Context, _ []string) error {
			ask := func(ctx context.Context, c *client.Client) ([]api.BackendInfo, error) { return c.Backends(ctx) }
			return request(ctx, flags, out, ask, client.PrintBackends)
		},
	}
}

func backendDrain(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	var reason string
	return &operatorCommand{
		name:     "drain",
		synopsis: "tell a backend server to take no new work and to finish what it has",
		usage:    "-reason TEXT ID",
		args:     1,
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.StringVar(&reason, "reason", "", "why, for the audit trail")
		},
		run: func(ctx context.Context, args []string) error {
			if reason == "" {
				return &client.UsageError{Message: "-reason is required"}
			}
			ask := func(ctx context.Context, c *client.Client) (done, error) {
				err := c.Drain(ctx, args[0], reason)
				return done{Done: true, message: fmt.Sprintf("backend server %s drains", args[0])}, err
			}
			return request(ctx, flags, out, ask, printDone)
		},
	}
}
