// Package weights is a stand-in for the platform's weight store, the rate-limited service from which engines fetch model
// weights.
package weights

import (
	"maps"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Options configures a Server.
type Options struct {
	Listen           string
	FetchesPerSecond float64       // Maximum rate of fetches; 0 means no limit.
	Delay            time.Duration // Duration of a fetch.
	Bytes            int64         // Size that is reported for each model.
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	OutageMS int64 `json:"outage_ms,omitempty"` // Period after setting in which fetches fail with status 503.
	DelayMS  int64 `json:"delay_ms,omitempty"`  // Added to the duration of a fetch.
}

// Stats counts fetches.
type Stats struct {
	Fetches map[string]int `json:"fetches"` // Successful fetches, by model.
	Refused int            `json:"refused"` // Fetches rejected by the rate limit.
}

// Server is a running stand-in weight store.
type Server struct {
	options    Options
	httpServer *transport.Server
	limiter    *standin.RateLimiter
	faults     standin.FaultState[Faults]

	mu    sync.Mutex
	stats Stats // Guarded by mu.
}

// Start starts a stand-in weight store.
func Start(o Options) (*Server, error) {
	s := &Server{
		options: o,
		limiter: standin.NewRateLimiter(o.FetchesPerSecond),
		stats:   Stats{Fetches: make(map[string]int)},
	}
	server, err := standin.Listen(o.Listen, "weights", s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	return s, nil
}

// Address returns the listen address as host:port.
func (s *Server) Address() string { return s.httpServer.Address() }

// Close stops the stand-in immediately, without waiting for requests.
func (s *Server) Close() error { return s.httpServer.Abort() }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Fetches: maps.Clone(s.stats.Fetches), Refused: s.stats.Refused}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	name, isFetch := strings.CutPrefix(path, ports.PathWeights)
	switch {
	case path == standin.PathFault:
		s.faults.Handle(ctx)
	case path == standin.PathStats:
		transport.WriteJSON(ctx, fasthttp.StatusOK, s.Stats())
	case isFetch && ctx.IsGet():
		s.serveFetch(ctx, name)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (s *Server) serveFetch(ctx *fasthttp.RequestCtx, name string) {
	model, err := url.PathUnescape(name)
	if err != nil || model == "" {
		ctx.Error("path does not contain a model name", fasthttp.StatusBadRequest)
		return
	}
	faults, since := s.faults.Get()
	if time.Since(since) < standin.Milliseconds(faults.OutageMS) {
		ctx.Error("weight store is unavailable (injected outage)", fasthttp.StatusServiceUnavailable)
		return
	}
	if !s.limiter.Allow() {
		s.mu.Lock()
		s.stats.Refused++
		s.mu.Unlock()
		ctx.Error("fetch rate limit exceeded", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set("Retry-After", "1")
		return
	}
	time.Sleep(s.options.Delay + standin.Milliseconds(faults.DelayMS))
	s.mu.Lock()
	s.stats.Fetches[model]++
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, ports.Weights{Model: model, Version: "1", Bytes: s.options.Bytes})
}
