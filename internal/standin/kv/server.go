// Package kv is a stand-in for the platform's key-value service. It implements in memory the part of the JSON gateway of
// etcd v3 that the project uses, with configurable rate limits, value size limit, delays and faults.
package kv

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Options configures a Server. Zero fields mean no limit and no delay, except where a comment says otherwise.
type Options struct {
	Listen           string
	WritesPerSecond  float64
	ReadsPerSecond   float64
	DelayBeyondRate  bool // Delay calls above the rate limit instead of rejecting them.
	MaxValueBytes    int  // Maximum size of a value; 0 means 1 MiB.
	WriteDelay       time.Duration
	ReadDelay        time.Duration
	ProgressInterval time.Duration // Interval between progress messages of a watch without events; 0 means 5 s.
	HistoryLimit     int           // Minimum number of past changes available to watches; 0 means 20000.
	Seed             uint64        // Seed of random faults.
}

const (
	defaultMaxValueBytes    = 1 << 20
	defaultProgressInterval = 5 * time.Second
	defaultHistoryLimit     = 20000
	leaseCheckInterval      = 20 * time.Millisecond
)

// Server is a running stand-in key-value service.
type Server struct {
	options      Options
	httpServer   *transport.Server
	store        *store
	writeLimiter *standin.RateLimiter
	readLimiter  *standin.RateLimiter
	faults       standin.FaultState[Faults]
	stop         chan struct{} // Closed by Close.
	stopOnce     sync.Once

	mu     sync.Mutex
	random *rand.Rand // Guarded by mu.
	stats  Stats      // Guarded by mu.
}

// Stats contains the counters of calls and the size of the store.
type Stats struct {
	Calls      map[string]int64 `json:"calls"`       // By kind, including rejected calls.
	Refused    int64            `json:"refused"`     // Calls rejected by the rate limits.
	BytesIn    int64            `json:"bytes_in"`    // Sizes of request bodies.
	BytesOut   int64            `json:"bytes_out"`   // Sizes of response bodies; watches are not counted.
	StoreBytes int64            `json:"store_bytes"` // Sum of the sizes of values.
	Keys       int              `json:"keys"`
	Revision   int64            `json:"revision"`
	Watches    int              `json:"watches"` // Watches that are open.
}

// Start starts a stand-in key-value service.
func Start(o Options) (*Server, error) {
	if o.MaxValueBytes == 0 {
		o.MaxValueBytes = defaultMaxValueBytes
	}
	if o.ProgressInterval == 0 {
		o.ProgressInterval = defaultProgressInterval
	}
	if o.HistoryLimit == 0 {
		o.HistoryLimit = defaultHistoryLimit
	}
	if o.ProgressInterval == 0 {
		o.ProgressInterval = defaultProgressInterval
	}
	s := &Server{
		options:      o,
		store:        newStore(o.HistoryLimit),
		writeLimiter: standin.NewRateLimiter(o.WritesPerSecond),
		readLimiter:  standin.NewRateLimiter(o.ReadsPerSecond),
		stop:         make(chan struct{}),
		random:       rand.New(rand.NewPCG(o.Seed, 0)),
		stats:        Stats{Calls: make(map[string]int64)},
	}
	server, err := standin.Listen(o.Listen, "kv", s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	go s.expireLeases()
	return s, nil
}

// Address returns the listen address as host:port.
func (s *Server) Address() string { return s.httpServer.Address() }

// Close stops the stand-in immediately; its contents are lost. It closes the connections before it ends watches and
// hanging calls, so that no truncated response looks complete.
func (s *Server) Close() error {
	err := s.httpServer.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	return err
}

// expireLeases ends expired leases at regular intervals until the server stops.
func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.store.expireLeases(now)
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case standin.PathFault:
		s.faults.Handle(ctx)
	case standin.PathStats:
		transport.WriteJSON(ctx, fasthttp.StatusOK, s.Stats())
	case gateway.PathRange:
		s.handleRead(ctx, "range", s.serveRange)
	case gateway.PathKeepAlive:
		s.handleRead(ctx, "lease_keepalive", s.serveKeepAlive)
	case gateway.PathWatch:
		s.handleRead(ctx, "watch", s.serveWatch)
	case gateway.PathPut:
		s.handleWrite(ctx, "put", s.preparePut)
	case gateway.PathTxn:
		s.handleWrite(ctx, "txn", s.prepareTxn)
	case gateway.PathDeleteRange:
		s.handleWrite(ctx, "deleterange", s.prepareDelete)
	case gateway.PathLeaseGrant:
		s.handleWrite(ctx, "lease_grant", s.prepareGrant)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	out := s.stats
	out.Calls = make(map[string]int64, len(s.stats.Calls))
	for kind, n := range s.stats.Calls {
		out.Calls[kind] = n
	}
	s.mu.Unlock()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	out.StoreBytes, out.Keys, out.Revision = s.store.bytes, len(s.store.keys), s.store.revision
	return out
}

