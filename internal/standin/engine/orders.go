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

// orderExecutor holds the state for executing orders, one at a time. An order changes what the engine serves: its model,
// version, adapters or role.
type orderExecutor struct {
	executing sync.Mutex         // Held while an order is executed.
	weights   *ports.WeightStore // Source of weights for load orders; nil means that no fetch is needed.

	mu           sync.Mutex
	highestFence map[int]uint64     // Guarded by mu. Highest fencing number seen, by journal.
	applied      []api.OrderRequest // Guarded by mu. Orders in the sequence in which they took effect.
}

// recordFence records the fencing number unless a higher one was recorded for its journal. It reports whether it
// recorded the number.
func (e *orderExecutor) recordFence(f api.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Number < e.highestFence[f.Journal] {
		return false
	}
	e.highestFence[f.Journal] = f.Number
	return true
}

// AppliedOrders returns the orders that took effect, in that sequence.
func (s *Server) AppliedOrders() []api.OrderRequest {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.applied)
}

func (s *Server) serveOrderList(ctx *fasthttp.RequestCtx) {
	out := struct {
		Orders []api.OrderRequest `json:"orders"`
	}{Orders: s.AppliedOrders()}
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) serveOrder(ctx *fasthttp.RequestCtx) {
	var in api.OrderRequest
	if !standin.DecodeJSON(ctx, &in) {
		return
	}
	s.orders.executing.Lock()
	defer s.orders.executing.Unlock()
	if !s.orders.recordFence(in.Fence) && s.options.ChecksFence {
		writeError(ctx, fasthttp.StatusConflict, "stale_fence", "fencing number %d of journal %d is lower than one already seen", in.Fence.Number, in.Fence.Journal)
		return
	}
	if err := s.fetchWeights(in); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "weights_error", "%v", err)
		return
	}
	if strings.HasPrefix(string(in.Kind), "load_") {
		select {
		case <-time.After(time.Duration(float64(s.options.LoadTime) / s.options.TimeScale)):
		case <-s.stop:
			standin.CloseWithoutResponse(ctx)
			return
		}
	}
	s.applyOrder(in)
	transport.WriteJSON(ctx, fasthttp.StatusOK, in)
}

// fetchWeights fetches what an order loads from the weight store.
func (s *Server) fetchWeights(in api.OrderRequest) error {
	if s.orders.weights == nil || in.Kind == api.OrderSetRole {
		return nil
	}
	name := in.Argument
	if in.Kind == api.OrderSetVersion {
		s.mu.Lock()
		name = fmt.Sprintf("%s@%s", s.singleModel(), in.Argument)
		s.mu.Unlock()
	}
	_, err := s.orders.weights.Fetch(context.Background(), name)
	if errors.Is(err, ports.ErrWeightsRateLimited) {
		return fmt.Errorf("weight store is busy: %w", err)
	}
	return err
}

// singleModel returns the model that the engine serves, or "" if it is not configured with exactly one. The caller holds
// mu.
func (s *Server) singleModel() string {
	if len(s.models) != 1 {
		return ""
	}
	for name := range s.models {
		return name
	}
	return ""
}

// applyOrder applies an order. A loaded model replaces the models served before; an engine that serves every model goes
// on doing so.
func (s *Server) applyOrder(in api.OrderRequest) {
	s.mu.Lock()
	switch in.Kind {
	case api.OrderLoadModel:
		model, version, _ := strings.Cut(in.Argument, "@")
		if len(s.models) > 0 {
			s.models = map[string]bool{model: true}
		}
		s.modelVersion, s.adapters = version, nil
	case api.OrderLoadAdapter:
		if !slices.Contains(s.adapters, in.Argument) {
			s.adapters = append(s.adapters, in.Argument)
		}
	case api.OrderSetVersion:
		s.modelVersion = in.Argument
	case api.OrderSetRole:
		s.role = in.Argument
	}
	s.mu.Unlock()
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.applied = append(s.orders.applied, in)
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
			ID: name, Object: "model", Version: s.modelVersion, Adapters: slices.Clone(s.adapters), Role: s.role,
		})
	}
	s.mu.Unlock()
	transport.WriteJSON(ctx, fasthttp.StatusOK, out)
}
