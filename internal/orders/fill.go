package orders

import (
	"cmp"
	"slices"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// fill orders replicas that are missing: first where they are declared, then in other failure domains in place of those
// that a lost failure domain cannot hold. One replica at a time, of the model that has the fewest.
func (v *view) fill() {
	for {
		models := slices.Clone(v.models)
		slices.SortStableFunc(models, func(a, b string) int {
			_, haveA := v.total(a)
			_, haveB := v.total(b)
			return cmp.Compare(haveA, haveB)
		})
		if !slices.ContainsFunc(models, v.fillOne) {
			return
		}
	}
}

// fillOne orders one missing replica of the model and reports whether it did.
func (v *view) fillOne(model string) bool {
	d := v.in.Targets[model]
	unmet := 0 // Missing where declared, and no engine there to take them.
	for _, r := range d.Replicas {
		at := place{model, r.FailureDomain}
		missing := v.want[at] - v.have[at]
		if missing <= 0 {
			continue
		}
		e := v.candidate(d, r.FailureDomain)
		if e != nil {
			return v.load(e, d, reasonReplica(d, r.FailureDomain, v.have[at], v.want[at]))
		}
		if !v.waiting(d, r.FailureDomain) {
			unmet += missing
		}
	}
	if unmet == 0 || v.surplus(model) >= unmet {
		return false
	}
	e := v.substitute(d)
	return e != nil && v.load(e, d, "in place of a replica that another failure domain cannot hold")
}

func (v *view) load(e *engineView, d policy.Deployment, reason string) bool {
	return v.give(e, api.OrderLoadModel, d.Name, LoadArgument(d.Name, d.Version), reason)
}

// surplus returns how many replicas the model has beyond those wanted where they are.
func (v *view) surplus(model string) int {
	n := 0
	for at, have := range v.have {
		if at.model == model {
			n += max(0, have-v.want[at])
		}
	}
	return n
}

// candidate returns the engine of the failure domain that is best given to the deployment, or nil.
func (v *view) candidate(d policy.Deployment, domain string) *engineView {
	var best *engineView
	for _, e := range v.engines {
		if e.FailureDomain != domain || !v.takable(e, d) {
			continue
		}
		if best == nil || e.cost() < best.cost() {
			best = e
		}
	}
	return best
}

// cost orders candidates: those without a model first, then the least loaded.
func (e *engineView) cost() float64 {
	if e.model == "" {
		return -1
	}
	return e.Load
}

// takable reports whether the engine may be given to the deployment without loss to the model that it serves.
func (v *view) takable(e *engineView, d policy.Deployment) bool {
	if !e.free || e.model == d.Name || v.backedOff(e, api.OrderLoadModel, LoadArgument(d.Name, d.Version)) {
		return false
	}
	return e.model == "" || v.spare(e)
}

// spare reports whether the engine's model has more replicas than wanted, there and in all. Engines with a model that no
// deployment names are left alone.
func (v *view) spare(e *engineView) bool {
	if _, deployed := v.in.Targets[e.model]; !deployed {
		return false
	}
	at := place{e.model, e.FailureDomain}
	want, have := v.total(e.model)
	return v.have[at] > v.want[at] && have > want && v.interruptible(e)
}

// waiting reports whether an engine of the failure domain will be a candidate again without anything being repaired.
func (v *view) waiting(d policy.Deployment, domain string) bool {
	return slices.ContainsFunc(v.engines, func(e *engineView) bool {
		return e.FailureDomain == domain && !e.free && e.model != d.Name && v.spareLater(e)
	})
}

// spareLater reports whether the engine could be taken once its order has ended or it is ready again.
func (v *view) spareLater(e *engineView) bool {
	at := place{e.model, e.FailureDomain}
	_, deployed := v.in.Targets[e.model]
	return e.model == "" || deployed && v.have[at] > v.want[at]
}

// substitute returns an engine of any failure domain, of the one with the fewest replicas of the model first.
func (v *view) substitute(d policy.Deployment) *engineView {
	var best *engineView
	for _, e := range v.engines {
		if !v.takable(e, d) {
			continue
		}
		if best == nil || v.substituteOrder(d, e, best) < 0 {
			best = e
		}
	}
	return best
}

func (v *view) substituteOrder(d policy.Deployment, a, b *engineView) int {
	return cmp.Or(
		cmp.Compare(v.have[place{d.Name, a.FailureDomain}], v.have[place{d.Name, b.FailureDomain}]),
		cmp.Compare(a.cost(), b.cost()),
	)
}
