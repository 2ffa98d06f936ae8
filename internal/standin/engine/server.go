// Package engine is a stand-in for a model engine. It serves OpenAI chat completions with continuous batching and a
// prefix cache of limited size; its answers are a function of the whole prompt.
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

// Options configures a Server. Zero fields take the defaults of Start, except as said.
type Options struct {
	Listen                 string
	Name                   string
	Models                 []string // Empty: every model is served.
	Slots                  int      // Sequences that run together.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64 // Of one sequence alone.
	CacheTokens            int
	ReportLag              time.Duration // Age of load reports; 0 means none.
	CacheEventLag          time.Duration // Delay of cache events; 0 means none.
	CacheEventDropShare    float64       // Share of cache events that is never published.
	LoadTime               time.Duration // Time that an order to load takes; 0 means none.
	Weights                string        // Address of the weight store that orders to load read; empty means none.
	ChecksFence            bool          // Whether an order with an old fencing number is refused.
	TimeScale              float64       // Divides every simulated duration.
	Seed                   uint64
	OnCrash                func() // Called by a crash; nil means to cut every connection and stop.
}

const (
	defaultSlots       = 8
	defaultPrefillRate = 8000
	defaultDecodeRate  = 50
	defaultCacheTokens = 64 << 10
	maxKnownPrefixes   = 8192
)

// Faults are the switches of the stand-in.
type Faults struct {
	FreezeMS   int64   `json:"freeze_ms,omitempty"`   // From the moment of setting, nothing moves or answers.
	FailNext   int     `json:"fail_next,omitempty"`   // Completions answered 500 without running.
	SlowFactor float64 `json:"slow_factor,omitempty"` // Multiplies the time of each step; 0 means 1.
}

// Totals counts tokens since the start.
type Totals struct {
	Requests      int64 `json:"requests"`
	PrefillTokens int64 `json:"prefill_tokens"` // Computed.
	CachedTokens  int64 `json:"cached_tokens"`  // Found in the prefix cache instead.
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
}

// Server is a running stand-in.
type Server struct {
	options Options
	bootID  string
	http    *transport.Server
	faults  standin.Faults[Faults]
	wake    chan struct{}
	stop    chan struct{}
	stopped sync.Once
	crashed atomic.Bool

	mu       sync.Mutex
	waiting  []*sequence         // Guarded by mu.
	running  []*sequence         // Guarded by mu. At most options.Slots.
	arrivals uint64              // Guarded by mu.
	cache    *cache              // Guarded by mu.
	prefixes map[string][]uint64 // Guarded by mu. The last prefix of each program.
	totals   Totals              // Guarded by mu.
	reports  []timedReport       // Guarded by mu. Oldest first; the first is the one published.
	events   eventLog            // Guarded by mu.
	models   map[string]bool     // Guarded by mu. Empty: every model is served.
	version  string              // Guarded by mu. Of the model; empty: not set by an order.
	adapters []string            // Guarded by mu.
	role     string              // Guarded by mu. Empty: not set by an order.

	orders orderBook
}

// Start starts the stand-in.
func Start(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{
		options:  o,
		bootID:   fmt.Sprintf("%016x", rand.Uint64()),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		prefixes: make(map[string][]uint64),
		models:   make(map[string]bool),
		events:   newEventLog(o),
		orders:   orderBook{highest: make(map[int]uint64)},
	}
	s.cache = newCache(o.CacheTokens, s.events.add)
	for _, model := range o.Models {
		s.models[model] = true
	}
	if o.Weights != "" {
		s.orders.weights = ports.NewWeightStore(o.Weights)
	}
	server, err := standin.Listen(o.Listen, "engine", s.handle)
	if err != nil {
		return nil, err
	}
	s.http = server
	go s.run()
	if o.ReportLag > 0 {
		go s.report()
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

// Address returns the address, host:port.
func (s *Server) Address() string { return s.http.Address() }

// BootID returns the id that differs for each start.
func (s *Server) BootID() string { return s.bootID }

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Close stops the stand-in at once. Connections are cut before the work on their answers
// ends, so that no answer looks finished.
func (s *Server) Close() error {
	err := s.http.Abort()
	s.stopped.Do(func() { close(s.stop) })
	return err
}

// Crashed reports whether a request has crashed the engine.
func (s *Server) Crashed() bool { return s.crashed.Load() }

// crash ends the engine as a fatal error would.
func (s *Server) crash() {
	s.crashed.Store(true)
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	_ = s.Close()
}

// frozenFor returns how much longer a freeze lasts.
func (s *Server) frozenFor() time.Duration {
	faults, since := s.faults.Get()
	return standin.Millis(faults.FreezeMS) - time.Since(since)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == standin.PathFault {
		s.faults.Handle(ctx)
		return
	}
	if !s.awaitThaw() {
		standin.DropAnswer(ctx)
		return
	}
	handler := s.route(path, ctx.IsGet())
	if handler == nil {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	handler(ctx)
}

// route returns the handler of a path.
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
