package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// defaultHold is the lease of a renewed hold when the entry names none.
const defaultHold = 10 * time.Second

// exchange takes in an entry's heartbeat and answers it.
func (s *Sidecar) exchange(req *api.ExchangeRequest) *api.ExchangeResponse {
	s.learnRevision(req.ConfigRevision)
	s.suspects.Learn(req.Suspects, time.Now())
	stale := s.admitFences(req.Fences)
	if len(stale) == 0 {
		s.holds.End(req.Ended)
		s.renew(req)
	}
	now := time.Now()
	return &api.ExchangeResponse{
		Sidecar:        s.settings.Name,
		Incarnation:    s.incarnation,
		ConfigRevision: s.revision.Load(),
		Load:           s.load(),
		Held:           s.holds.Held(now, req.Fences),
		Suspects:       s.suspects.Report(),
		Fences:         stale,
		OlderCalls:     s.ledger.Older(req.Fences),
	}
}

// admitFences records the fencing numbers and returns the higher ones seen before.
func (s *Sidecar) admitFences(fences []api.Fence) []api.Fence {
	var stale []api.Fence
	for _, fence := range fences {
		if err := s.fences.Admit(fence); err != nil {
			stale = append(stale, api.Fence{Journal: fence.Journal, Number: s.fences.Current(fence.Journal)})
		}
	}
	return stale
}

// renew extends the leases of the programs that the entry still waits for.
func (s *Sidecar) renew(req *api.ExchangeRequest) {
	if len(req.Renew) == 0 || s.engine == nil {
		return
	}
	lease := time.Duration(req.HoldMS) * time.Millisecond
	if lease <= 0 {
		lease = defaultHold
	}
	s.renewHolds(req.Renew, lease)
}

// learnRevision raises the highest configuration revision heard of.
func (s *Sidecar) learnRevision(revision uint64) {
	for {
		known := s.revision.Load()
		if revision <= known || s.revision.CompareAndSwap(known, revision) {
			return
		}
	}
}
