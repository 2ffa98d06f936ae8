// Package engine is a stand-in for an inference engine. It serves OpenAI chat completions and simulates continuous
// batching and a prefix cache of limited size. An answer is a deterministic function of the whole prompt, so tests can
// tell from an answer which history the engine received.
package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Options configures a Server. Start replaces zero fields by defaults, except where a comment gives zero a meaning.
type Options struct {
	Listen                 string
	Name                   string   // Name in load reports.
	Models                 []string // If empty, every model is served.
	Slots                  int      // Maximum number of sequences that run at the same time.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64       // Rate of a sequence that runs alone.
	CacheTokens            int           // Size of the prefix cache.
	ReportLag              time.Duration // Age of load reports; 0 means current reports.
	CacheEventLag          time.Duration // Delay before cache events are published; 0 means none.
	CacheEventDropFraction float64       // Fraction of cache events that are never published.
	LoadTime               time.Duration // Duration of a load order; 0 means none.
	WeightStoreAddress     string        // Weight store from which load orders fetch; empty means none.
	ChecksFence            bool          // Whether to reject an order whose fencing number is lower than one seen before.
	TimeScale              float64       // Divisor of simulated durations; above 1 the simulation runs faster.
	Seed                   uint64        // Seed for the choice of dropped cache events.
	OnCrash                func()        // Called when the engine crashes, before it closes its connections and stops; may be nil.
}

const (
	defaultSlots        = 8
	defaultPrefillRate  = 8000
	defaultDecodeRate   = 50
	defaultCacheTokens  = 64 << 10
	maxRecordedPrefixes = 8192
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	FreezeMS   int64   `json:"freeze_ms,omitempty"`   // Period after setting in which nothing runs and no request is answered.
	FailNext   int     `json:"fail_next,omitempty"`   // Number of next completions that fail with status 500 without running.
	SlowFactor float64 `json:"slow_factor,omitempty"` // Factor on the duration of each step; 0 means 1.
}

// Totals counts requests and tokens since the start.
type Totals struct {
	Requests      int64 `json:"requests"`
	PrefillTokens int64 `json:"prefill_tokens"` // Prompt tokens that had to be computed.
	CachedTokens  int64 `json:"cached_tokens"`  // Prompt tokens found in the prefix cache.
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
}

// Server is a running stand-in engine.
type Server struct {
	options    Options
	bootID     string
	httpServer *transport.Server
	faults     standin.FaultState[Faults]
	wake       chan struct{} // Signals to run that a sequence is waiting.
	stop       chan struct{} // Closed by Close.
	stopOnce   sync.Once
	crashed    atomic.Bool

	mu           sync.Mutex
	waiting      []*sequence         // Guarded by mu.
	running      []*sequence         // Guarded by mu. At most options.Slots.
	arrivals     uint64              // Guarded by mu. Number of requests so far; gives each sequence its arrival number.
	cache        *cache              // Guarded by mu.
	lastPrefixes map[string][]uint64 // Guarded by mu. Block hashes of the last prefix of each program.
	totals       Totals              // Guarded by mu.
	reportQueue  []timedReport       // Guarded by mu. Oldest first; the first is the published one.
	events       eventLog            // Guarded by mu.
	models       map[string]bool     // Guarded by mu. If empty, every model is served.
	modelVersion string              // Guarded by mu. Empty until an order sets it.
	adapters     []string            // Guarded by mu.
	role         string              // Guarded by mu. Empty until an order sets it.

	orders orderExecutor
}

// Start starts a stand-in engine.
func Start(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{
		options:      o,
		bootID:       fmt.Sprintf("%016x", rand.Uint64()),
		wake:         make(chan struct{}, 1),
		stop:         make(chan struct{}),
		lastPrefixes: make(map[string][]uint64),
		models:       make(map[string]bool),
		events:       newEventLog(o),
		orders:       orderExecutor{highestFence: make(map[int]uint64)},
	}
	s.cache = newCache(o.CacheTokens, s.events.add)
	for _, model := range o.Models {
		s.models[model] = true
	}
	if o.WeightStoreAddress != "" {
		s.orders.weights = ports.NewWeightStore(o.WeightStoreAddress)
	}
	server, err := standin.Listen(o.Listen, "engine", s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	go s.run()
	if o.ReportLag > 0 {
		go s.publishReports()
	}
	return s, nil
}

func (o *Options) setDefaults() {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.PrefillTokensPerSecond == 0 {
		o.PrefillTokensPerSecond = defaultPrefillRate
	}
	if o.DecodeTokensPerSecond == 0 {
		o.DecodeTokensPerSecond = defaultDecodeRate
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
}

// Address returns the listen address as host:port.
func (s *Server) Address() string { return s.httpServer.Address() }

// BootID returns a random ID that differs at each start.
func (s *Server) BootID() string { return s.bootID }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Close stops the stand-in immediately. It closes the connections before it stops the sequences, so that no truncated
// response looks complete.
func (s *Server) Close() error {
	err := s.httpServer.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	return err
}

// Crashed reports whether a request crashed the engine.
func (s *Server) Crashed() bool { return s.crashed.Load() }

// crash stops the engine as a fatal error would.
func (s *Server) crash() {
	s.crashed.Store(true)
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	_ = s.Close()
}

// remainingFreeze returns how much longer an injected freeze lasts; it is negative or 0 when the engine is not frozen.
func (s *Server) remainingFreeze() time.Duration {
	faults, since := s.faults.Get()
	return standin.Milliseconds(faults.FreezeMS) - time.Since(since)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == standin.PathFault {
		s.faults.Handle(ctx)
		return
	}
	if !s.waitWhileFrozen() {
		standin.CloseWithoutResponse(ctx)
		return
	}
	handler := s.route(path, ctx.IsGet())
	if handler == nil {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	handler(ctx)
}

// route returns the handler for a path, or nil if the path is unknown.
func (s *Server) route(path string, get bool) fasthttp.RequestHandler {
	switch path {
	case "/v1/chat/completions":
		return s.serveChat
	case "/v1/cancel":
		return s.serveCancel
	case "/v1/load":
		return s.serveLoad
	case "/v1/models":
		return s.serveModels
	case "/v1/cache_events":
		return s.serveCacheEvents
	case "/v1/cache_stats":
		return s.serveCacheStats
	case "/v1/cache/hold":
		return s.serveHold
	case "/v1/cache/release":
		return s.serveRelease
	case "/v1/cache/export":
		return s.serveExport
	case "/v1/cache/import":
		return s.serveImport
	case "/v1/orders":
		if get {
			return s.serveOrderList
		}
		return s.serveOrder
	case "/healthz":
		return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") }
	case standin.PathStats:
		return s.serveStats
	}
	return nil
}
