package entry

import (
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	// watchBeats and standbyBeats are the heartbeats between two questions of a sidecar's first and other watchers.
	watchBeats   = 2
	standbyBeats = 4
	// renewShare is the part of a hold's lease after which its renewal is sent.
	renewShare = 3
	// silentAfter is the number of unanswered questions after which a sidecar counts as silent.
	silentAfter = 2
	// insistTimes is the number of unanswered questions up to which they are repeated at every heartbeat.
	insistTimes = 6
)

func (f *fleet) bounded() bool { return f.group != nil && f.group.bounded() }

// due reports whether this entry is to ask the sidecar now. Among many entries only its watchers ask regularly; the
// others do when they have something to tell it.
func (f *fleet) due(id string, s *sidecar) bool {
	if !f.bounded() {
		return true
	}
	request := f.request()
	sortFences(request.Fences)
	_, _, known := f.group.sidecar(id)
	rank := f.group.rank(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := time.Since(s.exchangedAt)
	early := f.heartbeat / 2 // Questions lie whole heartbeats apart.
	switch {
	case len(s.ended) > 0 || !slices.Equal(s.fences, request.Fences):
		return true
	case s.failures > 0 && s.failures < insistTimes:
		return true
	case rank == 0:
		return waited >= watchBeats*f.heartbeat-early
	case rank > 0 || !known:
		return waited >= standbyBeats*f.heartbeat-early
	}
	return len(s.renew) > 0 && waited >= ms(request.HoldMS)/renewShare
}

// hearOf takes the watchers' word of the sidecar, or repeats what this entry has heard itself when that is newer.
func (f *fleet) hearOf(id string, s *sidecar) {
	if !f.bounded() {
		return
	}
	response, age, ok := f.group.sidecar(id)
	own, ownAge, owned := s.lastAnswer()
	if owned && (!ok || ownAge < age) {
		response, age, ok = own, ownAge, true
	}
	if !ok || !s.hear(&response, age) {
		return
	}
	f.learned(id, &api.ExchangeRequest{}, &response)
}

// lastAnswer returns what the sidecar last told this entry; ok is false when that is stale or a question failed since.
func (s *sidecar) lastAnswer() (r api.ExchangeResponse, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age = time.Since(s.reportedAt)
	if s.failures > 0 || age > staleSidecar {
		return api.ExchangeResponse{}, age, false
	}
	return api.ExchangeResponse{Incarnation: s.incarnation, ConfigRevision: s.revision, Load: s.load}, age, true
}

// hear notes the word of others. It returns false when a question of this entry has failed since.
func (s *sidecar) hear(r *api.ExchangeResponse, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Add(-age).Before(s.failedAt) {
		return false
	}
	r.Load.Running = max(r.Load.Running, s.inFlight)
	s.load, s.incarnation, s.revision = r.Load, r.Incarnation, r.ConfigRevision
	s.seenAt = now
	return true
}

func sortFences(fences []api.Fence) {
	slices.SortFunc(fences, func(a, b api.Fence) int { return a.Journal - b.Journal })
}

// exchanging notes a question.
func (s *sidecar) exchanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchangedAt = time.Now()
}

// answered notes what the sidecar was told, and tells the others of its answer.
func (f *fleet) answered(id string, s *sidecar, request *api.ExchangeRequest, response *api.ExchangeResponse) {
	fences := slices.Clone(request.Fences)
	sortFences(fences)
	s.mu.Lock()
	s.fences, s.failures = fences, 0
	s.mu.Unlock()
	if f.bounded() {
		f.group.answered(id, response)
	}
}

// failed notes an unanswered question.
func (f *fleet) failed(id string, s *sidecar) {
	s.mu.Lock()
	s.failures++
	s.failedAt = time.Now()
	silent := s.failures >= silentAfter
	s.mu.Unlock()
	if silent && f.bounded() {
		f.group.silent(id)
	}
}
