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

// defaultListLimit is the default of flag -limit of the commands that print lists.
const defaultListLimit = 20

// operatorCommands returns the operators' commands. They write results to out and errors to errOut.
func operatorCommands(out, errOut io.Writer) []subcommands.Command {
	return []subcommands.Command{
		configCommands(out, errOut),
		auditCommand(out, errOut),
		programCommands(out, errOut),
		backendCommands(out, errOut),
	}
}

// commandGroup is a command that consists of subcommands. It implements subcommands.Command.
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

// operatorCommand is an operators' command. It implements subcommands.Command, and its exit codes are those of package
// client.
type operatorCommand struct {
	name     string
	synopsis string
	usage    string // Flags and arguments, for the help text and error messages.
	args     int    // Required number of arguments.
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
			return &client.UsageError{Message: fmt.Sprintf("flag %s follows an argument; flags must precede all arguments", arg)}
		}
	}
	if len(args) != c.args {
		return &client.UsageError{Message: fmt.Sprintf("got %d arguments instead of %d: %s", len(args), c.args, c.usage)}
	}
	return nil
}

// runRequest connects with the flags, calls query and prints its result, either as JSON or with the given function.
func runRequest[T any](
	ctx context.Context,
	flags *client.Flags,
	out io.Writer,
	query func(ctx context.Context, c *client.Client) (T, error),
	print func(out io.Writer, result T) error,
) error {
	c, ctx, cancel, err := flags.Connect(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := query(ctx, c)
	if err != nil {
		return err
	}
	if flags.JSON {
		return client.PrintJSON(out, result)
	}
	return print(out, result)
}

// actionResult is the result of a command that changes something. With flag -json it is printed as JSON.
type actionResult struct {
	Done    bool   `json:"done"`
	message string // Text to print without flag -json.
}

func printActionResult(out io.Writer, result actionResult) error {
	_, err := fmt.Fprintln(out, result.message)
	return err
}

// actionCommand returns a command that performs an action on the object with a given id. Its flag -reason is required, as
// the reason is recorded in the audit trail. act performs the action and returns the text to print on success.
func actionCommand(
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
			f.StringVar(&reason, "reason", "", "reason to record in the audit trail")
		},
		run: func(ctx context.Context, args []string) error {
			if reason == "" {
				return &client.UsageError{Message: "flag -reason is required"}
			}
			query := func(ctx context.Context, c *client.Client) (actionResult, error) {
				message, err := act(ctx, c, args[0], reason)
				return actionResult{Done: true, message: message}, err
			}
			return runRequest(ctx, flags, out, query, printActionResult)
		},
	}
}
