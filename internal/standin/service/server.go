// Package service is a stand-in for a plain tool service. It counts each effect by its key.
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

// Headers that name the key of an effect, in order of precedence.
var keyHeaders = []string{"Idempotency-Key", "X-Call-Id"}

// Options configures a Server.
type Options struct {
	Listen string
	Name   string
	Delay  time.Duration // Time that each request takes.
}

// Faults are the switches of the stand-in.
type Faults struct {
	HangMS      int64    `json:"hang_ms,omitempty"`
	HangPaths   []string `json:"hang_paths,omitempty"`   // Paths that hang; empty with hang_ms means all.
	LoseAnswers int      `json:"lose_answers,omitempty"` // Requests that take effect without an answer.
	FailNext    int      `json:"fail_next,omitempty"`    // Requests answered 500 without an effect.
	DelayMS     int64    `json:"delay_ms,omitempty"`
	CloseIdle   bool     `json:"close_idle,omitempty"` // Closes kept-alive connections at random after an answer.
}

// Stats counts requests and effects.
type Stats struct {
	Requests int            `json:"requests"`
	Effects  map[string]int `json:"effects"` // By key: the header's value, or the path.
	Bodies   map[string]int `json:"bodies"`  // By digest of the body.
}

// Echo is the answer to a request that took effect.
type Echo struct {
	Effect int             `json:"effect"` // How many effects the key has had.
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
}

// Server is a running stand-in.
type Server struct {
	options Options
	http    *transport.Server
	faults  standin.Faults[Faults]
	stop    chan struct{}
	stopped sync.Once

	mu    sync.Mutex
	stats Stats // Guarded by mu.
}

// Start starts the stand-in.
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
	s.http = server
	return s, nil
}

// Address returns the address, host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in at once. Connections are cut before the work on their answers
// ends, so that no answer looks finished.
func (s *Server) Close() error {
	err := s.http.Abort()
	s.stopped.Do(func() { close(s.stop) })
	return err
}

// SetFaults replaces the switches.
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
		fail = standin.Take(&f.FailNext)
		lose = !fail && standin.Take(&f.LoseAnswers)
		faults = *f
	})
	s.mu.Lock()
	s.stats.Requests++
	s.mu.Unlock()
	s.sleep(s.options.Delay + standin.Millis(faults.DelayMS))
	if fail {
		ctx.Error("the service failed as asked", fasthttp.StatusInternalServerError)
		return
	}
	effect := s.countEffect(ctx, path)
	if faults.HangMS > 0 && (len(faults.HangPaths) == 0 || slices.Contains(faults.HangPaths, path)) {
		s.sleep(standin.Millis(faults.HangMS))
	}
	if lose {
		standin.DropAnswer(ctx)
		return
	}
	if faults.CloseIdle {
		closeLater(ctx)
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, Echo{Effect: effect, Path: path, Body: asJSON(ctx.PostBody())})
}

// sleep waits for d or until the server stops.
func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-s.stop:
	}
}

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

// maxIdleLife bounds the time after which closeLater closes a connection.
const maxIdleLife = 50 * time.Millisecond

// closeLater closes the connection a while after the answer, as a service does that limits idle connections.
func closeLater(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	after := time.Duration(xxhash.Sum64String(strconv.FormatUint(ctx.ID(), 10))%uint64(maxIdleLife)) + time.Millisecond
	time.AfterFunc(after, func() { _ = conn.Close() })
}

// asJSON returns the body as JSON: as it is when valid, else as a string.
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
