// Package gateway serves callers whose calls are opaque to the product: it chooses a backend server for each call, keeps
// programs within their budgets, keeps what was said in their turns, and refuses what cannot be served.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/internal/turns"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// Platform is what a gateway needs of the platform that it runs on.
type Platform struct {
	Codec calls.Codec
	Store ports.Store
	// Relocate sends further calls to the store to another address.
	Relocate  func(address string)
	Catalogue Catalogue
}

// Catalogue reads the operators' configuration and the list of backend servers out of the key-value service.
type Catalogue struct {
	ConfigKey     string
	ConfigPrefix  string // Watched for ConfigKey.
	ServerPrefix  string
	DecodeConfig  func(value []byte) (*fleet.Config, error)
	DecodeServer  func(item ports.KeyValue) (*fleet.BackendServer, error)
	ServerIDOfKey func(key string) string
}

// Keys of the product in the key-value service.
const (
	ownPrefix    = "redwinggauge/"
	turnPrefix   = ownPrefix + "turns/"
	budgetPrefix = ownPrefix + "budgets/"
	memberPrefix = ownPrefix + "gateways/"
)

// Gateway is one process between callers and backend servers.
type Gateway struct {
	settings  Settings
	codec     calls.Codec
	catalogue Catalogue
	store     *watchedStore
	batcher   *commit.Batcher
	access    *access
	group     *peers.Group
	client    *peers.Client
	followers []*follower
	hubLoads  memberLoads
	assigned  assignments
	progress  progressLog
	directory *fleet.Directory
	pool      *upstream.Pool
	loads     *loads
	admission *admission
	suspects  *suspects
	turns     *turns.Log
	accounts  *budget.Accounts
	log       *slog.Logger
	metrics   *metrics
	relocate  func(address string)

	stop       context.CancelFunc
	servers    []*http.Server
	conns      *connections
	peers      *transport.Server
	following  atomic.Bool  // The hub's word is current.
	cachesRead atomic.Int64 // Engines whose caches were read when the process last became the hub.
	graceUntil atomic.Int64 // Unix nanoseconds, until which servers that left the list stay.
	active     atomic.Int64 // Calls under way.
	draining   atomic.Bool
}

// Start starts a gateway.
func Start(s Settings, p Platform, log *slog.Logger) (*Gateway, error) {
	limitMemory(s.MemoryMB)
	log = log.With("process", s.ID)
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		settings:  s,
		codec:     p.Codec,
		catalogue: p.Catalogue,
		directory: fleet.NewDirectory(),
		loads:     newLoads(),
		suspects:  newSuspects(log),
		log:       log,
		metrics:   newMetrics(),
		relocate:  p.Relocate,
		conns:     newConnections(),
		stop:      stop,
	}
	g.admission = newAdmission(g.loads, g.directory)
	g.store = newWatchedStore(p.Store, p.Catalogue.ConfigKey, log, g.metrics)
	g.pool = upstream.NewPool(upstream.DefaultOptions(), g.metrics.dials.Inc)
	options := commit.DefaultOptions()
	options.Window = time.Duration(s.CommitWindow) * time.Millisecond
	g.batcher = commit.NewBatcher(g.store, options)
	incarnation := fmt.Sprintf("%s-%x", s.ID, rand.Uint64())
	g.group = peers.NewGroup(peers.Member{
		ID: s.ID, Incarnation: incarnation, Address: s.Peers, FailureDomain: s.FailureDomain, Capacity: s.Capacity,
		StartMS: time.Now().UnixMilli(), StoreFresh: true,
	})
	g.client = peers.NewClient()
	g.followers = g.newFollowers()
	g.access = &access{store: g.store, batcher: g.batcher, group: g.group, client: g.client}
	g.turns = turns.NewLog(g.access, g.access, turns.Options{Prefix: turnPrefix, CacheBytes: g.turnCacheBytes()})
	g.accounts = budget.NewAccounts(g.access, g.access, budget.Options{Prefix: budgetPrefix, Holder: incarnation, Retain: accountRetention})
	g.store.onChange = g.noteStore
	g.observe()
	if err := g.listen(); err != nil {
		stop()
		return nil, err
	}
	go g.store.probe(ctx, g.isHub)
	go g.register(ctx)
	go g.reportLoop(ctx)
	go g.progressLoop(ctx)
	go g.cacheLoop(ctx)
	go g.expireLoop(ctx)
	go g.janitorLoop(ctx)
	for _, f := range g.followers {
		go f.run(ctx)
	}
	go g.sweep(ctx)
	log.Info("start", "failure_domain", s.FailureDomain, "callers", s.Callers, "store", s.Store)
	return g, nil
}

