package engine

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// LoadReport describes the load of the engine at a point in time.
type LoadReport struct {
	Name          string  `json:"name"`
	BootID        string  `json:"boot_id"` // Changes at each start.
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Slots         int     `json:"slots"`
	QueuedTokens  int     `json:"queued_tokens"`  // Prompt tokens not yet computed; of waiting requests, all prompt tokens.
	CacheUsed     int     `json:"cache_used"`     // In tokens.
	CacheCapacity int     `json:"cache_capacity"` // In tokens.
	PrefillRate   float64 `json:"prefill_rate"`   // Tokens per second.
	DecodeRate    float64 `json:"decode_rate"`    // Tokens per second of a sequence that runs alone.
	AtMS          int64   `json:"at_ms"`          // Unix time of the report in milliseconds.
}

// timedReport is a load report with the time at which it was taken.
type timedReport struct {
	takenAt time.Time
	report  LoadReport
}

// reportsPerLag is the number of reports taken in a period of Options.ReportLag.
const reportsPerLag = 4

// publishReports takes a report at regular intervals and publishes each once it is as old as Options.ReportLag. It returns
// when the engine stops.
func (s *Server) publishReports() {
	ticker := time.NewTicker(max(s.options.ReportLag/reportsPerLag, time.Millisecond))
	defer ticker.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		s.reportQueue = append(s.reportQueue, timedReport{takenAt: now, report: s.currentLoad(now)})
		for len(s.reportQueue) > 1 && now.Sub(s.reportQueue[1].takenAt) >= s.options.ReportLag {
			s.reportQueue = s.reportQueue[1:]
		}
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// currentLoad returns the current load. The caller holds mu.
func (s *Server) currentLoad(now time.Time) LoadReport {
	queued := 0
	for _, q := range s.waiting {
		queued += countTokens(len(q.prompt))
	}
	for _, q := range s.running {
		queued += q.prefillRemaining
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
	report := s.currentLoad(time.Now())
	if len(s.reportQueue) > 0 {
		report = s.reportQueue[0].report
	}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, report)
}

func (s *Server) serveStats(ctx *fasthttp.RequestCtx) {
	transport.WriteJSON(ctx, fasthttp.StatusOK, s.Totals())
}

// Totals returns the counters of requests and tokens.
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

// CacheEvent is the addition of a block to the prefix cache or its eviction.
type CacheEvent struct {
	Seq     uint64 `json:"seq"` // Incremented for each change, published or not, so that gaps are visible.
	Kind    string `json:"kind"`
	Program string `json:"program,omitempty"`
	Block   uint64 `json:"block,string"` // Hash of the block.
	Tokens  int    `json:"tokens"`

	recordedAt time.Time
}

// CacheEvents is the response body of /v1/cache_events.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents is the number of latest events that the log keeps at least.
const maxCacheEvents = 8192

// eventLog keeps the latest cache events. Server.mu guards it.
type eventLog struct {
	state *eventLogState
}

// eventLogState is the state that all copies of an eventLog share.
type eventLogState struct {
	events       []CacheEvent
	seq          uint64
	lag          time.Duration
	dropFraction float64
	random       *rand.Rand
}

func newEventLog(o Options) eventLog {
	return eventLog{state: &eventLogState{
		lag:          o.CacheEventLag,
		dropFraction: o.CacheEventDropFraction,
		random:       rand.New(rand.NewPCG(o.Seed, 1)),
	}}
}

// add records a change, or drops it with the configured probability. The caller holds Server.mu.
func (l eventLog) add(kind, program string, hash uint64) {
	state := l.state
	state.seq++
	if state.random.Float64() < state.dropFraction {
		return
	}
	event := CacheEvent{Seq: state.seq, Kind: kind, Program: program, Block: hash, Tokens: blockTokens, recordedAt: time.Now()}
	state.events = append(state.events, event)
	if len(state.events) > 2*maxCacheEvents {
		state.events = append([]CacheEvent(nil), state.events[maxCacheEvents:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq that are at least as old as the lag. The caller holds
// Server.mu.
func (l eventLog) eventsAfter(seq uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range l.state.events {
		if e.Seq > seq && now.Sub(e.recordedAt) >= l.state.lag {
			out = append(out, e)
		}
	}
	return out
}

func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	out := CacheEvents{BootID: s.bootID, Events: s.events.eventsAfter(after, time.Now())}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveCancel(ctx *fasthttp.RequestCtx) {
	var in struct {
		RequestID string `json:"request_id"`
	}
	if !standin.DecodeJSON(ctx, &in) {
		return
	}
	found := s.findUnfinished(in.RequestID)
	for _, q := range found {
		s.cancel(q)
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{len(found)})
}

// findUnfinished returns the waiting and running sequences with the request ID.
func (s *Server) findUnfinished(id string) []*sequence {
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
