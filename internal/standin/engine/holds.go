package engine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// HoldRequest is the request body for holding, releasing or exporting the cached prefix of a program. A hold keeps the
// prefix in the cache until it expires or is released.
type HoldRequest struct {
	Program string `json:"program"`
	TTLMS   int64  `json:"ttl_ms,omitempty"` // Duration of a hold in milliseconds.
}

// HoldResponse is the response to holding, releasing or importing a prefix.
type HoldResponse struct {
	Held   bool `json:"held"`   // Whether the program has a hold now or, for a release, had one.
	Tokens int  `json:"tokens"` // Tokens of the held or imported prefix.
}

// CacheStats is the response body of /v1/cache_stats, in tokens and token-seconds.
type CacheStats struct {
	HeldTokenSeconds    float64  `json:"held_token_seconds"`
	WastedTokenSeconds  float64  `json:"wasted_token_seconds"`  // From the last use of a prefix to the end of its hold; included in HeldTokenSeconds.
	PendingTokenSeconds float64  `json:"pending_token_seconds"` // Since the last use under current holds; not yet included in the other two.
	HeldTokens          int      `json:"held_tokens"`
	UsedTokens          int      `json:"used_tokens"`
	CapacityTokens      int      `json:"capacity_tokens"`
	Programs            []string `json:"programs"` // Programs with a hold.
}

// CacheStats returns the statistics of the prefix cache.
func (s *Server) CacheStats() CacheStats {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.expireHolds(now)
	out := CacheStats{
		HeldTokenSeconds:   s.cache.usage.heldTokenSeconds,
		WastedTokenSeconds: s.cache.usage.wastedTokenSeconds,
		HeldTokens:         s.cache.heldTokens(),
		UsedTokens:         len(s.cache.blocks) * blockTokens,
		CapacityTokens:     s.options.CacheTokens,
		Programs:           []string{},
	}
	for program, h := range s.cache.holds {
		out.PendingTokenSeconds += h.tokenSeconds(now)
		out.Programs = append(out.Programs, program)
	}
	slices.Sort(out.Programs)
	return out
}

func (s *Server) serveCacheStats(ctx *fasthttp.RequestCtx) {
	transport.WriteJSON(ctx, fasthttp.StatusOK, s.CacheStats())
}

func (s *Server) serveHold(ctx *fasthttp.RequestCtx) {
	var in HoldRequest
	if !standin.DecodeJSON(ctx, &in) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.cache.expireHolds(now)
	held := s.cache.setHold(in.Program, nil, now, standin.Milliseconds(in.TTLMS))
	if !held {
		known := s.lastPrefixes[in.Program]
		if n := s.cache.matchPrefix(known); n > 0 {
			held = s.cache.setHold(in.Program, known[:n], now, standin.Milliseconds(in.TTLMS))
		}
	}
	out := HoldResponse{Held: held}
	if h := s.cache.holds[in.Program]; h != nil {
		out.Tokens = len(h.hashes) * blockTokens
	}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveRelease(ctx *fasthttp.RequestCtx) {
	var in HoldRequest
	if !standin.DecodeJSON(ctx, &in) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.cache.expireHolds(now)
	held := s.cache.releaseHold(in.Program, now)
	delete(s.lastPrefixes, in.Program)
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, HoldResponse{Held: held})
}

// exportedPrefix is the content of an export, before compression.
type exportedPrefix struct {
	Program string   `json:"program"`
	Hashes  []uint64 `json:"hashes"`
}

// Compression of exports.
var (
	exportEncoder, _ = zstd.NewWriter(nil)
	exportDecoder, _ = zstd.NewReader(nil)
)

func (s *Server) serveExport(ctx *fasthttp.RequestCtx) {
	var in HoldRequest
	if !standin.DecodeJSON(ctx, &in) {
		return
	}
	s.mu.Lock()
	known := s.lastPrefixes[in.Program]
	hashes := slices.Clone(known[:s.cache.matchPrefix(known)])
	s.mu.Unlock()
	if len(hashes) == 0 {
		writeError(ctx, fasthttp.StatusNotFound, "not_found", "program %q has no cached prefix", in.Program)
		return
	}
	data, err := json.Marshal(exportedPrefix{Program: in.Program, Hashes: hashes})
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, "server_error", "encode prefix: %v", err)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(exportEncoder.EncodeAll(data, nil))
}

// importSpeedup is the ratio of the rate at which a prefix is imported to the rate at which it is computed.
const importSpeedup = 10

func (s *Server) serveImport(ctx *fasthttp.RequestCtx) {
	data, err := exportDecoder.DecodeAll(ctx.PostBody(), nil)
	var in exportedPrefix
	if err == nil {
		err = json.Unmarshal(data, &in)
	}
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "decode prefix: %v", err)
		return
	}
	rate := s.options.PrefillTokensPerSecond * importSpeedup * s.options.TimeScale
	time.Sleep(time.Duration(float64(len(in.Hashes)*blockTokens) / rate * float64(time.Second)))
	s.mu.Lock()
	pinned := s.cache.pin(in.Hashes, in.Program)
	s.cache.unpin(pinned)
	s.recordPrefix(in.Program, slices.Clone(pinned))
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, HoldResponse{Tokens: len(pinned) * blockTokens})
}
