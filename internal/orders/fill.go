package orders

import (
	"cmp"
	"slices"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// fillMissing orders the missing replicas, one at a time and always for the model with the fewest replicas for which this is
// possible. Replicas are placed in the failure domains where they are declared or, if these have no engine for them, in
// other failure domains.
func (s *planState) fillMissing() {
	for {
		models := slices.Clone(s.models)
		slices.SortStableFunc(models, func(a, b string) int {
			_, haveA := s.totals(a)
			_, haveB := s.totals(b)
			return cmp.Compare(haveA, haveB)
		})
		if !slices.ContainsFunc(models, s.fillModel) {
			return
		}
	}
}

// fillModel orders one missing replica of the model and reports whether it did. If a failure domain has no engine for a
// replica and is not about to have one, the replica is placed in any failure domain, unless a surplus replica of the model
// already replaces it.
func (s *planState) fillModel(model string) bool {
	d := s.in.Targets[model]
	unmet := 0 // Number of replicas missing in failure domains that have no engine for them.
	for _, r := range d.Replicas {
		at := placement{model, r.FailureDomain}
		missing := s.want[at] - s.have[at]
		if missing <= 0 {
			continue
		}
		e := s.candidate(d, r.FailureDomain)
		if e != nil {
			return s.orderLoad(e, d, missingReplicaReason(d, r.FailureDomain, s.have[at], s.want[at]))
		}
		if !s.candidateLater(d, r.FailureDomain) {
			unmet += missing
		}
	}
	if unmet == 0 || s.surplusReplicas(model) >= unmet {
		return false
	}
	e := s.substitute(d)
	return e != nil && s.orderLoad(e, d, "in place of a replica that another failure domain cannot hold")
}

// orderLoad orders the engine to load the model of the deployment and reports whether it did.
func (s *planState) orderLoad(e *plannedEngine, d policy.Deployment, reason string) bool {
	return s.addOrder(e, api.OrderLoadModel, d.Name, LoadArgument(d.Name, d.Version), reason)
}

// surplusReplicas returns by how many the replicas of the model exceed the wanted ones, summed over the failure domains in
// which they do.
func (s *planState) surplusReplicas(model string) int {
	n := 0
	for at, have := range s.have {
		if at.model == model {
			n += max(0, have-s.want[at])
		}
	}
	return n
}

// candidate returns the engine of the failure domain that should load the model of the deployment, or nil if there is none.
func (s *planState) candidate(d policy.Deployment, domain string) *plannedEngine {
	var best *plannedEngine
	for _, e := range s.engines {
		if e.FailureDomain != domain || !s.reassignable(e, d) {
			continue
		}
		if best == nil || e.cost() < best.cost() {
			best = e
		}
	}
	return best
}

// cost returns the cost of taking the engine: lowest for engines without a model, and otherwise the load.
func (e *plannedEngine) cost() float64 {
	if e.model == "" {
		return -1
	}
	return e.Load
}

// reassignable reports whether the engine may load the model of the deployment. It must be free, serve a different model
// and not be in backoff for this order. If it serves a model, it must be a surplus replica of that.
func (s *planState) reassignable(e *plannedEngine, d policy.Deployment) bool {
	if !e.free || e.model == d.Name || s.inBackoff(e, api.OrderLoadModel, LoadArgument(d.Name, d.Version)) {
		return false
	}
	return e.model == "" || s.isSurplus(e)
}

// isSurplus reports whether the engine's model has more replicas than wanted, both in the failure domain and in total, and
// the engine may be interrupted. It returns false for a model without a deployment: such engines keep their model.
func (s *planState) isSurplus(e *plannedEngine) bool {
	if _, deployed := s.in.Targets[e.model]; !deployed {
		return false
	}
	at := placement{e.model, e.FailureDomain}
	want, have := s.totals(e.model)
	return s.have[at] > s.want[at] && have > want && s.interruptible(e)
}

// candidateLater reports whether an engine of the failure domain that is not free now may become a candidate without any
// repair.
func (s *planState) candidateLater(d policy.Deployment, domain string) bool {
	return slices.ContainsFunc(s.engines, func(e *plannedEngine) bool {
		return e.FailureDomain == domain && !e.free && e.model != d.Name && s.reassignableLater(e)
	})
}

// reassignableLater reports whether the engine could be reassigned once its order has ended or it is ready again.
func (s *planState) reassignableLater(e *plannedEngine) bool {
	at := placement{e.model, e.FailureDomain}
	_, deployed := s.in.Targets[e.model]
	return e.model == "" || deployed && s.have[at] > s.want[at]
}

// substitute returns an engine of any failure domain that may load the model of the deployment, or nil if there is none. It
// prefers failure domains with few replicas of the model.
func (s *planState) substitute(d policy.Deployment) *plannedEngine {
	var best *plannedEngine
	for _, e := range s.engines {
		if !s.reassignable(e, d) {
			continue
		}
		if best == nil || s.compareSubstitutes(d, e, best) < 0 {
			best = e
		}
	}
	return best
}

// compareSubstitutes returns a negative number if a is a better substitute than b.
func (s *planState) compareSubstitutes(d policy.Deployment, a, b *plannedEngine) int {
	return cmp.Or(
		cmp.Compare(s.have[placement{d.Name, a.FailureDomain}], s.have[placement{d.Name, b.FailureDomain}]),
		cmp.Compare(a.cost(), b.cost()),
	)
}
