package schedule

import (
	"slices"
	"time"
)

// Alive rejects servers that are lost, unhealthy, leaving or draining.
type Alive struct{}

// Reject implements Filter.
func (Alive) Reject(b *BackendServer, _ *Request) Reason {
	if b.Leaving || b.Load.Draining {
		return ReasonLeaving
	}
	if b.Lost {
		return ReasonUnhealthy
	}
	if !b.ReportedAt.IsZero() && !b.Load.Healthy {
		return ReasonUnhealthy
	}
	return ReasonNone
}

// Untried rejects servers that an earlier attempt of the call used.
type Untried struct{}

// Reject implements Filter.
func (Untried) Reject(b *BackendServer, req *Request) Reason {
	if slices.Contains(req.Tried, b.ID) {
		return ReasonTried
	}
	return ReasonNone
}

// WaitCost scores the estimated wait.
type WaitCost struct{ Wait Estimator }

// Score implements Scorer.
func (s WaitCost) Score(b *BackendServer, req *Request) float64 {
	return s.Wait.Wait(b, req).Seconds()
}

// PrefillCost scores the prefill of the part of the prompt that is not cached.
type PrefillCost struct {
	Wait   Estimator
	Weight float64
}

// Score implements Scorer.
func (s PrefillCost) Score(b *BackendServer, req *Request) float64 {
	return s.Weight * s.Wait.Prefill(b, req).Seconds()
}

// RemoteCost scores servers outside the entry's failure domain.
type RemoteCost struct{ Penalty time.Duration }

// Score implements Scorer.
func (s RemoteCost) Score(b *BackendServer, req *Request) float64 {
	if b.FailureDomain == req.FailureDomain {
		return 0
	}
	return s.Penalty.Seconds()
}

// ReportedLoad scores the calls per slot of the last report, whatever its age.
type ReportedLoad struct{}

// Score implements Scorer.
func (ReportedLoad) Score(b *BackendServer, _ *Request) float64 {
	return float64(b.Load.Running+b.Load.Queued) / float64(slots(b))
}
