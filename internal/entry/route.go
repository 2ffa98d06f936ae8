package entry

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// routeRequest asks for a sidecar for one call.
type routeRequest struct {
	kind         api.CallKind
	service      string // Service or model.
	program      string
	promptTokens int
	tried        map[string]bool
}

// route chooses the sidecar for a call.
func (e *Entry) route(r routeRequest) (*sidecar, target, *api.Error) {
	if !e.fleet.serves(r.kind, r.service) {
		return nil, target{}, api.Errorf(api.CodeUnknownService, "no backend server serves %s %q", r.kind, r.service)
	}
	var best *sidecar
	var chosen target
	bestScore := 0.0
	for _, s := range e.fleet.list() {
		s.mu.Lock()
		ok := s.usable(r, ms(e.settings.DeadAfterMS))
		score := s.score(r)
		t := target{ID: s.member.ID, Address: s.member.Address, Incarnation: s.incarnation}
		s.mu.Unlock()
		if ok && (best == nil || score < bestScore) {
			best, chosen, bestScore = s, t, score
		}
	}
	if best == nil {
		return nil, target{}, api.Errorf(api.CodeUnavailable, "no backend server of %s %q can take the call now", r.kind, r.service)
	}
	return best, chosen, nil
}

// usable reports whether the sidecar may get the call. Its lock is held.
func (s *sidecar) usable(r routeRequest, deadAfter time.Duration) bool {
	if s.member.Service != r.service || (s.member.Kind == kindEngine) != (r.kind == api.KindModel) {
		return false
	}
	if r.tried[s.member.ID] || s.member.Leaving || s.load.Draining || !s.load.Healthy {
		return false
	}
	return time.Since(s.seenAt) < deadAfter
}

// score is the estimated load in calls; a held prefix counts as one call less. The sidecar's lock is held.
func (s *sidecar) score(r routeRequest) float64 {
	score := float64(s.load.Queued+s.load.Running+s.inFlight) / float64(max(1, s.load.Slots))
	if _, held := s.held[r.program]; held {
		score--
	}
	return score
}
