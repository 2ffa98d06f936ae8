package engine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// orderBook carries out orders one after the other.
type orderBook struct {
	turn sync.Mutex // Held while an order is carried out.

	mu      sync.Mutex
	highest map[int]uint64     // Guarded by mu. Highest fencing number seen, by journal.
	effects []api.OrderRequest // Guarded by mu. In the order in which they took effect.
}

// admit notes the fencing number and reports whether it is the highest so far.
func (b *orderBook) admit(f api.Fence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Number < b.highest[f.Journal] {
		return false
	}
	b.highest[f.Journal] = f.Number
	return true
}

// Orders returns the orders that took effect, in their order.
func (s *Server) Orders() []api.OrderRequest {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.effects)
}

func (s *Server) serveOrderList(ctx *fasthttp.RequestCtx) {
	out := struct {
		Orders []api.OrderRequest `json:"orders"`
	}{Orders: s.Orders()}
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveOrder(ctx *fasthttp.RequestCtx) {
	var in api.OrderRequest
	if !standin.Decode(ctx, &in) {
		return
	}
	s.orders.turn.Lock()
	defer s.orders.turn.Unlock()
	if !s.orders.admit(in.Fence) && s.options.ChecksFence {
		refuse(ctx, fasthttp.StatusConflict, "stale_fence", "fencing number %d of journal %d is old", in.Fence.Number, in.Fence.Journal)
		return
	}
	if strings.HasPrefix(string(in.Kind), "load_") {
		select {
		case <-time.After(time.Duration(float64(s.options.LoadTime) / s.options.TimeScale)):
		case <-s.stop:
			standin.DropAnswer(ctx)
			return
		}
	}
	s.carryOut(in)
	transport.WriteJSON(ctx, fasthttp.StatusOK, in)
}

// carryOut gives an order its effect.
func (s *Server) carryOut(in api.OrderRequest) {
	if in.Kind == api.OrderLoadModel {
		s.mu.Lock()
		if len(s.models) > 0 {
			s.models[in.Argument] = true
		}
		s.mu.Unlock()
	}
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.effects = append(s.orders.effects, in)
}
