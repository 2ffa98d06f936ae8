package orders

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// Input contains everything that one plan depends on, apart from the state of the Planner.
type Input struct {
	Now           time.Time
	Targets       Targets
	Engines       []Engine
	UnderWay      map[string]Order   // Orders without an outcome, by engine.
	Outcomes      map[string]Outcome // Outcome of the last order, by engine.
	FetchInterval time.Duration      // Minimum time between two fetches from the weight store.
	Revision      uint64             // Revision of the configuration that declares the targets.
	Jitter        func() float64     // Returns random numbers in [0, 1).
}

// Planner decides which orders to send next. Between plans it keeps since when loads have been high or low, since when
// engines have not been ready, and when the weight store was last read. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	fetches  fetchLimiter
	scalers  map[placement]*replicaScaler
	unready  map[string]time.Time // By engine: since when it has not been ready.
}

// NewPlanner returns the planner of a new owner of the journal. It is not known when the previous owner last sent an order
// that reads from the weight store, so the first such order waits for a full interval.
func NewPlanner(s Settings, now time.Time) *Planner {
	p := &Planner{settings: s, scalers: make(map[placement]*replicaScaler), unready: make(map[string]time.Time)}
	p.fetches.last = now
	return p
}

// AllowFetch reports whether an order that reads from the weight store may be sent again now. If so, the next such order
// must wait for the interval.
func (p *Planner) AllowFetch(now time.Time, interval time.Duration) bool {
	return p.fetches.allow(now, interval)
}

// Lost reports whether the engine has not been ready for so long that its replica counts as lost.
func (p *Planner) Lost(id string, now time.Time) bool {
	since, unready := p.unready[id]
	return unready && now.Sub(since) >= p.settings.LostAfter
}

// Unready reports whether the engine was not ready in the last plan.
func (p *Planner) Unready(id string) bool {
	_, unready := p.unready[id]
	return unready
}

// Plan returns the next orders, without numbers and ids. The caller must pass each of them in Input.UnderWay of later plans
// until its outcome is known.
func (p *Planner) Plan(in Input) []Order {
	p.updateReadiness(in)
	s := newPlanState(p, in)
	p.updateScalers(s)
	s.fillMissing()
	s.alignReplicas()
	return s.orders
}

// updateReadiness updates since when engines have not been ready. An engine that has an order in progress but is not listed
// counts as not ready.
func (p *Planner) updateReadiness(in Input) {
	listed := make(map[string]bool, len(in.Engines))
	for i := range in.Engines {
		e := &in.Engines[i]
		listed[e.ID] = true
		p.setReady(e.ID, e.Ready, in.Now)
	}
	for id := range in.UnderWay {
		if !listed[id] {
			listed[id] = true
			p.setReady(id, false, in.Now)
		}
	}
	maps.DeleteFunc(p.unready, func(id string, _ time.Time) bool { return !listed[id] })
}

// setReady records whether the engine is ready now.
func (p *Planner) setReady(id string, ready bool, now time.Time) {
	if ready {
		delete(p.unready, id)
		return
	}
	if _, known := p.unready[id]; !known {
		p.unready[id] = now
	}
}

// updateScalers adjusts the wanted numbers of replicas to the load.
func (p *Planner) updateScalers(s *planState) {
	current := make(map[placement]bool)
	for _, name := range s.models {
		for _, r := range s.in.Targets[name].Replicas {
			at := placement{name, r.FailureDomain}
			current[at] = true
			scaler := p.scalers[at]
			if scaler == nil {
				scaler = &replicaScaler{want: s.have[at]}
				p.scalers[at] = scaler
			}
			ready, load := s.meanLoad(at)
			scaler.update(s.in.Now, r, ready, load, p.settings)
			s.want[at] = scaler.want
			s.wantTotal[name] += scaler.want
		}
	}
	maps.DeleteFunc(p.scalers, func(at placement, _ *replicaScaler) bool { return !current[at] })
}

// plannedEngine is an engine with its state in the plan.
type plannedEngine struct {
	*Engine
	model string // Model that it serves, or will serve after the order in progress or the planned one.
	free  bool   // It may get an order in this plan.
	ready bool   // It serves the model now, and no order interrupts it.
}

// planState is the state of one plan while it is computed.
type planState struct {
	planner *Planner
	in      Input
	models  []string // Models with a deployment, sorted.
	engines []*plannedEngine
	want    map[placement]int     // Wanted replicas.
	have    map[placement]int     // Replicas that exist, or will after the orders in progress and the planned ones.
	loads   map[placement]loadSum // Loads of the ready replicas.
	ready   map[string]int        // Number of ready replicas by model.

	wantTotal, haveTotal map[string]int // Sums of want and have by model.

	changes map[string]int // Number of orders in progress or planned that interrupt engines, by the model they served.
	orders  []Order
}

