package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"github.com/redwinggauge/redwinggauge/internal/standin/engine"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
	"github.com/redwinggauge/redwinggauge/internal/standin/members"
	"github.com/redwinggauge/redwinggauge/internal/standin/service"
	"github.com/redwinggauge/redwinggauge/internal/standin/weights"
)

// engineCrashStatus is the exit status of a stand-in engine that a request has crashed.
const engineCrashStatus = 3

// standinServer is a running stand-in server.
type standinServer interface {
	Address() string
	io.Closer
}

// standinCommand runs a stand-in, a simulated platform service or backend server for tests, as a separate process.
type standinCommand struct {
	kind    string
	listen  string
	name    string
	models  string
	kv      kv.Options
	engine  engine.Options
	service service.Options
	members members.Options
	weights weights.Options
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run a stand-in, a simulated platform service or backend server for tests"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin -kind kv|engine|service|members|weights [-listen 127.0.0.1:0] [flags]\n" +
		"Prints \"listening ADDRESS\" and runs until SIGTERM.\n"
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "kind of the stand-in: kv, engine, service, members or weights")
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.name, "name", "", "name of the engine or service")
	c.setKVFlags(f)
	c.setEngineFlags(f)
	f.DurationVar(&c.service.Delay, "service-delay", 0, "service: duration of each request")
	f.DurationVar(&c.members.Lag, "members-lag", 0, "members: delay until a change of the list is visible")
	f.Float64Var(&c.weights.FetchesPerSecond, "weights-rate", 0, "weights: fetches per second; 0 means no limit")
	f.DurationVar(&c.weights.Delay, "weights-delay", 0, "weights: duration of each fetch")
}

func (c *standinCommand) setKVFlags(f *flag.FlagSet) {
	f.Float64Var(&c.kv.WritesPerSecond, "kv-writes", 0, "kv: writes per second; 0 means no limit")
	f.Float64Var(&c.kv.ReadsPerSecond, "kv-reads", 0, "kv: reads per second; 0 means no limit")
	f.BoolVar(&c.kv.DelayBeyondRate, "kv-delay-beyond-rate", false, "kv: delay calls beyond the rate instead of refusing them")
	f.IntVar(&c.kv.MaxValueBytes, "kv-max-value", 0, "kv: maximum size of a value in bytes; 0 means 1 MiB")
	f.DurationVar(&c.kv.WriteDelay, "kv-write-delay", 0, "kv: duration of each write")
	f.DurationVar(&c.kv.ReadDelay, "kv-read-delay", 0, "kv: duration of each read")
	f.Uint64Var(&c.kv.Seed, "seed", 0, "kv, engine: seed of random faults")
}

func (c *standinCommand) setEngineFlags(f *flag.FlagSet) {
	f.StringVar(&c.models, "models", "", "engine: models that it serves, comma-separated; empty means all")
	f.IntVar(&c.engine.Slots, "slots", 0, "engine: maximum number of sequences that run at a time")
	f.Float64Var(&c.engine.PrefillTokensPerSecond, "prefill-rate", 0, "engine: prompt tokens per second")
	f.Float64Var(&c.engine.DecodeTokensPerSecond, "decode-rate", 0, "engine: output tokens per second of each sequence")
	f.IntVar(&c.engine.CacheTokens, "cache-tokens", 0, "engine: size of the prefix cache in tokens")
	f.DurationVar(&c.engine.ReportLag, "report-lag", 0, "engine: age of the load that it reports")
	f.DurationVar(&c.engine.CacheEventLag, "cache-event-lag", 0, "engine: delay of cache events")
	f.Float64Var(&c.engine.CacheEventDropFraction, "cache-event-drop", 0, "engine: share of cache events that are lost, 0 to 1")
	f.DurationVar(&c.engine.LoadTime, "load-time", 0, "engine: duration of an order to load a model or adapter")
	f.StringVar(&c.engine.WeightStoreAddress, "weights", "", "engine: address of the weight store from which orders to load read")
	f.BoolVar(&c.engine.ChecksFence, "checks-fence", false, "engine: refuse orders with an outdated fencing number")
	f.Float64Var(&c.engine.TimeScale, "time-scale", 0, "engine: factor by which every simulated duration is divided; 0 means 1")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	server, err := c.start()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("listening", server.Address())
	<-stop
	if err := server.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// start starts the stand-in of the kind given by flag -kind.
func (c *standinCommand) start() (standinServer, error) {
	switch c.kind {
	case "kv":
		c.kv.Listen = c.listen
		return kv.Start(c.kv)
	case "engine":
		return c.startEngine()
	case "service":
		c.service.Listen, c.service.Name = c.listen, c.name
		return service.Start(c.service)
	case "members":
		c.members.Listen = c.listen
		return members.Start(c.members)
	case "weights":
		c.weights.Listen = c.listen
		return weights.Start(c.weights)
	}
	return nil, fmt.Errorf("stand-in kind %q is not one of kv, engine, service, members, weights", c.kind)
}

func (c *standinCommand) startEngine() (standinServer, error) {
	c.engine.Listen, c.engine.Name = c.listen, c.name
	if c.models != "" {
		c.engine.Models = strings.Split(c.models, ",")
	}
	c.engine.OnCrash = func() { os.Exit(engineCrashStatus) }
	return engine.Start(c.engine)
}
