// Package demo runs a small complete system in one process, on the loopback interface: entries, sidecars, and stand-ins that
// simulate the platform's services and the backend servers.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/entry"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/standin/engine"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
	"github.com/redwinggauge/redwinggauge/internal/standin/members"
	"github.com/redwinggauge/redwinggauge/internal/standin/service"
	"github.com/redwinggauge/redwinggauge/internal/standin/weights"
)

const (
	// Model is the name of the model that the demo's engines serve.
	Model = "demo-lm"
	// OperatorToken is the token of operator "demo".
	OperatorToken = "demo-operator-token"
	// Service is the name of the demo's service, whose backend servers are not engines.
	Service = "archive"

	entryCount   = 2
	engineCount  = 4
	serviceCount = 2

	kvWritesPerSecond = 300
	kvReadsPerSecond  = 2000
	kvWriteDelay      = 3 * time.Millisecond
	kvReadDelay       = time.Millisecond

	engineSlots     = 8
	prefillRate     = 8000 // Prompt tokens per second.
	decodeRate      = 200  // Output tokens per second of a sequence that runs alone.
	cacheTokens     = 200_000
	reportLag       = time.Second
	readyTimeout    = 20 * time.Second
	stopTimeout     = 10 * time.Second
	loopbackAnyPort = "127.0.0.1:0"
	demoRegion      = "local"
)

// failureDomains are the failure domains to which the demo assigns its processes in turn.
var failureDomains = []string{"local-a", "local-b", "local-c"}

// Cluster is a running demo.
type Cluster struct {
	Entries  []*entry.Entry
	Engines  []string // Addresses of the stand-in engines.
	Services []string // Addresses of the stand-in services.
	KV       string   // Address of the stand-in key-value service.

	log      *slog.Logger
	routing  string
	sidecars []*sidecar.Sidecar
	standins []io.Closer
}

// Start starts the demo and returns when it is ready to serve. routing is the routing policy of the entries; empty means the
// default.
func Start(ctx context.Context, log *slog.Logger, routing string) (*Cluster, error) {
	c := &Cluster{log: log, routing: routing}
	if err := c.start(ctx, routing); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, routing string) error {
	store, err := kv.Start(kv.Options{
		Listen: loopbackAnyPort, WritesPerSecond: kvWritesPerSecond, ReadsPerSecond: kvReadsPerSecond,
		WriteDelay: kvWriteDelay, ReadDelay: kvReadDelay,
	})
	if err != nil {
		return err
	}
	c.standins = append(c.standins, store)
	c.KV = store.Address()
	weightStore, err := weights.Start(weights.Options{Listen: loopbackAnyPort, FetchesPerSecond: 1})
	if err != nil {
		return err
	}
	c.standins = append(c.standins, weightStore)

	memberList, err := c.startBackends(ctx)
	if err != nil {
		return err
	}
	memberServer, err := members.Start(members.Options{Listen: loopbackAnyPort, Members: memberList})
	if err != nil {
		return err
	}
	c.standins = append(c.standins, memberServer)
	for _, s := range entrySettings(c.KV, memberServer.Address(), routing) {
		process, err := entry.Start(ctx, s, policy.Default(), c.log)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, process)
		memberServer.Put(ports.Member{
			ID: s.ID, Role: ports.RoleEntry, Address: process.InternalAddress(), Region: s.Region, FailureDomain: s.FailureDomain,
		})
	}
	return c.waitReady(ctx)
}

// startBackends starts the stand-in engines and services, each with a sidecar, and returns their entries in the membership
// list.
func (c *Cluster) startBackends(ctx context.Context) ([]ports.Member, error) {
	var memberList []ports.Member
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i+1)
		backend, err := engine.Start(engine.Options{
			Listen: loopbackAnyPort, Name: name, Models: []string{Model}, Slots: engineSlots,
			PrefillTokensPerSecond: prefillRate, DecodeTokensPerSecond: decodeRate, CacheTokens: cacheTokens,
			ReportLag: reportLag,
		})
		if err != nil {
			return nil, err
		}
		c.standins = append(c.standins, backend)
		c.Engines = append(c.Engines, backend.Address())
		m, err := c.startSidecar(ctx, name, "engine", Model, backend.Address(), i, engineSlots)
		if err != nil {
			return nil, err
		}
		memberList = append(memberList, m)
	}
	for i := range serviceCount {
		name := fmt.Sprintf("%s-%d", Service, i+1)
		backend, err := service.Start(service.Options{Listen: loopbackAnyPort, Name: name})
		if err != nil {
			return nil, err
		}
		c.standins = append(c.standins, backend)
		c.Services = append(c.Services, backend.Address())
		m, err := c.startSidecar(ctx, name, "service", Service, backend.Address(), i, engineSlots)
		if err != nil {
			return nil, err
		}
		memberList = append(memberList, m)
	}
	return memberList, nil
}

// startSidecar starts the sidecar of a backend server and returns its entry in the membership list. serves is the model of
// an engine or the name of a service.
func (c *Cluster) startSidecar(ctx context.Context, name, kind, serves, backend string, index, slots int) (ports.Member, error) {
	s := sidecar.Default()
	s.Name = name
	s.Listen = loopbackAnyPort
	s.Kind = kind
	s.Backend = backend
	s.Slots = slots
	if c.routing != "" && c.routing != schedule.RouteCacheAware {
		// The other routing policies are baselines for comparison. A baseline represents a complete system without this
		// scheduling, so its sidecars run calls first come, first served and refuse none early.
		s.QueuePolicy = schedule.QueueFIFO
		s.RefuseEarly = false
	}
	s.FailureDomain = failureDomains[index%len(failureDomains)]
	process, err := sidecar.Start(ctx, s, c.log.With("sidecar", name))
	if err != nil {
		return ports.Member{}, err
	}
	c.sidecars = append(c.sidecars, process)
	return ports.Member{
		ID: name, Role: ports.RoleBackend, Address: process.Address(), Region: demoRegion,
		FailureDomain: s.FailureDomain, Kind: kind, Service: serves,
	}, nil
}

// entrySettings returns the settings of the entries. store and membership are the addresses of the key-value service and of
// the membership list.
func entrySettings(store, membership, routing string) []entry.Settings {
	allSettings := make([]entry.Settings, entryCount)
	for i := range allSettings {
		s := entry.DefaultSettings()
		s.ID = fmt.Sprintf("entry-%d", i+1)
		s.Region = demoRegion
		s.FailureDomain = failureDomains[i%len(failureDomains)]
		s.Listen = loopbackAnyPort
		s.OperatorListen = loopbackAnyPort
		s.InternalListen = loopbackAnyPort
		s.KV = []string{store}
		s.Operators = []httpapi.Operator{{Name: "demo", Token: OperatorToken}}
		s.Membership = membership
		if routing != "" {
			s.Policy = routing
		}
		allSettings[i] = s
	}
	return allSettings
}

// waitReady waits until every entry is ready, which means that every journal has an owner and that every sidecar has been
// contacted.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := true
		for _, e := range c.Entries {
			ready = ready && e.Ready()
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the demo was not ready within %s", readyTimeout)
		case <-ticker.C:
		}
	}
}

// Stop drains the entries, then the sidecars, and then stops the stand-ins. It may be called after a failed start.
func (c *Cluster) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, e := range c.Entries {
		errs = append(errs, e.Shutdown(ctx))
	}
	for _, s := range c.sidecars {
		errs = append(errs, s.Shutdown(ctx))
	}
	for _, standin := range c.standins {
		errs = append(errs, standin.Close())
	}
	return errors.Join(errs...)
}
