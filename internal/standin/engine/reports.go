package engine

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// LoadReport describes the engine's load as it was some time ago.
type LoadReport struct {
	Name          string  `json:"name"`
	BootID        string  `json:"boot_id"` // Changes at each start.
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Slots         int     `json:"slots"`
	QueuedTokens  int     `json:"queued_tokens"` // Prompt tokens still to compute or look up.
	CacheUsed     int     `json:"cache_used"`    // Tokens.
	CacheCapacity int     `json:"cache_capacity"`
	PrefillRate   float64 `json:"prefill_rate"` // Tokens per second.
	DecodeRate    float64 `json:"decode_rate"`  // Tokens per second of one sequence alone.
	AtMS          int64   `json:"at_ms"`        // Unix time of the report, in milliseconds.
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

const reportsPerLag = 4

// report takes reports and publishes them after the lag.
func (s *Server) report() {
	ticker := time.NewTicker(max(s.options.ReportLag/reportsPerLag, time.Millisecond))
	defer ticker.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		s.reports = append(s.reports, timedReport{at: now, report: s.load(now)})
		for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.options.ReportLag {
			s.reports = s.reports[1:]
		}
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// load describes the load now. The caller holds mu.
func (s *Server) load(now time.Time) LoadReport {
	queued := 0
	for _, q := range s.waiting {
		queued += countTokens(len(q.prompt))
	}
	for _, q := range s.running {
		queued += q.prefill
	}
	return LoadReport{
		Name:          s.options.Name,
		BootID:        s.bootID,
		Running:       len(s.running),
		Waiting:       len(s.waiting),
		Slots:         s.options.Slots,
		QueuedTokens:  queued,
		CacheUsed:     len(s.cache.blocks) * blockTokens,
		CacheCapacity: s.options.CacheTokens,
		PrefillRate:   s.options.PrefillTokensPerSecond * s.options.TimeScale,
		DecodeRate:    s.options.DecodeTokensPerSecond * s.options.TimeScale,
		AtMS:          now.UnixMilli(),
	}
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	report := s.load(time.Now())
	if len(s.reports) > 0 {
		report = s.reports[0].report
	}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, report)
}

func (s *Server) serveStats(ctx *fasthttp.RequestCtx) {
	transport.WriteJSON(ctx, fasthttp.StatusOK, s.Totals())
}

// Totals returns the counters.
func (s *Server) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"` // Rises by one for each change, published or not.
	Kind    string `json:"kind"`
	Program string `json:"program,omitempty"`
	Block   uint64 `json:"block,string"`
	Tokens  int    `json:"tokens"`

	at time.Time
}

// CacheEvents is the answer of /v1/cache_events.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
}

const maxCacheEvents = 8192

// eventLog keeps the published cache events. The engine's lock guards it.
type eventLog struct {
	shared *eventLogState
}

type eventLogState struct {
	events    []CacheEvent
	seq       uint64
	lag       time.Duration
	dropShare float64
	random    *rand.Rand
}

func newEventLog(o Options) eventLog {
	return eventLog{shared: &eventLogState{
		lag:       o.CacheEventLag,
		dropShare: o.CacheEventDropShare,
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
	}}
}

// add records a change, unless it is one of those that are lost. The caller holds the engine's lock.
func (l eventLog) add(kind, program string, hash uint64) {
	state := l.shared
	state.seq++
	if state.random.Float64() < state.dropShare {
		return
	}
	event := CacheEvent{Seq: state.seq, Kind: kind, Program: program, Block: hash, Tokens: blockTokens, at: time.Now()}
	state.events = append(state.events, event)
	if len(state.events) > 2*maxCacheEvents {
		state.events = append([]CacheEvent(nil), state.events[maxCacheEvents:]...)
	}
}

// after returns the events beyond the sequence number that are old enough. The caller holds the engine's lock.
func (l eventLog) after(seq uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range l.shared.events {
		if e.Seq > seq && now.Sub(e.at) >= l.shared.lag {
			out = append(out, e)
		}
	}
	return out
}

func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	out := CacheEvents{BootID: s.bootID, Events: s.events.after(after, time.Now())}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveCancel(ctx *fasthttp.RequestCtx) {
	var in struct {
		RequestID string `json:"request_id"`
	}
	if !standin.Decode(ctx, &in) {
		return
	}
	found := s.find(in.RequestID)
	for _, q := range found {
		s.cancel(q)
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{len(found)})
}

// find returns the sequences with the request id that have not ended.
func (s *Server) find(id string) []*sequence {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*sequence
	for _, list := range [][]*sequence{s.waiting, s.running} {
		for _, q := range list {
			if id != "" && q.id == id {
				found = append(found, q)
			}
		}
	}
	return found
}
