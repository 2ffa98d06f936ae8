package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/client"
)

// defaultListed is how many entries a list has when its command names no limit.
const defaultListed = 20

// operatorCommands returns the commands for operators, which write to out and errOut.
func operatorCommands(out, errOut io.Writer) []subcommands.Command {
	return []subcommands.Command{
		configCommands(out, errOut),
		auditCommand(out, errOut),
		programCommands(out, errOut),
		backendCommands(out, errOut),
	}
}

// commandGroup is a command that consists of subcommands.
type commandGroup struct {
	name     string
	synopsis string
	errOut   io.Writer
	commands []*operatorCommand
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s SUBCOMMAND: %s\n", g.name, g.synopsis)
	for _, c := range g.commands {
		fmt.Fprintf(&out, "  %s\n", c.Usage())
	}
	return out.String()
}

// SetFlags implements subcommands.Command.
func (*commandGroup) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set := flag.NewFlagSet(g.name, flag.ContinueOnError)
	set.SetOutput(g.errOut)
	commander := subcommands.NewCommander(set, "redwinggauge "+g.name)
	commander.Error = g.errOut
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	if err := set.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

// operatorCommand is a command for operators. Its exit codes are those of package client.
type operatorCommand struct {
	name     string
	synopsis string
	usage    string // Flags and arguments.
	args     int    // How many arguments it takes.
	errOut   io.Writer
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Name implements subcommands.Command.
func (c *operatorCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *operatorCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *operatorCommand) Usage() string {
	return fmt.Sprintf("%s %s: %s\n", c.name, c.usage, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *operatorCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.checkArgs(f.Args())
	if err == nil {
		err = c.run(ctx, f.Args())
	}
	if err != nil {
		fmt.Fprintf(c.errOut, "redwinggauge: %s: %v\n", c.name, err)
	}
	return subcommands.ExitStatus(client.ExitCodeOf(err))
}

func (c *operatorCommand) checkArgs(args []string) error {
	for _, arg := range args {
		if len(arg) > 1 && arg[0] == '-' {
			return &client.UsageError{Message: fmt.Sprintf("flag %s comes after an argument; flags go first", arg)}
		}
	}
	if len(args) != c.args {
		return &client.UsageError{Message: fmt.Sprintf("%d arguments are given and %d are needed: %s", len(args), c.args, c.usage)}
	}
	return nil
}

// request asks the entries and prints the answer, as JSON or by the given function.
func request[T any](
	ctx context.Context,
	flags *client.Flags,
	out io.Writer,
	ask func(ctx context.Context, c *client.Client) (T, error),
	print func(out io.Writer, answer T) error,
) error {
	c, ctx, cancel, err := flags.Connect(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := ask(ctx, c)
	if err != nil {
		return err
	}
	if flags.JSON {
		return client.PrintJSON(out, answer)
	}
	return print(out, answer)
}

// done is the answer to an action, printed with -json.
type done struct {
	Done    bool   `json:"done"`
	message string // For people.
}

func printDone(out io.Writer, answer done) error {
	_, err := fmt.Fprintln(out, answer.message)
	return err
}

// reasonedCommand acts on the thing with an id, for a reason that the audit trail keeps. act returns the line that tells
// of its success.
func reasonedCommand(
	out, errOut io.Writer, name, synopsis string, act func(ctx context.Context, c *client.Client, id, reason string) (string, error),
) *operatorCommand {
	flags := &client.Flags{}
	var reason string
	return &operatorCommand{
		name:     name,
		synopsis: synopsis,
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
				message, err := act(ctx, c, args[0], reason)
				return done{Done: true, message: message}, err
			}
			return request(ctx, flags, out, ask, printDone)
		},
	}
}
