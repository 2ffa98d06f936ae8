package orders

import (
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// maxChangingShare is the divisor that gives the share of a model's replicas that may be interrupted together.
const maxChangingShare = 4

// align gives replicas the version, role and adapters that their deployment declares, one order at a time for each.
func (v *view) align() {
	for _, e := range v.engines {
		d, deployed := v.in.Targets[e.model]
		if !deployed || !e.free {
			continue
		}
		if want, _ := v.total(e.model); want > 0 {
			v.alignOne(e, d)
		}
	}
}

func (v *view) alignOne(e *engineView, d policy.Deployment) {
	switch {
	case d.Version != "" && e.Serving.Version != d.Version:
		v.change(e, d, api.OrderSetVersion, d.Version)
	case d.Role != "" && e.Serving.Role != string(d.Role):
		v.change(e, d, api.OrderSetRole, string(d.Role))
	default:
		v.loadAdapter(e, d)
	}
}

// change gives an order that interrupts the engine. When it holds the last ready replica, another engine takes the model
// first; without one the order waits.
func (v *view) change(e *engineView, d policy.Deployment, kind api.OrderKind, argument string) {
	if v.backedOff(e, kind, argument) {
		return
	}
	_, have := v.total(d.Name)
	if v.changes[d.Name] >= max(1, have/maxChangingShare) {
		return
	}
	if !v.interruptible(e) {
		if have == 1 {
			v.succeed(d)
		}
		return
	}
	reason := fmt.Sprintf("deployment %s declares it", d.Name)
	v.give(e, kind, d.Name, argument, reason)
}

// succeed orders a further replica that can serve while the only one changes.
func (v *view) succeed(d policy.Deployment) {
	if e := v.substitute(d); e != nil {
		v.load(e, d, "to serve while the only replica changes")
	}
}

func (v *view) loadAdapter(e *engineView, d policy.Deployment) {
	for _, a := range d.Adapters {
		if e.hasAdapter(a.Name) {
			continue
		}
		if !v.backedOff(e, api.OrderLoadAdapter, a.Name) {
			v.give(e, api.OrderLoadAdapter, d.Name, a.Name, fmt.Sprintf("deployment %s declares it", d.Name))
		}
		return
	}
}