// newPlanState returns the state before any order is planned. Engines that are leaving or lost are left out.
func newPlanState(p *Planner, in Input) *planState {
	s := &planState{
		planner: p, in: in, models: slices.Sorted(maps.Keys(in.Targets)),
		want: make(map[placement]int), have: make(map[placement]int), loads: make(map[placement]loadSum),
		ready: make(map[string]int), changes: make(map[string]int),
		wantTotal: make(map[string]int), haveTotal: make(map[string]int),
	}
	for i := range in.Engines {
		e := &in.Engines[i]
		if !e.Leaving && !p.Lost(e.ID, in.Now) {
			s.addEngine(e)
		}
	}
	slices.SortFunc(s.engines, func(a, b *plannedEngine) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// addEngine adds an engine with the effect of its order in progress.
func (s *planState) addEngine(e *Engine) {
	planned := &plannedEngine{Engine: e, model: s.modelOf(e), ready: e.Ready && !e.Serving.Changing}
	o, busy := s.in.UnderWay[e.ID]
	planned.free = !busy && e.Ready && e.ReportCurrent && !e.Serving.Changing
	if busy && o.interrupts() {
		planned.ready = false
		s.changes[planned.model]++
	}
	if busy && o.Kind == api.OrderLoadModel {
		planned.model = o.Model
	}
	s.engines = append(s.engines, planned)
	at := placement{planned.model, e.FailureDomain}
	s.addReplicas(at, 1)
	if planned.ready {
		s.ready[planned.model]++
		l := s.loads[at]
		s.loads[at] = loadSum{l.ready + 1, l.sum + e.Load}
	}
}

// modelOf returns the model that the engine serves. If the report is not current, it may not show the effect of the last
// order, so the model of a last order that loaded one successfully counts instead.
func (s *planState) modelOf(e *Engine) string {
	last, known := s.in.Outcomes[e.ID]
	if !e.ReportCurrent && known && last.Order.Kind == api.OrderLoadModel && last.Code == api.CodeOK {
		return last.Order.Model
	}
	return e.Serving.Model
}

// addReplicas changes the number of replicas of the placement.
func (s *planState) addReplicas(at placement, by int) {
	s.have[at] += by
	s.haveTotal[at.model] += by
}

// loadSum holds the number of ready replicas of a placement and the sum of their loads.
type loadSum struct {
	ready int
	sum   float64
}

// meanLoad returns the number of ready replicas of the placement and their mean load.
func (s *planState) meanLoad(at placement) (int, float64) {
	l := s.loads[at]
	return l.ready, l.sum / float64(max(1, l.ready))
}

// totals returns the numbers of replicas of the model that are wanted and that exist or will exist.
func (s *planState) totals(model string) (want, have int) {
	return s.wantTotal[model], s.haveTotal[model]
}

// interruptible reports whether an order may interrupt the engine: the engine is not ready anyway, another ready replica of
// its model remains, or no replica of the model is wanted.
func (s *planState) interruptible(e *plannedEngine) bool {
	want, _ := s.totals(e.model)
	return want == 0 || !e.ready || s.ready[e.model] > 1
}

// inBackoff reports whether an order with the same kind and argument was the last one of the engine and ended so recently
// that it must not be repeated yet.
func (s *planState) inBackoff(e *plannedEngine, kind api.OrderKind, argument string) bool {
	last, known := s.in.Outcomes[e.ID]
	if !known || last.Order.Kind != kind || last.Order.Argument != argument {
		return false
	}
	passed := s.in.Now.Sub(time.UnixMilli(last.AtMS))
	return passed >= 0 && passed < s.planner.settings.backoff(last, s.in.Jitter())
}

// addOrder adds an order to the plan and returns true. It returns false if the order would read from the weight store and
// that is not allowed yet.
func (s *planState) addOrder(e *plannedEngine, kind api.OrderKind, model, argument, reason string) bool {
	o := Order{Engine: e.ID, Kind: kind, Argument: argument, Model: model, Reason: reason, Revision: s.in.Revision}
	if o.Fetches() && !s.planner.fetches.allow(s.in.Now, s.in.FetchInterval) {
		return false
	}
	s.orders = append(s.orders, o)
	e.free = false
	if o.interrupts() {
		s.markInterrupted(e)
	}
	if kind == api.OrderLoadModel {
		s.addReplicas(placement{e.model, e.FailureDomain}, -1)
		s.addReplicas(placement{model, e.FailureDomain}, 1)
		e.model = model
	}
	return true
}

// markInterrupted records that an order interrupts the engine.
func (s *planState) markInterrupted(e *plannedEngine) {
	if e.ready {
		s.ready[e.model]--
		e.ready = false
	}
	s.changes[e.model]++
}

// missingReplicaReason returns the reason for an order to load a missing replica.
func missingReplicaReason(d policy.Deployment, domain string, have, want int) string {
	return fmt.Sprintf("%d of %d replicas of %s in %s", have, want, d.Name, domain)
}
