package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
)

// programCommands returns the commands on programs.
func programCommands(out, errOut io.Writer) *commandGroup {
	return &commandGroup{
		name:     "program",
		synopsis: "list, show and end programs",
		errOut:   errOut,
		commands: []*operatorCommand{programList(out, errOut), programShow(out, errOut), programEnd(out, errOut)},
	}
}

func programList(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	var limit int
	var after string
	return &operatorCommand{
		name:     "list",
		synopsis: "list programs in order of their ids",
		usage:    "[-limit N] [-after ID]",
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.IntVar(&limit, "limit", defaultListed, "how many programs")
			f.StringVar(&after, "after", "", "begin after the program with this `ID`")
		},
		run: func(ctx context.Context, _ []string) error {
			ask := func(ctx context.Context, c *client.Client) ([]api.ProgramInfo, error) {
				return c.Programs(ctx, limit, after)
			}
			return request(ctx, flags, out, ask, client.PrintPrograms)
		},
	}
}

func programShow(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	return &operatorCommand{
		name:     "show",
		synopsis: "show one program",
		usage:    "ID",
		args:     1,
		errOut:   errOut,
		flags:    flags.Register,
		run: func(ctx context.Context, args []string) error {
			ask := func(ctx context.Context, c *client.Client) (api.ProgramInfo, error) { return c.Program(ctx, args[0]) }
			return request(ctx, flags, out, ask, printProgram)
		},
	}
}

func programEnd(out, errOut io.Writer) *operatorCommand {
	return reasonedCommand(out, errOut, "end", "end a program and its descendants",
		func(ctx context.Context, c *client.Client, id, reason string) (string, error) {
			return fmt.Sprintf("program %s has ended", id), c.EndProgram(ctx, id, reason)
		})
}

func printProgram(out io.Writer, program api.ProgramInfo) error {
	return client.PrintPrograms(out, []api.ProgramInfo{program})
}
