// Package gateway serves callers whose request bodies it does not interpret. It chooses a backend server for each call,
// keeps programs within their token budgets, stores the text of their turns, and refuses calls that cannot be served.
//
// A program is a series of calls that share a budget. A turn is a call that is answered by a stream of events, usually from
// an engine, which is a backend server that runs a model. One of the gateways is the hub: it places the turns of all
// gateways, batches their writes to the key-value service, and watches the service for them. A gateway that cannot reach
// the hub works without it.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/conntrack"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/leaving"
	"github.com/redwinggauge/redwinggauge/internal/liveness"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/internal/turns"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// Platform holds what a gateway needs from the platform that it runs on.
type Platform struct {
	Codec calls.Codec
	Store ports.Store
	// Relocate changes the address to which further calls to the store go.
	Relocate func(address string)
	// OnBrokenAnswer makes report be called for each answer of the store that is none of the protocol.
	OnBrokenAnswer func(report func(address string, e *http1.MalformedError))
	Catalogue      Catalogue
}

// Catalogue describes where in the key-value service the operators' configuration and the list of backend servers are
// stored, and how to decode them.
type Catalogue struct {
	ConfigKey     string
	ConfigPrefix  string // Prefix that is watched for changes of ConfigKey.
	ServerPrefix  string
	DecodeConfig  func(value []byte) (*fleet.Config, error)
	DecodeServer  func(item ports.KeyValue) (*fleet.BackendServer, error)
	ServerIDOfKey func(key string) string
}

// Prefixes of the gateways' own keys in the key-value service.
const (
	keyPrefix    = "redwinggauge/"
	turnPrefix   = keyPrefix + "turns/"
	budgetPrefix = keyPrefix + "budgets/"
	memberPrefix = keyPrefix + "gateways/"
	streamPrefix = keyPrefix + "streams/"
	// transcriptPrefix is that of the events of turns that may be taken up.
	transcriptPrefix = keyPrefix + "transcripts/"
	// organisationBudgetPrefix is that of the budgets of programs that belong to an organisation.
	organisationBudgetPrefix = keyPrefix + "organisations/budgets/"
)

// Gateway is a process that forwards calls from callers to backend servers.
type Gateway struct {
	settings      Settings
	codec         calls.Codec
	catalogue     Catalogue
	store         *monitoredStore
	batcher       *commit.Batcher
	storeAccess   *storeAccess
	group         *peers.Group
	client        *peers.Client
	followers     []*follower
	sending       *peers.SendingLimit
	memberLoads   memberLoads
	memberDomains memberDomainCalls
	assignments   assignments
	progressQueue progressQueue
	directory     *fleet.Directory
	pool          *upstream.Pool
	buffers       *buffers.Pool
	loads         *loads
	admission     *admission
	serviceShares serviceShares
	suspects      *suspects
	liveness      *liveness.Checker
	limits        *ratelimit.Table
	limiter       *ratelimit.Limiter
	leaving       *leaving.Table
	permits       *permits
	turns         *turns.Log
	origins       *origins
	transcripts   *transcripts
	accounts      *budget.Accounts
	keys          *keyChecks
	log           *slog.Logger
	metrics       *metrics
	relocate      func(address string)

	stop       context.CancelFunc
	servers    []*http.Server
	callers    net.Listener // Of the port for callers.
	conns      *conntrack.Tracker
	peers      *transport.Server
	following  atomic.Bool  // The hub's updates are current; the process does not watch the service itself.
	hubLeaving uint64       // Hash of the leaving servers in the last answer to a report. Used by reportLoop only.
	cachesRead atomic.Int64 // Engines whose cache lists were read when the process last became the hub.
	speedState speedState
	// ignoredEntries holds the revision of each entry of the list of backend servers that was logged as ignored, by key.
	ignoredEntries sync.Map
	graceUntil     atomic.Int64 // Unix nanoseconds. Until then, servers that left the list are kept.
	active         atomic.Int64 // Calls in progress.
	draining       atomic.Bool
	stopping       atomic.Pointer[plannedStop] // Nil until the process is asked to stop.
	waitingCalls   waitingCalls
}