// admitCall counts a call and applies an outage, the rate limit and the delay. It returns false if the call has failed;
// then its response, if any, is written.
func (s *Server) admitCall(ctx *fasthttp.RequestCtx, kind string, limiter *standin.RateLimiter, delay time.Duration) bool {
	s.mu.Lock()
	s.stats.Calls[kind]++
	s.stats.BytesIn += int64(len(ctx.PostBody()))
	s.mu.Unlock()
	faults, since := s.faults.Get()
	if time.Since(since) < standin.Milliseconds(faults.OutageMS) {
		s.failInOutage(ctx, faults, since)
		return false
	}
	if s.options.DelayBeyondRate {
		time.Sleep(limiter.Reserve())
	} else if !limiter.Allow() {
		s.mu.Lock()
		s.stats.Refused++
		s.mu.Unlock()
		writeError(ctx, fasthttp.StatusTooManyRequests, gateway.CodeResourceExhausted, gateway.MessageTooManyRequests)
		return false
	}
	if delay += standin.Milliseconds(faults.DelayMS); delay > 0 {
		time.Sleep(delay)
	}
	return true
}

// handleRead handles a call that has no effect on the keys.
func (s *Server) handleRead(ctx *fasthttp.RequestCtx, kind string, serve func(*fasthttp.RequestCtx)) {
	if s.admitCall(ctx, kind, s.readLimiter, s.options.ReadDelay) {
		serve(ctx)
		s.countResponseBytes(ctx)
	}
}

// countResponseBytes adds the size of the response body to Stats.BytesOut, unless the body is a stream.
func (s *Server) countResponseBytes(ctx *fasthttp.RequestCtx) {
	if ctx.Response.IsBodyStream() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.BytesOut += int64(len(ctx.Response.Body()))
}

// handleWrite handles a call that has an effect, and injects the faults of writes. prepare validates the request and
// returns a function that performs the effect and returns the response body. If the request is invalid, prepare writes
// the error response and returns nil.
func (s *Server) handleWrite(ctx *fasthttp.RequestCtx, kind string, prepare func(*fasthttp.RequestCtx) func() any) {
	if !s.admitCall(ctx, kind, s.writeLimiter, s.options.WriteDelay) {
		return
	}
	effect := prepare(ctx)
	if effect == nil {
		return
	}
	switch fault := s.pickWriteFault(); fault.kind {
	case loseRequest:
		standin.CloseWithoutResponse(ctx)
	case loseResponse:
		effect()
		standin.CloseWithoutResponse(ctx)
	case applyLate:
		time.AfterFunc(fault.delay, func() { effect() })
		writeError(ctx, fasthttp.StatusServiceUnavailable, gateway.CodeUnavailable, gateway.MessageTimedOut)
	default:
		transport.WriteJSON(ctx, fasthttp.StatusOK, effect())
		s.countResponseBytes(ctx)
	}
}

// writeError responds with an error in the format of the gateway.
func writeError(ctx *fasthttp.RequestCtx, status, code int, message string) {
	data, err := json.Marshal(gateway.Error{Text: message, Code: code, Message: message})
	if err != nil {
		data = []byte("{}")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) serveRange(ctx *fasthttp.RequestCtx) {
	var in gateway.RangeRequest
	if !decodeRequest(ctx, &in) {
		return
	}
	s.store.mu.Lock()
	out := s.store.rangeKeys(&in)
	s.store.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveKeepAlive(ctx *fasthttp.RequestCtx) {
	var in gateway.KeepAliveRequest
	if !decodeRequest(ctx, &in) {
		return
	}
	var out gateway.KeepAliveResponse
	out.Result.ID = in.ID
	out.Result.TTL = gateway.Int(s.store.renewLease(int64(in.ID)) / time.Second)
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveWatch(ctx *fasthttp.RequestCtx) {
	var in gateway.WatchRequest
	if !decodeRequest(ctx, &in) {
		return
	}
	transport.WriteStream(ctx, "application/json", func(w *bufio.Writer) { s.streamWatch(w, in.Create) })
}
