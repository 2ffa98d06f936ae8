package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/demo"
	"github.com/redwinggauge/redwinggauge/internal/load"
)

// loadCommand generates load by running agent programs against a system, and measures the system.
type loadCommand struct {
	plan    string
	entries string
	engines string
	policy  string
	compare string
	output  string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "run agent programs and measure latency, outcomes and wasted cache memory"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load -plan FILE [-entries LIST] [-engines LIST] [-policy NAME] [-compare BASELINE] [-json FILE]\n" +
		"  Run the programs of the plan against the entries, or against a separate demo if none are given, and print\n" +
		"  percentiles for each class. With -compare, run the same programs against a second demo with the baseline policy\n" +
		"  and print the ratios of the results.\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.plan, "plan", "", "YAML file that describes the programs to run")
	f.StringVar(&c.entries, "entries", "", "addresses of the entries' caller ports, host:port, comma-separated; replaces those of the plan")
	f.StringVar(&c.engines, "engines", "", "addresses of stand-in engines to query for wasted cache memory, host:port, comma-separated; replaces those of the plan")
	f.StringVar(&c.policy, "policy", "", "routing policy of the demo; empty means the default")
	f.StringVar(&c.compare, "compare", "", "baseline routing policy of a second demo, on which the same programs run")
	f.StringVar(&c.output, "json", "", "file to write the measurements to as JSON")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.plan == "" {
		fmt.Fprintln(os.Stderr, "load: flag -plan is required")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := c.execute(ctx, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "load: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) execute(ctx context.Context, out, progress io.Writer) error {
	plan, err := load.ReadPlan(c.plan)
	if err != nil {
		return err
	}
	if c.entries != "" {
		plan.Entries = strings.Split(c.entries, ",")
	}
	if c.engines != "" {
		plan.Engines = strings.Split(c.engines, ",")
	}
	if len(plan.Entries) > 0 && (c.compare != "" || c.policy != "") {
		return errors.New("flags -policy and -compare apply to demos only and cannot be combined with entries, whose policy is one of their settings")
	}
	reports, err := c.runAll(ctx, plan, out, progress)
	if err != nil {
		return err
	}
	if len(reports) == 2 {
		if err := load.WriteComparison(out, reports[0], reports[1]); err != nil {
			return err
		}
	}
	if c.output == "" {
		return nil
	}
	return load.WriteJSON(c.output, reports)
}

// runAll runs the plan, and a second time with the baseline policy if there is one, and prints a report after each run.
func (c *loadCommand) runAll(ctx context.Context, plan *load.Plan, out, progress io.Writer) ([]*load.Report, error) {
	policies := []string{c.policy}
	if c.compare != "" {
		policies = append(policies, c.compare)
	}
	var reports []*load.Report
	for _, policy := range policies {
		report, err := runPolicy(ctx, plan, policy, progress)
		if err != nil {
			return nil, err
		}
		if err := report.WriteTable(out); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// runPolicy runs the plan against its entries, or against a demo with the policy if it has none.
func runPolicy(ctx context.Context, plan *load.Plan, policy string, progress io.Writer) (*load.Report, error) {
	if len(plan.Entries) > 0 {
		return load.Run(ctx, plan, load.Target{Policy: "as set", Entries: plan.Entries, Engines: plan.Engines}, progress)
	}
	log := slog.New(slog.NewTextHandler(progress, &slog.HandlerOptions{Level: slog.LevelError}))
	cluster, err := demo.Start(context.WithoutCancel(ctx), log, policy)
	if err != nil {
		return nil, fmt.Errorf("start demo: %w", err)
	}
	target := load.Target{Policy: policy, Engines: cluster.Engines}
	if policy == "" {
		target.Policy = "default"
	}
	for _, e := range cluster.Entries {
		target.Entries = append(target.Entries, e.Address())
	}
	report, err := load.Run(ctx, plan, target, progress)
	if stopErr := cluster.Stop(); stopErr != nil {
		fmt.Fprintf(progress, "the demo did not stop cleanly: %v\n", stopErr)
	}
	return report, err
}
