package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// defaultLease is the duration by which a heartbeat without HoldMS renews leases.
const defaultLease = 10 * time.Second

// exchange processes an entry's heartbeat and returns the answer. If any fencing number of the heartbeat is stale, no
// lease is renewed or ended.
func (s *Sidecar) exchange(req *api.ExchangeRequest) *api.ExchangeResponse {
	s.raiseConfigRevision(req.ConfigRevision)
	s.suspects.Merge(req.Suspects, time.Now())
	stale := s.admitFences(req.Fences)
	if len(stale) == 0 {
		s.holds.EndPrograms(req.Ended)
		s.renewRequested(req)
	}
	now := time.Now()
	return &api.ExchangeResponse{
		Sidecar:        s.settings.Name,
		Incarnation:    s.incarnation,
		ConfigRevision: s.configRevision.Load(),
		Load:           s.load(),
		Held:           s.holds.Held(now, req.Fences),
		Suspects:       s.suspects.Report(),
		Fences:         stale,
		OlderCalls:     s.ledger.OlderCalls(req.Fences),
	}
}

// admitFences records the fencing numbers. For each one that is stale, it returns the highest number seen.
func (s *Sidecar) admitFences(fences []api.Fence) []api.Fence {
	var stale []api.Fence
	for _, fence := range fences {
		if err := s.fences.Admit(fence); err != nil {
			stale = append(stale, api.Fence{Journal: fence.Journal, Number: s.fences.Current(fence.Journal)})
		}
	}
	return stale
}

// renewRequested renews the leases of the programs that the heartbeat names.
func (s *Sidecar) renewRequested(req *api.ExchangeRequest) {
	if len(req.Renew) == 0 || s.engine == nil {
		return
	}
	lease := time.Duration(req.HoldMS) * time.Millisecond
	if lease <= 0 {
		lease = defaultLease
	}
	s.renewHolds(req.Renew, lease)
}

// raiseConfigRevision records the configuration revision if it is higher than the highest one reported so far.
func (s *Sidecar) raiseConfigRevision(revision uint64) {
	for {
		known := s.configRevision.Load()
		if revision <= known || s.configRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}
