// Command redwinggauge schedules the calls of agent programs to backend servers. Each kind of process of the system is a
// subcommand, and so are the operators' commands, a demo and a load generator.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// version is the version of a release, set by the linker.
var version = "development"

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&versionCommand{}, "")
	subcommands.Register(entryCommand(), "processes")
	subcommands.Register(sidecarCommand(), "processes")
	subcommands.Register(gatewayCommand(), "processes")
	subcommands.Register(storageCommand(), "processes")
	subcommands.Register(&demoCommand{}, "processes")
	subcommands.Register(&standinCommand{}, "processes")
	for _, c := range operatorCommands(os.Stdout, os.Stderr) {
		subcommands.Register(c, "operators")
	}
	subcommands.Register(&loadCommand{}, "processes")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// versionCommand prints the version of the program.
type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n  Print the version.\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("redwinggauge", version)
	return subcommands.ExitSuccess
}
