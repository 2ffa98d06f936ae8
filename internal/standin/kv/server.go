// Package kv is a stand-in for the platform's key-value service. It speaks the part of etcd v3's JSON gateway that the
// project uses, in memory, with rates, sizes, delays and faults.
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

// Options configures a Server. Zero fields mean no limit and no delay, except as said.
type Options struct {
	Listen           string
	WritesPerSecond  float64
	ReadsPerSecond   float64
	DelayBeyondRate  bool // Calls beyond the rate wait instead of being refused.
	MaxValueBytes    int  // 0 means 1 MiB.
	WriteDelay       time.Duration
	ReadDelay        time.Duration
	ProgressInterval time.Duration // Between progress lines of a silent watch; 0 means 5 s.
	HistoryLimit     int           // Changes that a watch can go back to at least; 0 means 20000.
	Seed             uint64
}

const (
	defaultMaxValueBytes    = 1 << 20
	defaultProgressInterval = 5 * time.Second
	defaultHistoryLimit     = 20000
	leaseCheckInterval      = 20 * time.Millisecond
)

// Server is a running stand-in.
type Server struct {
	options Options
	http    *transport.Server
	store   *store
	writes  *standin.Rate
	reads   *standin.Rate
	faults  standin.Faults[Faults]
	stop    chan struct{}
	stopped sync.Once

	mu     sync.Mutex
	random *rand.Rand // Guarded by mu.
	stats  Stats      // Guarded by mu.
}

// Stats counts calls.
type Stats struct {
	Calls      map[string]int64 `json:"calls"`   // By kind, including refused ones.
	Refused    int64            `json:"refused"` // Beyond the rate.
	BytesIn    int64            `json:"bytes_in"`
	BytesOut   int64            `json:"bytes_out"`
	StoreBytes int64            `json:"store_bytes"`
	Keys       int              `json:"keys"`
	Revision   int64            `json:"revision"`
	Watches    int              `json:"watches"` // Open now.
}

// Start starts the stand-in.
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
		options: o,
		store:   newStore(o.HistoryLimit),
		writes:  standin.NewRate(o.WritesPerSecond),
		reads:   standin.NewRate(o.ReadsPerSecond),
		stop:    make(chan struct{}),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		stats:   Stats{Calls: make(map[string]int64)},
	}
	server, err := standin.Listen(o.Listen, "kv", s.handle)
	if err != nil {
		return nil, err
	}
	s.http = server
	go s.expireLeases()
	return s, nil
}

// Address returns the address, host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in at once; its contents are lost. Connections are cut before the work on their answers
// ends, so that no answer looks finished.
func (s *Server) Close() error {
	err := s.http.Abort()
	s.stopped.Do(func() { close(s.stop) })
	return err
}

func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.store.expire(now)
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
		s.read(ctx, "range", s.serveRange)
	case gateway.PathKeepAlive:
		s.read(ctx, "lease_keepalive", s.serveKeepAlive)
	case gateway.PathWatch:
		s.read(ctx, "watch", s.serveWatch)
	case gateway.PathPut:
		s.write(ctx, "put", s.preparePut)
	case gateway.PathTxn:
		s.write(ctx, "txn", s.prepareTxn)
	case gateway.PathDeleteRange:
		s.write(ctx, "deleterange", s.prepareDelete)
	case gateway.PathLeaseGrant:
		s.write(ctx, "lease_grant", s.prepareGrant)
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

// admit counts the call and applies its rate, delay and outage. False means that the request has been answered.
func (s *Server) admit(ctx *fasthttp.RequestCtx, kind string, rate *standin.Rate, delay time.Duration) bool {
	s.mu.Lock()
	s.stats.Calls[kind]++
	s.stats.BytesIn += int64(len(ctx.PostBody()))
	s.mu.Unlock()
	faults, since := s.faults.Get()
	if time.Since(since) < standin.Millis(faults.OutageMS) {
		s.refuseInOutage(ctx, faults, since)
		return false
	}
	if s.options.DelayBeyondRate {
		time.Sleep(rate.Reserve())
	} else if !rate.Allow() {
		s.mu.Lock()
		s.stats.Refused++
		s.mu.Unlock()
		writeError(ctx, fasthttp.StatusTooManyRequests, gateway.CodeResourceExhausted, gateway.MessageTooManyRequests)
		return false
	}
	if delay += standin.Millis(faults.DelayMS); delay > 0 {
		time.Sleep(delay)
	}
	return true
}

// read serves a call without an effect on the keys.
func (s *Server) read(ctx *fasthttp.RequestCtx, kind string, serve func(*fasthttp.RequestCtx)) {
	if s.admit(ctx, kind, s.reads, s.options.ReadDelay) {
		serve(ctx)
		s.countOut(ctx)
	}
}

func (s *Server) countOut(ctx *fasthttp.RequestCtx) {
	if ctx.Response.IsBodyStream() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.BytesOut += int64(len(ctx.Response.Body()))
}

// write serves a call with an effect. prepare checks the request and returns its effect, which gives the answer, or
// nil after it has refused the request.
func (s *Server) write(ctx *fasthttp.RequestCtx, kind string, prepare func(*fasthttp.RequestCtx) func() any) {
	if !s.admit(ctx, kind, s.writes, s.options.WriteDelay) {
		return
	}
	effect := prepare(ctx)
	if effect == nil {
		return
	}
	switch fault := s.drawWriteFault(); fault.kind {
	case loseBefore:
		standin.DropAnswer(ctx)
	case loseAfter:
		effect()
		standin.DropAnswer(ctx)
	case applyLate:
		time.AfterFunc(fault.after, func() { effect() })
		writeError(ctx, fasthttp.StatusServiceUnavailable, gateway.CodeUnavailable, gateway.MessageTimedOut)
	default:
		transport.WriteJSON(ctx, fasthttp.StatusOK, effect())
		s.countOut(ctx)
	}
}

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
	if !decode(ctx, &in) {
		return
	}
	s.store.mu.Lock()
	out := s.store.rangeKeys(&in)
	s.store.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveKeepAlive(ctx *fasthttp.RequestCtx) {
	var in gateway.KeepAliveRequest
	if !decode(ctx, &in) {
		return
	}
	var out gateway.KeepAliveResponse
	out.Result.ID = in.ID
	out.Result.TTL = gateway.Int(s.store.renew(int64(in.ID)) / time.Second)
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveWatch(ctx *fasthttp.RequestCtx) {
	var in gateway.WatchRequest
	if !decode(ctx, &in) {
		return
	}
	transport.WriteStream(ctx, "application/json", func(w *bufio.Writer) { s.streamWatch(w, in.Create) })
}
