package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
)

// programCommands returns the group of commands for programs.
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
		synopsis: "list programs, sorted by id",
		usage:    "[-limit N] [-after ID]",
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.IntVar(&limit, "limit", defaultListLimit, "maximum number of programs")
			f.StringVar(&after, "after", "", "list only programs that sort after this `ID`")
		},
		run: func(ctx context.Context, _ []string) error {
			query := func(ctx context.Context, c *client.Client) ([]api.ProgramInfo, error) {
				return c.Programs(ctx, limit, after)
			}
			return runRequest(ctx, flags, out, query, client.PrintPrograms)
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
			query := func(ctx context.Context, c *client.Client) (api.ProgramInfo, error) { return c.Program(ctx, args[0]) }
			return runRequest(ctx, flags, out, query, printProgram)
		},
	}
}

func programEnd(out, errOut io.Writer) *operatorCommand {
	return actionCommand(out, errOut, "end", "end a program and its descendants",
		func(ctx context.Context, c *client.Client, id, reason string) (string, error) {
			return fmt.Sprintf("program %s has ended", id), c.EndProgram(ctx, id, reason)
		})
}

func printProgram(out io.Writer, program api.ProgramInfo) error {
	return client.PrintPrograms(out, []api.ProgramInfo{program})
}
