package orders

import (
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// changingDivisor limits how many replicas of a model may be interrupted at the same time: their number divided by
// changingDivisor, but at least one.
const changingDivisor = 4

// alignReplicas orders the changes that give replicas the version, role and adapters that their deployment declares. Each
// engine gets one order at a time.
func (s *planState) alignReplicas() {
	for _, e := range s.engines {
		d, deployed := s.in.Targets[e.model]
		if !deployed || !e.free {
			continue
		}
		if want, _ := s.totals(e.model); want > 0 {
			s.alignEngine(e, d)
		}
	}
}

// alignEngine orders the first change that the engine needs: the version, then the role, then adapters.
func (s *planState) alignEngine(e *plannedEngine, d policy.Deployment) {
	switch {
	case d.Version != "" && e.Serving.Version != d.Version:
		s.orderChange(e, d, api.OrderSetVersion, d.Version)
	case d.Role != "" && e.Serving.Role != string(d.Role):
		s.orderChange(e, d, api.OrderSetRole, string(d.Role))
	default:
		s.orderAdapter(e, d)
	}
}

// orderChange adds an order that interrupts the engine. If the engine is the last ready replica of the model, the order
// must wait; if it is the only replica, another engine is ordered to load the model first.
func (s *planState) orderChange(e *plannedEngine, d policy.Deployment, kind api.OrderKind, argument string) {
	if s.inBackoff(e, kind, argument) {
		return
	}
	_, have := s.totals(d.Name)
	if s.changes[d.Name] >= max(1, have/changingDivisor) {
		return
	}
	if !s.interruptible(e) {
		if have == 1 {
			s.orderExtraReplica(d)
		}
		return
	}
	reason := fmt.Sprintf("deployment %s declares it", d.Name)
	s.addOrder(e, kind, d.Name, argument, reason)
}

// orderExtraReplica orders another replica, which can serve while the only one is interrupted.
func (s *planState) orderExtraReplica(d policy.Deployment) {
	if e := s.substitute(d); e != nil {
		s.orderLoad(e, d, "to serve while the only replica changes")
	}
}

// orderAdapter orders the engine to load the first declared adapter that it has not loaded.
func (s *planState) orderAdapter(e *plannedEngine, d policy.Deployment) {
	for _, a := range d.Adapters {
		if e.hasAdapter(a.Name) {
			continue
		}
		if !s.inBackoff(e, api.OrderLoadAdapter, a.Name) {
			s.addOrder(e, api.OrderLoadAdapter, d.Name, a.Name, fmt.Sprintf("deployment %s declares it", d.Name))
		}
		return
	}
}
