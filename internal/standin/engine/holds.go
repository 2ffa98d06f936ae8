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

// HoldRequest asks to keep, release or export a program's prefix.
type HoldRequest struct {
	Program string `json:"program"`
	TTLMS   int64  `json:"ttl_ms,omitempty"`
}

// HoldResponse answers a HoldRequest.
type HoldResponse struct {
	Held   bool `json:"held"` // Whether the program had, or now has, a prefix in memory.
	Tokens int  `json:"tokens"`
}

// CacheStats is the answer of /v1/cache_stats, in tokens and token seconds.
type CacheStats struct {
	HeldTokenSeconds    float64  `json:"held_token_seconds"`
	WastedTokenSeconds  float64  `json:"wasted_token_seconds"`  // Held after a prefix's last use until its release.
	PendingTokenSeconds float64  `json:"pending_token_seconds"` // Held since the last use; counts as neither yet.
	HeldTokens          int      `json:"held_tokens"`
	UsedTokens          int      `json:"used_tokens"`
	CapacityTokens      int      `json:"capacity_tokens"`
	Programs            []string `json:"programs"` // With a hold.
}

// CacheStats returns the cache's counters.
func (s *Server) CacheStats() CacheStats {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.lapse(now)
	out := CacheStats{
		HeldTokenSeconds:   s.cache.usage.held,
		WastedTokenSeconds: s.cache.usage.wasted,
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
	if !standin.Decode(ctx, &in) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.cache.lapse(now)
	held := s.cache.hold(in.Program, nil, now, standin.Millis(in.TTLMS))
	if !held {
		known := s.prefixes[in.Program]
		if n := s.cache.match(known); n > 0 {
			held = s.cache.hold(in.Program, known[:n], now, standin.Millis(in.TTLMS))
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
	if !standin.Decode(ctx, &in) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.cache.lapse(now)
	held := s.cache.release(in.Program, now)
	delete(s.prefixes, in.Program)
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, HoldResponse{Held: held})
}

// exported is the content of an export.
type exported struct {
	Program string   `json:"program"`
	Hashes  []uint64 `json:"hashes"`
}

var (
	blobEncoder, _ = zstd.NewWriter(nil)
	blobDecoder, _ = zstd.NewReader(nil)
)

func (s *Server) serveExport(ctx *fasthttp.RequestCtx) {
	var in HoldRequest
	if !standin.Decode(ctx, &in) {
		return
	}
	s.mu.Lock()
	known := s.prefixes[in.Program]
	hashes := slices.Clone(known[:s.cache.match(known)])
	s.mu.Unlock()
	if len(hashes) == 0 {
		refuse(ctx, fasthttp.StatusNotFound, "not_found", "program %q has no prefix in memory", in.Program)
		return
	}
	data, err := json.Marshal(exported{Program: in.Program, Hashes: hashes})
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, "server_error", "encode the prefix: %v", err)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(blobEncoder.EncodeAll(data, nil))
}

// importSpeedup is how much faster a prefix is imported than computed.
const importSpeedup = 10

func (s *Server) serveImport(ctx *fasthttp.RequestCtx) {
	data, err := blobDecoder.DecodeAll(ctx.PostBody(), nil)
	var in exported
	if err == nil {
		err = json.Unmarshal(data, &in)
	}
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "decode the prefix: %v", err)
		return
	}
	rate := s.options.PrefillTokensPerSecond * importSpeedup * s.options.TimeScale
	time.Sleep(time.Duration(float64(len(in.Hashes)*blockTokens) / rate * float64(time.Second)))
	s.mu.Lock()
	pinned := s.cache.pin(in.Hashes, in.Program)
	s.cache.unpin(pinned)
	s.remember(in.Program, slices.Clone(pinned))
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, HoldResponse{Tokens: len(pinned) * blockTokens})
}
