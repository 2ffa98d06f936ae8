// Package service is a stand-in for a tool service, a backend server that is not an engine. It counts how often
// requests took effect, by the key of the request, so that tests can detect calls that ran twice.
package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// keyHeaders are the headers that can carry the key of a request, in order of precedence.
var keyHeaders = []string{"Idempotency-Key", "X-Call-Id"}

// Options configures a Server.
type Options struct {
	Listen string
	Name   string
	Delay  time.Duration // Duration of each request.
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	HangMS      int64    `json:"hang_ms,omitempty"`      // Time for which a hanging request goes unanswered after it took effect.
	HangPaths   []string `json:"hang_paths,omitempty"`   // Paths that hang while hang_ms is set; empty means all.
	LoseAnswers int      `json:"lose_answers,omitempty"` // Number of next requests that take effect but get no response.
	FailNext    int      `json:"fail_next,omitempty"`    // Number of next requests that fail with status 500 without taking effect.
	DelayMS     int64    `json:"delay_ms,omitempty"`     // Added to the duration of each request.
	CloseIdle   bool     `json:"close_idle,omitempty"`   // Close each connection a short pseudorandom time after a response.
}

// Stats counts requests and effects.
type Stats struct {
	Requests int            `json:"requests"`
	Effects  map[string]int `json:"effects"` // By key: the value of the first header in keyHeaders that is present, or else the path.
	Bodies   map[string]int `json:"bodies"`  // Number of effects by hash of the request body.
}

// Echo is the response body for a request that took effect.
type Echo struct {
	Effect int             `json:"effect"` // Number of effects of the key so far, including this one.
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
}

// Server is a running stand-in service.
type Server struct {
	options    Options
	httpServer *transport.Server
	faults     standin.FaultState[Faults]
	stop       chan struct{} // Closed by Close.
	stopOnce   sync.Once

	mu    sync.Mutex
	stats Stats // Guarded by mu.
}

// Start starts a stand-in service.
func Start(o Options) (*Server, error) {
	s := &Server{
		options: o,
		stop:    make(chan struct{}),
		stats:   Stats{Effects: make(map[string]int), Bodies: make(map[string]int)},
	}
	server, err := standin.Listen(o.Listen, "service", s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	return s, nil
}

// Address returns the listen address as host:port.
func (s *Server) Address() string { return s.httpServer.Address() }

// Close stops the stand-in immediately. It closes the connections before it ends the delays of requests, so that no
// truncated response looks complete.
func (s *Server) Close() error {
	err := s.httpServer.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	return err
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Requests: s.stats.Requests, Effects: maps.Clone(s.stats.Effects), Bodies: maps.Clone(s.stats.Bodies)}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case standin.PathFault:
		s.faults.Handle(ctx)
	case standin.PathStats:
		transport.WriteJSON(ctx, fasthttp.StatusOK, s.Stats())
	case "/healthz":
		ctx.SetBodyString("ok\n")
	default:
		s.serve(ctx, path)
	}
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, path string) {
	var fail, lose bool
	var faults Faults
	s.faults.Update(func(f *Faults) {
		fail = standin.DecrementIfPositive(&f.FailNext)
		lose = !fail && standin.DecrementIfPositive(&f.LoseAnswers)
		faults = *f
	})
	s.mu.Lock()
	s.stats.Requests++
	s.mu.Unlock()
	s.sleep(s.options.Delay + standin.Milliseconds(faults.DelayMS))
	if fail {
		ctx.Error("injected service failure", fasthttp.StatusInternalServerError)
		return
	}
	effect := s.countEffect(ctx, path)
	if faults.HangMS > 0 && (len(faults.HangPaths) == 0 || slices.Contains(faults.HangPaths, path)) {
		s.sleep(standin.Milliseconds(faults.HangMS))
	}
	if lose {
		standin.CloseWithoutResponse(ctx)
		return
	}
	if faults.CloseIdle {
		closeAfterDelay(ctx)
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, Echo{Effect: effect, Path: path, Body: asJSON(ctx.PostBody())})
}

// sleep waits for the duration d, or until the server stops.
func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-s.stop:
	}
}

// countEffect counts an effect of the request and returns the number of effects of its key.
func (s *Server) countEffect(ctx *fasthttp.RequestCtx, path string) int {
	key := path
	for _, name := range slices.Backward(keyHeaders) {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			key = string(value)
		}
	}
	digest := fmt.Sprintf("%016x", xxhash.Sum64(ctx.PostBody()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Effects[key]++
	s.stats.Bodies[digest]++
	return s.stats.Effects[key]
}

// maxCloseDelay limits the delay after which closeAfterDelay closes a connection.
const maxCloseDelay = 50 * time.Millisecond

// closeAfterDelay closes the connection a short pseudorandom time after the response, like a service with a timeout for
// idle connections.
func closeAfterDelay(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	after := time.Duration(xxhash.Sum64String(strconv.FormatUint(ctx.ID(), 10))%uint64(maxCloseDelay)) + time.Millisecond
	time.AfterFunc(after, func() { _ = conn.Close() })
}

// asJSON returns the body unchanged if it is valid JSON, and otherwise as a JSON string.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return slices.Clone(body)
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}