// Start starts a gateway: it opens the ports and starts the background loops. Shutdown or Kill ends it.
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
		liveness:  liveness.NewChecker(ctx, log),
		limits:    ratelimit.NewTable(),
		leaving:   leaving.NewTable(time.Duration(s.DrainMS * float64(time.Millisecond))),
		log:       log,
		metrics:   newMetrics(),
		relocate:  p.Relocate,
		conns:     conntrack.NewTracker(),
		stop:      stop,
	}
	g.suspects = newSuspects(log, g.metrics.crashes)
	g.loads.learnSpeeds = s.LearnSpeeds
	g.buffers = buffers.NewPool(int64(g.memoryShare(bufferShare)))
	g.limiter = ratelimit.NewLimiter(g.limits)
	g.directory.SetDepartures(g.departure)
	g.loads.domains = newDomainState(s.DomainTrafficPriceMS)
	g.permits = newPermits(s)
	g.admission = newAdmission(g.loads, g.directory, g.limiter)
	g.store = newMonitoredStore(p.Store, p.Catalogue.ConfigKey, log, g.metrics)
	g.pool = upstream.NewPool(upstream.DefaultOptions(), g.metrics.dials.Inc)
	options := commit.DefaultOptions()
	options.Window = time.Duration(s.CommitWindow) * time.Millisecond
	options.InFlightBytes = int64(g.memoryShare(commitShare))
	g.batcher = commit.NewBatcher(g.store, options)
	incarnation := fmt.Sprintf("%s-%x", s.ID, rand.Uint64())
	g.group = peers.NewGroup(peers.Member{
		ID: s.ID, Incarnation: incarnation, Address: s.Peers, FailureDomain: s.FailureDomain, Capacity: s.Capacity,
		StartMS: time.Now().UnixMilli(), StoreFresh: true,
	})
	onBrokenAnswer := transport.RecordBrokenAnswers(log, g.metrics.set)
	g.client = peers.NewClient(onBrokenAnswer)
	if p.OnBrokenAnswer != nil {
		p.OnBrokenAnswer(onBrokenAnswer)
	}
	g.followers = g.newFollowers()
	g.sending = peers.NewSendingLimit(g.memoryShare(sendingShare))
	g.keys = g.newKeyChecks(ctx)
	g.storeAccess = &storeAccess{store: g.store, batcher: g.batcher, group: g.group, client: g.client}
	g.turns = turns.NewLog(g.storeAccess, g.storeAccess, turns.Options{Prefix: turnPrefix, CacheBytes: g.memoryShare(turnCacheShare)})
	g.origins = newOrigins(ctx, g.storeAccess, log)
	g.transcripts = newTranscripts(ctx, g.storeAccess, log)
	g.accounts = budget.NewAccounts(g.storeAccess, g.storeAccess, budget.Options{
		Prefix: budgetPrefix, OrganisationPrefix: organisationBudgetPrefix, Holder: incarnation, Retain: accountRetention,
	})
	g.store.onChange = g.onStoreChange
	g.registerGauges()
	if err := g.listen(); err != nil {
		stop()
		return nil, err
	}
	g.startLoops(ctx)
	log.Info("start", "failure_domain", s.FailureDomain, "callers", s.Callers, "store", s.Store)
	return g, nil
}

// startLoops starts the background loops, which run until ctx ends.
func (g *Gateway) startLoops(ctx context.Context) {
	loops := map[string]func(context.Context){
		"probe":     func(ctx context.Context) { g.store.probe(ctx, g.isHub) },
		"register":  g.register,
		"report":    g.reportLoop,
		"progress":  g.progressLoop,
		"cacheRead": g.cacheReadLoop,
		"expire":    g.expireLoop,
		"cleanup":   g.cleanupLoop,
		"sweep":     g.sweepLoop,
		"confirm":   g.confirmLoop,
		"suspects":  g.suspectStoreLoop,
	}
	if g.settings.LearnSpeeds {
		loops["speeds"] = g.speedLoop
	}
	for _, f := range g.followers {
		loops["follow "+f.prefix] = f.run
	}
	if g.loads.domains != nil {
		loops["domains"] = g.domainLoop
	}
	for name, run := range loops {
		go guard.Loop(ctx, g.log, name, run)
	}
}

const (
	accountRetention = 10 * time.Minute // Longer than a program stays idle.
	turnCacheShare   = 0.15             // Of the process's memory.
	bufferShare      = 0.2              // Of the process's memory, for requests and answers that are held as a whole.
	sendingShare     = 0.1              // Of the process's memory, for updates on the way to other gateways.
	commitShare      = 0.03             // Of the process's memory, for values on the way to the key-value service.
	defaultMemoryMB  = 256              // Assumed for these shares if the settings set no memory limit.
	memoryLimitShare = 0.75             // Of the memory that is left for Go. Above it, the garbage collector runs more often.
	programMB        = 16               // Resident memory of the program itself, which the limit of the Go runtime does not count.
	gcPercent        = 200              // Heap growth between collections. Memory is cheaper than CPU time here.
)

