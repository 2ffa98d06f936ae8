package main

import (
	"context"
	"flag"
	"io"

	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// auditCommand returns the command that lists the events of the audit trail.
func auditCommand(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	var limit int
	return &operatorCommand{
		name:     "audit",
		synopsis: "list configuration changes, engine orders, drains and programs ended by operators, newest first",
		usage:    "[-limit N]",
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.IntVar(&limit, "limit", defaultListLimit, "maximum number of events")
		},
		run: func(ctx context.Context, _ []string) error {
			query := func(ctx context.Context, c *client.Client) ([]policy.Event, error) { return c.Audit(ctx, limit) }
			return runRequest(ctx, flags, out, query, client.PrintEvents)
		},
	}
}
