package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// orderBook carries out orders one after the other.
type orderBook struct {
	turn    sync.Mutex         // Held while an order is carried out.
	weights *ports.WeightStore // Read by orders that load; nil means that weights are at hand.

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
	if err := s.fetch(in); err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "weights_error", "%v", err)
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

// fetch reads what an order loads from the weight store.
func (s *Server) fetch(in api.OrderRequest) error {
	if s.orders.weights == nil || in.Kind == api.OrderSetRole {
		return nil
	}
	name := in.Argument
	if in.Kind == api.OrderSetVersion {
		s.mu.Lock()
		name = fmt.Sprintf("%s@%s", s.onlyModel(), in.Argument)
		s.mu.Unlock()
	}
	_, err := s.orders.weights.Fetch(context.Background(), name)
	if errors.Is(err, ports.ErrWeightsRateLimited) {
		return fmt.Errorf("the weight store is busy: %w", err)
	}
	return err
}

// onlyModel returns the model that is served, or "" when there are several. The caller holds mu.
func (s *Server) onlyModel() string {
	if len(s.models) != 1 {
		return ""
	}
	for name := range s.models {
		return name
	}
	return ""
}

// carryOut gives an order its effect. A model that is loaded takes the place of those served before.
func (s *Server) carryOut(in api.OrderRequest) {
	s.mu.Lock()
	switch in.Kind {
	case api.OrderLoadModel:
		model, version, _ := strings.Cut(in.Argument, "@")
		if len(s.models) > 0 {
			s.models = map[string]bool{model: true}
		}
		s.version, s.adapters = version, nil
	case api.OrderLoadAdapter:
		if !slices.Contains(s.adapters, in.Argument) {
			s.adapters = append(s.adapters, in.Argument)
		}
	case api.OrderSetVersion:
		s.version = in.Argument
	case api.OrderSetRole:
		s.role = in.Argument
	}
	s.mu.Unlock()
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.effects = append(s.orders.effects, in)
}

// ModelInfo describes a model that the engine serves.
type ModelInfo struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

func (s *Server) serveModels(ctx *fasthttp.RequestCtx) {
	out := struct {
		Object string      `json:"object"`
		Data   []ModelInfo `json:"data"`
	}{Object: "list", Data: []ModelInfo{}}
	s.mu.Lock()
	for name := range s.models {
		out.Data = append(out.Data, ModelInfo{
			ID: name, Object: "model", Version: s.version, Adapters: slices.Clone(s.adapters), Role: s.role,
		})
	}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}
