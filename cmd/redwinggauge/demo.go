package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/demo"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// sampleTimeout is the time limit of the sample program of demo -run.
const sampleTimeout = time.Minute

// demoCommand runs a small complete system on the loopback interface.
type demoCommand struct {
	run     bool
	policy  string
	logging settings.Log
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a small complete system on the loopback interface" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return "demo [-run] [-policy NAME]\n  Run entries, sidecars and stand-ins of the platform services on the loopback interface until interrupted.\n" +
		"  With -run, run a sample program, print its calls, and exit with status 0 if every call has the expected result.\n"
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.run, "run", false, "run a sample program and exit")
	f.StringVar(&c.policy, "policy", "", "routing policy of the entries; empty means the default")
	f.StringVar(&c.logging.Level, "log-level", "warn", "log level: debug, info, warn or error")
	f.StringVar(&c.logging.Format, "log-format", "text", "log format: text or json")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := c.execute(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) execute(ctx context.Context) error {
	cluster, err := demo.Start(context.WithoutCancel(ctx), c.logging.Logger(os.Stderr), c.policy)
	if err != nil {
		return err
	}
	if c.run {
		err = c.sample(ctx, cluster)
	} else {
		c.printAddresses(cluster)
		<-ctx.Done()
	}
	if stopErr := cluster.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (c *demoCommand) sample(ctx context.Context, cluster *demo.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	if err := cluster.RunSample(ctx, os.Stdout); err != nil {
		return err
	}
	fmt.Println("the sample program had the right outcome")
	return nil
}

func (c *demoCommand) printAddresses(cluster *demo.Cluster) {
	for i, e := range cluster.Entries {
		fmt.Printf("entry-%d callers http://%s/v1 operators %s\n", i+1, e.Address(), e.OperatorAddress())
	}
	for i, address := range cluster.Engines {
		fmt.Printf("engine-%d http://%s\n", i+1, address)
	}
	for i, address := range cluster.Services {
		fmt.Printf("%s-%d http://%s\n", demo.Service, i+1, address)
	}
	fmt.Printf("operator token %s\n", demo.OperatorToken)
	fmt.Printf("key-value service http://%s\n", cluster.KV)
}
