package schedule

import (
	"slices"
	"time"
)

// Available rejects servers that are unreachable, unhealthy, leaving or draining.
type Available struct{}

// Reject implements Filter.
func (Available) Reject(b *BackendServer, _ *Request) Reason {
	if b.Leaving || b.Load.Draining {
		return ReasonLeaving
	}
	if b.Unreachable {
		return ReasonUnhealthy
	}
	if !b.ReportedAt.IsZero() && !b.Load.Healthy {
		return ReasonUnhealthy
	}
	return ReasonNone
}

// Untried rejects servers to which an earlier attempt of the call was sent.
type Untried struct{}

// Reject implements Filter.
func (Untried) Reject(b *BackendServer, req *Request) Reason {
	if slices.Contains(req.Tried, b.ID) {
		return ReasonTried
	}
	return ReasonNone
}

// WaitCost scores servers by the estimated wait.
type WaitCost struct{ Estimator Estimator }

// Score implements Scorer.
func (s WaitCost) Score(b *BackendServer, req *Request) float64 {
	return s.Estimator.Wait(b, req).Seconds()
}

// PrefillCost scores servers by the prefill time of the uncached part of the prompt.
type PrefillCost struct {
	Estimator Estimator
	Weight    float64
}

// Score implements Scorer.
func (s PrefillCost) Score(b *BackendServer, req *Request) float64 {
	return s.Weight * s.Estimator.Prefill(b, req).Seconds()
}

// RemoteCost adds a penalty to servers outside the entry's failure domain.
type RemoteCost struct{ Penalty time.Duration }

// Score implements Scorer.
func (s RemoteCost) Score(b *BackendServer, req *Request) float64 {
	if b.FailureDomain == req.FailureDomain {
		return 0
	}
	return s.Penalty.Seconds()
}

// ReportedLoad scores servers by the calls per slot of the last report, regardless of its age.
type ReportedLoad struct{}

// Score implements Scorer.
func (ReportedLoad) Score(b *BackendServer, _ *Request) float64 {
	return float64(b.Load.Running+b.Load.Queued) / float64(slots(b))
}