const (
	accountRetention = 10 * time.Minute // Longer than a program is idle.
	turnCacheShare   = 0.15             // Of the process's memory.
	defaultMemoryMB  = 256
	memoryLimitShare = 0.75 // Of the process's memory, from which the garbage collector works harder.
	gcPercent        = 200  // Heap growth between collections; memory costs less than processor time here.
)

func (g *Gateway) turnCacheBytes() int {
	size := g.settings.MemoryMB
	if size == 0 {
		size = defaultMemoryMB
	}
	return int(float64(size<<20) * turnCacheShare)
}

func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitShare))
	}
	debug.SetGCPercent(gcPercent)
}

// noteStore takes over whether the key-value service answers this process.
func (g *Gateway) noteStore(change storeChange) {
	now := time.Now()
	switch change {
	case storeLost:
		if g.isHub() {
			g.group.Doubt(now)
		}
		g.group.SetFresh(now, false)
	case storeRegained:
		g.group.SetFresh(now, true)
		g.noteReturn(0)
	case storeConfirmed:
		g.group.SetFresh(now, true)
	}
}

// listen opens the ports.
func (g *Gateway) listen() error {
	ready := http.HandlerFunc(g.serveReady)
	if err := g.serve(g.settings.Callers, http.HandlerFunc(g.serveCall)); err != nil {
		return err
	}
	if err := g.serve(g.settings.Ready, ready); err != nil {
		return err
	}
	var err error
	if g.peers, err = peers.Listen(g.settings.Peers, peerService{g}); err != nil {
		return err
	}
	if g.settings.Metrics == "" {
		return nil
	}
	return g.serve(g.settings.Metrics, http.HandlerFunc(g.metrics.serve))
}

const (
	headerTimeout  = 10 * time.Second // A caller's time for the headers; the operators' limit is shorter.
	idleTimeout    = 5 * time.Minute  // Longer than any limit that operators set: callers reuse connections up to it.
	maxHeaderBytes = 64 << 10
)

func (g *Gateway) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ConnContext:       g.conns.attach,
		ConnState:         g.conns.note,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelWarn),
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// serveReady answers whether the gateway takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) isReady() bool {
	view := g.directory.View()
	return !g.draining.Load() && view.Config != nil && view.Len() > 0
}

// Reload takes over the settings that can change while the process runs: the address of the store.
func (g *Gateway) Reload(s Settings) { g.relocate(s.Store) }

// Kill ends the gateway at once, as a crash would.
func (g *Gateway) Kill() {
	g.stop()
	for _, server := range g.servers {
		_ = server.Close()
	}
	_ = g.peers.Abort()
}

// Hub returns the id of the gateway that this one takes for the hub.
func (g *Gateway) Hub() string { return g.group.Hub().ID }

// Shutdown stops taking connections, answers the calls under way and those that still arrive, and ends when none is left or
// the grace is over. Idle connections close at once, so that callers turn to other gateways.
func (g *Gateway) Shutdown(ctx context.Context) error {
	began := time.Now()
	g.log.Info("stop", "active", g.active.Load())
	g.draining.Store(true)
	g.group.Leave() // Another gateway takes over as hub before this one ends.
	ctx, cancel := context.WithTimeout(ctx, g.settings.drainTime())
	defer cancel()
	for deregistered := began.Add(deregistrationTime); time.Now().Before(deregistered) && ctx.Err() == nil; {
		g.conns.closeIdle()
		pause.For(ctx, closeIdleStep)
	}
	var group errgroup.Group
	for _, server := range g.servers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		g.log.Warn("calls cut at the end of the grace", "active", g.active.Load(), "error", err)
	}
	g.stop()
	g.log.Info("stopped", "after_ms", time.Since(began).Milliseconds(), "active", g.active.Load())
	return nil
}

// deregistrationTime is how long the platform may take to notice that the gateway is not ready: two checks a second apart.
const (
	deregistrationTime = 2500 * time.Millisecond
	closeIdleStep      = 100 * time.Millisecond // Between two looks for connections that have become idle.
)

const sweepInterval = 2 * time.Second

// sweep releases what is no longer used.
func (g *Gateway) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(sweepInterval):
			view := g.directory.View()
			g.pool.Sweep(view.HasAddress)
			g.accounts.Sweep(now)
			g.loads.sweep(view)
			g.suspects.sweep(view, now)
			g.sweepMembers(now)
			g.assigned.sweep(now)
		}
	}
}
