package main

import (
	"context"
	"fmt"
	"io"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
)

// backendCommands returns the group of commands for backend servers.
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
		synopsis: "list backend servers and their load, as the responding entry sees them",
		errOut:   errOut,
		flags:    flags.Register,
		run: func(ctx context.Context, _ []string) error {
			query := func(ctx context.Context, c *client.Client) ([]api.BackendInfo, error) { return c.Backends(ctx) }
			return runRequest(ctx, flags, out, query, client.PrintBackends)
		},
	}
}

func backendDrain(out, errOut io.Writer) *operatorCommand {
	return actionCommand(out, errOut, "drain", "tell a backend server to refuse new work and to finish the work in progress",
		func(ctx context.Context, c *client.Client, id, reason string) (string, error) {
			return fmt.Sprintf("backend server %s drains", id), c.Drain(ctx, id, reason)
		})
}
