package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// servingMaxAge is the age at which the engine is asked again what it serves, without an order or a restart.
const servingMaxAge = 10 * time.Second

// serving is what the engine says that it serves. It is safe for concurrent use.
type serving struct {
	mu      sync.Mutex
	current *api.Serving // Under mu, as all below; nil when the engine does not say. Never changed in place.
	askedAt time.Time    // Zero when the engine must be asked again.
}

func (v *serving) get() *api.Serving {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// set takes in the engine's answer; nil means that it gave none.
func (v *serving) set(current *api.Serving, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current, v.askedAt = current, now
}

// due reports whether the engine must be asked.
func (v *serving) due(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.askedAt) >= servingMaxAge
}

// modelList is the engine's list of models.
type modelList struct {
	Data []struct {
		ID       string   `json:"id"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	} `json:"data"`
}

// Serving asks the engine what it serves. The result is nil for an engine that lists no model or several: it is left to
// the membership list to say what such an engine serves.
func (e *engine) Serving(ctx context.Context) (*api.Serving, error) {
	var list modelList
	if err := e.control.JSON(ctx, fasthttp.MethodGet, e.address, enginePathModels, nil, &list); err != nil {
		return nil, err
	}
	if len(list.Data) != 1 {
		return nil, nil
	}
	m := list.Data[0]
	return &api.Serving{Model: m.ID, Version: m.Version, Adapters: m.Adapters, Role: m.Role}, nil
}

// learnServing asks the engine what it serves, when the last answer is old or force is set.
func (s *Sidecar) learnServing(ctx context.Context, force bool) {
	now := time.Now()
	if s.engine == nil || !force && !s.serving.due(now) {
		return
	}
	current, err := s.engine.Serving(ctx)
	if err != nil {
		s.log.Debug("the engine does not say what it serves", "error", err)
	}
	s.serving.set(current, now)
}

// reportServing returns what the engine serves, for the report to entries.
func (s *Sidecar) reportServing() *api.Serving {
	current := s.serving.get()
	if current == nil || !s.orders.interrupting() {
		return current
	}
	changing := *current
	changing.Changing = true
	return &changing
}

// refuseModel refuses a model call that the engine does not serve now. The call has not run: another engine may.
func (s *Sidecar) refuseModel(req *api.CallRequest) *api.Error {
	current := s.reportServing()
	if current == nil || req.Model == nil {
		return nil
	}
	if current.Changing {
		return api.Errorf(api.CodeUnavailable, "the engine of %s carries out an order", s.settings.Name)
	}
	if req.Model.Model != current.Model && !slices.Contains(current.Adapters, req.Model.Model) {
		return api.Errorf(api.CodeUnavailable, "the engine of %s serves model %q, not %q", s.settings.Name, current.Model, req.Model.Model)
	}
	return nil
}