// memoryShare returns a share of the process's memory in bytes.
func (g *Gateway) memoryShare(share float64) int {
	size := g.settings.MemoryMB
	if size == 0 {
		size = defaultMemoryMB
	}
	return int(float64(size<<20) * share)
}

// limitMemory configures the garbage collector for a process with the given memory in MiB; 0 means that the memory is not
// limited.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		left := max(megabytes-programMB, megabytes/2)
		debug.SetMemoryLimit(int64(float64(left<<20) * memoryLimitShare))
	}
	debug.SetGCPercent(gcPercent)
}

// onStoreChange tells the group whether the key-value service answers this process.
func (g *Gateway) onStoreChange(change storeChange) {
	now := time.Now()
	switch change {
	case storeLost:
		if g.isHub() {
			g.group.ClearStoreFresh(now)
		}
		g.group.SetStoreFresh(now, false)
		for _, f := range g.followers {
			f.feed.Wake()
		}
	case storeRegained:
		g.group.SetStoreFresh(now, true)
		g.extendGrace(0)
	case storeConfirmed:
		g.group.SetStoreFresh(now, true)
	}
}

// listen opens the ports for callers, readiness checks, peers and, if set, metrics.
func (g *Gateway) listen() error {
	ready := http.HandlerFunc(g.serveReady)
	var err error
	if g.callers, err = g.startServer(g.settings.Callers, http.HandlerFunc(g.serveCall)); err != nil {
		return err
	}
	if _, err = g.startServer(g.settings.Ready, ready); err != nil {
		return err
	}
	if g.peers, err = peers.Listen(g.settings.Peers, peerService{g}, g.log); err != nil {
		return err
	}
	if g.settings.Metrics == "" {
		return nil
	}
	_, err = g.startServer(g.settings.Metrics, http.HandlerFunc(g.metrics.serve))
	return err
}

const (
	headerTimeout  = 10 * time.Second // For a caller to send its headers; the operators' limit is shorter.
	idleTimeout    = 5 * time.Minute  // Longer than any limit that operators set: callers reuse connections up to that limit.
	maxHeaderBytes = 64 << 10
)

// startServer listens on the address and serves HTTP there in the background.
func (g *Gateway) startServer(address string, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ConnContext:       withConnection,
		ConnState:         setConnState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelWarn),
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(g.conns.Listen(listener)); !errors.Is(err, http.ErrServerClosed) && !g.draining.Load() {
			g.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return listener, nil
}

// serveReady answers readiness checks: 200 if the gateway accepts new connections, 503 otherwise.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the gateway has a configuration and backend servers, can tell whether keys are valid, and is not shutting
// down.
func (g *Gateway) isReady() bool {
	view := g.directory.View()
	return !g.draining.Load() && view.Config != nil && view.Len() > 0 && g.acceptsKeys(view.Config)
}

// Reload applies the only setting that can change while the process runs: the address of the store.
func (g *Gateway) Reload(s Settings) { g.relocate(s.Store) }

// Kill ends the gateway immediately without finishing calls, as a crash would.
func (g *Gateway) Kill() {
	g.stop()
	for _, server := range g.servers {
		_ = server.Close()
	}
	_ = g.peers.Abort()
}

// Hub returns the id of the gateway that this one considers the hub.
func (g *Gateway) Hub() string { return g.group.Hub().ID }

// BackendServer returns the backend server with the id as the gateway knows it, or nil.
func (g *Gateway) BackendServer(id string) *fleet.BackendServer { return g.directory.View().Server(id) }

// sweepInterval is the time between two sweeps.
const sweepInterval = 2 * time.Second

// sweepLoop periodically releases what is no longer used: connections, budget accounts, and the state of servers, members
// and calls that have ended. It runs until ctx ends.
func (g *Gateway) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(sweepInterval):
			view := g.directory.View()
			g.pool.Sweep(view.HasAddress)
			g.accounts.Sweep(now)
			g.loads.sweep(view)
			g.suspects.sweep(view, g.store.outage() != nil, now)
			g.limits.Sweep(now, func(id string) bool { return view.Server(id) != nil })
			g.limiter.Sweep()
			g.expireOrigins(now)
			g.expireTranscripts(now)
			g.sweepMembers(now)
			g.assignments.sweep(now)
		}
	}
}
