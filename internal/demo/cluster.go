// Package demo runs a small whole system on loopback in one process: entries, sidecars and stand-ins of the platform.
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
	// Model is the model that the demo's engines serve.
	Model = "demo-lm"
	// OperatorToken is the token of the operator "demo".
	OperatorToken = "demo-operator-token"
	// Service is the plain service of the demo.
	Service = "archive"

	entryCount   = 2
	engineCount  = 4
	serviceCount = 2

	kvWritesPerSecond = 300
	kvReadsPerSecond  = 2000
	kvWriteDelay      = 3 * time.Millisecond
	kvReadDelay       = time.Millisecond

	engineSlots   = 8
	prefillRate   = 8000
	decodeRate    = 200
	cacheTokens   = 200_000
	reportLag     = time.Second
	readyDeadline = 20 * time.Second
	stopDeadline  = 10 * time.Second
	loopbackAny   = "127.0.0.1:0"
	demoRegion    = "local"
)

// failureDomains are the failure domains over which the demo spreads its processes.
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
	closers  []io.Closer
}

// Start starts the demo and returns when it can serve. routing names the routing policy of the entries; empty means
// the default.
func Start(ctx context.Context, log *slog.Logger, routing string) (*Cluster, error) {
	c := &Cluster{log: log, routing: routing}
	if err := c.start(ctx, routing); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, routing string) error {
	store, err := kv.Start(kv.Options{
		Listen: loopbackAny, WritesPerSecond: kvWritesPerSecond, ReadsPerSecond: kvReadsPerSecond,
		WriteDelay: kvWriteDelay, ReadDelay: kvReadDelay,
	})
	if err != nil {
		return err
	}
	c.closers = append(c.closers, store)
	c.KV = store.Address()
	weightStore, err := weights.Start(weights.Options{Listen: loopbackAny, FetchPerSecond: 1})
	if err != nil {
		return err
	}
	c.closers = append(c.closers, weightStore)

	listed, err := c.startBackends(ctx)
	if err != nil {
		return err
	}
	list, err := members.Start(members.Options{Listen: loopbackAny, Members: listed})
	if err != nil {
		return err
	}
	c.closers = append(c.closers, list)
	for _, s := range entryPlans(c.KV, list.Address(), routing) {
		process, err := entry.Start(ctx, s, policy.Default(), c.log)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, process)
		list.Put(ports.Member{
			ID: s.ID, Role: ports.RoleEntry, Address: process.InternalAddress(), Region: s.Region, FailureDomain: s.FailureDomain,
		})
	}
	return c.waitReady(ctx)
}

// startBackends starts the stand-in engines and services, each with its sidecar.
func (c *Cluster) startBackends(ctx context.Context) ([]ports.Member, error) {
	var listed []ports.Member
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i+1)
		backend, err := engine.Start(engine.Options{
			Listen: loopbackAny, Name: name, Models: []string{Model}, Slots: engineSlots,
			PrefillTokensPerSecond: prefillRate, DecodeTokensPerSecond: decodeRate, CacheTokens: cacheTokens,
			ReportLag: reportLag,
		})
		if err != nil {
			return nil, err
		}
		c.closers = append(c.closers, backend)
		c.Engines = append(c.Engines, backend.Address())
		m, err := c.startSidecar(ctx, name, "engine", Model, backend.Address(), i, engineSlots)
		if err != nil {
			return nil, err
		}
		listed = append(listed, m)
	}
	for i := range serviceCount {
		name := fmt.Sprintf("%s-%d", Service, i+1)
		backend, err := service.Start(service.Options{Listen: loopbackAny, Name: name})
		if err != nil {
			return nil, err
		}
		c.closers = append(c.closers, backend)
		c.Services = append(c.Services, backend.Address())
		m, err := c.startSidecar(ctx, name, "service", Service, backend.Address(), i, engineSlots)
		if err != nil {
			return nil, err
		}
		listed = append(listed, m)
	}
	return listed, nil
}

func (c *Cluster) startSidecar(ctx context.Context, name, kind, serves, backend string, index, slots int) (ports.Member, error) {
	s := sidecar.Default()
	s.Name = name
	s.Listen = loopbackAny
	s.Kind = kind
	s.Backend = backend
	s.Slots = slots
	if c.routing != "" && c.routing != schedule.RouteCacheAware {
		// A baseline is the whole of what it stands for: first come first served, and nobody refused early.
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

// entryPlans returns the settings of the entries.
func entryPlans(store, membership, routing string) []entry.Settings {
	plans := make([]entry.Settings, entryCount)
	for i := range plans {
		s := entry.DefaultSettings()
		s.ID = fmt.Sprintf("entry-%d", i+1)
		s.Region = demoRegion
		s.FailureDomain = failureDomains[i%len(failureDomains)]
		s.Listen = loopbackAny
		s.OperatorListen = loopbackAny
		s.InternalListen = loopbackAny
		s.KV = []string{store}
		s.Operators = []httpapi.Operator{{Name: "demo", Token: OperatorToken}}
		s.Membership = membership
		if routing != "" {
			s.Policy = routing
		}
		plans[i] = s
	}
	return plans
}

// waitReady waits until every journal has an owner and every sidecar has been heard of.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyDeadline)
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
			return fmt.Errorf("the demo was not ready within %s", readyDeadline)
		case <-ticker.C:
		}
	}
}

// Stop drains the entries, then the sidecars, and stops the stand-ins.
func (c *Cluster) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopDeadline)
	defer cancel()
	var all []error
	for _, e := range c.Entries {
		all = append(all, e.Shutdown(ctx))
	}
	for _, s := range c.sidecars {
		all = append(all, s.Shutdown(ctx))
	}
	for _, closer := range c.closers {
		all = append(all, closer.Close())
	}
	return errors.Join(all...)
}
