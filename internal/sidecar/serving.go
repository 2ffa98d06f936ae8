package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// servingMaxAge is the age at which the information about what the engine serves is refreshed. Orders and restarts of the
// engine refresh it earlier.
const servingMaxAge = 10 * time.Second

// serving caches the engine's report of what it serves. It is safe for concurrent use.
type serving struct {
	mu        sync.Mutex
	current   *api.Serving // Under mu, like all below; nil if unknown. Replaced, never modified.
	queriedAt time.Time    // Time of the latest query; zero before the first.
}

// get returns the cached report, or nil if it is unknown what the engine serves.
func (v *serving) get() *api.Serving {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// set stores the engine's answer; nil means that it gave none.
func (v *serving) set(current *api.Serving, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current, v.queriedAt = current, now
}

// due reports whether the engine must be queried again.
func (v *serving) due(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.queriedAt) >= servingMaxAge
}

// modelList is the engine's answer to a request for its list of models.
type modelList struct {
	Data []struct {
		ID       string   `json:"id"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	} `json:"data"`
}

// Serving asks the engine what it serves. The result is nil for an engine that lists no model or more than one;
// what such an engine serves is determined by the membership list.
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

// refreshServing asks the engine what it serves, if the last answer is too old or force is set. It does nothing
// for a service.
func (s *Sidecar) refreshServing(ctx context.Context, force bool) {
	now := time.Now()
	if s.engine == nil || !force && !s.serving.due(now) {
		return
	}
	current, err := s.engine.Serving(ctx)
	if err != nil {
		s.log.Debug("cannot query what the engine serves", "error", err)
	}
	s.serving.set(current, now)
}

// currentServing returns what the engine serves, or nil if that is unknown. Changing is set while an order keeps the
// engine from serving calls.
func (s *Sidecar) currentServing() *api.Serving {
	current := s.serving.get()
	if current == nil || !s.orders.blocksServing() {
		return current
	}
	changing := *current
	changing.Changing = true
	return &changing
}

// checkServing returns an error if the engine cannot serve the model call now. Its code says that the call has not run,
// so another engine may run it.
func (s *Sidecar) checkServing(req *api.CallRequest) *api.Error {
	current := s.currentServing()
	if current == nil || req.Model == nil {
		return nil
	}
	if current.Changing {
		return api.Errorf(api.CodeUnavailable, "the engine of %s is executing an order", s.settings.Name)
	}
	if req.Model.Model != current.Model && !slices.Contains(current.Adapters, req.Model.Model) {
		return api.Errorf(api.CodeUnavailable, "the engine of %s serves model %q, not %q", s.settings.Name, current.Model, req.Model.Model)
	}
	return nil
}
