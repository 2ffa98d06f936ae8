// Package weights is a stand-in for the platform's rate-limited weight store.
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
	Listen         string
	FetchPerSecond float64       // 0 means no limit.
	Delay          time.Duration // Time that a fetch takes.
	Bytes          int64         // Size reported for each model.
}

// Faults are the switches of the stand-in.
type Faults struct {
	OutageMS int64 `json:"outage_ms,omitempty"` // From the moment of setting, fetches are answered 503.
	DelayMS  int64 `json:"delay_ms,omitempty"`
}

// Stats counts fetches.
type Stats struct {
	Fetches map[string]int `json:"fetches"` // Served, by model.
	Refused int            `json:"refused"` // Beyond the rate.
}

// Server is a running stand-in.
type Server struct {
	options Options
	http    *transport.Server
	rate    *standin.Rate
	faults  standin.Faults[Faults]

	mu    sync.Mutex
	stats Stats // Guarded by mu.
}

// Start starts the stand-in.
func Start(o Options) (*Server, error) {
	s := &Server{
		options: o,
		rate:    standin.NewRate(o.FetchPerSecond),
		stats:   Stats{Fetches: make(map[string]int)},
	}
	server, err := standin.Listen(o.Listen, "weights", s.handle)
	if err != nil {
		return nil, err
	}
	s.http = server
	return s, nil
}

// Address returns the address, host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in at once.
func (s *Server) Close() error { return s.http.Abort() }

// SetFaults replaces the switches.
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
		s.fetch(ctx, name)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (s *Server) fetch(ctx *fasthttp.RequestCtx, name string) {
	model, err := url.PathUnescape(name)
	if err != nil || model == "" {
		ctx.Error("the path does not name a model", fasthttp.StatusBadRequest)
		return
	}
	faults, since := s.faults.Get()
	if time.Since(since) < standin.Millis(faults.OutageMS) {
		ctx.Error("the weight store is down", fasthttp.StatusServiceUnavailable)
		return
	}
	if !s.rate.Allow() {
		s.mu.Lock()
		s.stats.Refused++
		s.mu.Unlock()
		ctx.Error("the fetch rate is exceeded", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set("Retry-After", "1")
		return
	}
	time.Sleep(s.options.Delay + standin.Millis(faults.DelayMS))
	s.mu.Lock()
	s.stats.Fetches[model]++
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, ports.Weights{Model: model, Version: "1", Bytes: s.options.Bytes})
}
