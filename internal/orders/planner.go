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

// Input is what one plan is made from.
type Input struct {
	Now           time.Time
	Targets       Targets
	Engines       []Engine
	UnderWay      map[string]Order  // By engine.
	Endings       map[string]Ending // Of the last order, by engine.
	FetchInterval time.Duration     // Least time between two orders that read the weight store.
	Revision      uint64            // Of the configuration.
	Jitter        func() float64    // Returns numbers in [0, 1).
}

// Planner decides which orders to give next. It remembers since when loads have been high or low and engines unready,
// and when the weight store may be read again. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	pace     pace
	scales   map[place]*scale
	unready  map[string]time.Time // Engine to the time since when it is not ready.
}

// NewPlanner returns the planner of a new giver. When its predecessor read the weight store last is not known, so the
// first read waits for a whole interval.
func NewPlanner(s Settings, now time.Time) *Planner {
	p := &Planner{settings: s, scales: make(map[place]*scale), unready: make(map[string]time.Time)}
	p.pace.last = now
	return p
}

// MayFetch reports whether an order that reads the weight store may be sent again now, and if so counts it.
func (p *Planner) MayFetch(now time.Time, interval time.Duration) bool {
	return p.pace.take(now, interval)
}

// Lost reports whether the engine has been away for so long that its replica counts as lost.
func (p *Planner) Lost(id string, now time.Time) bool {
	since, unready := p.unready[id]
	return unready && now.Sub(since) >= p.settings.LostAfter
}

// Unready reports whether the engine was not ready at the last plan.
func (p *Planner) Unready(id string) bool {
	_, unready := p.unready[id]
	return unready
}

// Plan returns the next orders, without their numbers and identifiers. The caller counts each as under way in later
// plans until it has ended.
func (p *Planner) Plan(in Input) []Order {
	p.noteReadiness(in)
	v := newView(p, in)
	p.scale(v)
	v.fill()
	v.align()
	return v.orders
}

// noteReadiness notes since when engines are unready. An engine that is not listed is unready too.
func (p *Planner) noteReadiness(in Input) {
	listed := make(map[string]bool, len(in.Engines))
	for i := range in.Engines {
		e := &in.Engines[i]
		listed[e.ID] = true
		p.markReady(e.ID, e.Ready, in.Now)
	}
	for id := range in.UnderWay {
		if !listed[id] {
			listed[id] = true
			p.markReady(id, false, in.Now)
		}
	}
	maps.DeleteFunc(p.unready, func(id string, _ time.Time) bool { return !listed[id] })
}

func (p *Planner) markReady(id string, ready bool, now time.Time) {
	if ready {
		delete(p.unready, id)
		return
	}
	if _, known := p.unready[id]; !known {
		p.unready[id] = now
	}
}

// scale moves the wanted numbers of replicas after the load.
func (p *Planner) scale(v *view) {
	current := make(map[place]bool)
	for _, name := range v.models {
		for _, r := range v.in.Targets[name].Replicas {
			at := place{name, r.FailureDomain}
			current[at] = true
			s := p.scales[at]
			if s == nil {
				s = &scale{want: v.have[at]}
				p.scales[at] = s
			}
			ready, load := v.loadOf(at)
			s.update(v.in.Now, r, ready, load, p.settings)
			v.want[at] = s.want
			v.wantTotal[name] += s.want
		}
	}
	maps.DeleteFunc(p.scales, func(at place, _ *scale) bool { return !current[at] })
}

// engineView is an engine with what the plan assigns to it.
type engineView struct {
	*Engine
	model string // That it serves, or will when the order under way has ended.
	free  bool   // It may get an order.
	ready bool   // It serves the model now and no order interrupts that.
}

// view is the state of one plan in the making.
type view struct {
	planner *Planner
	in      Input
	models  []string // Deployed, in order of their names.
	engines []*engineView
	want    map[place]int
	have    map[place]int
	loads   map[place]load
	ready   map[string]int // By model.

	wantTotal, haveTotal map[string]int // By model: the sums of want and have.

	changes map[string]int // Orders under way that interrupt engines, by the model that the engines served.
	orders  []Order
}

func newView(p *Planner, in Input) *view {
	v := &view{
		planner: p, in: in, models: slices.Sorted(maps.Keys(in.Targets)),
		want: make(map[place]int), have: make(map[place]int), loads: make(map[place]load),
		ready: make(map[string]int), changes: make(map[string]int),
		wantTotal: make(map[string]int), haveTotal: make(map[string]int),
	}
	for i := range in.Engines {
		e := &in.Engines[i]
		if !e.Leaving && !p.Lost(e.ID, in.Now) {
			v.add(e)
		}
	}
	slices.SortFunc(v.engines, func(a, b *engineView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

func (v *view) add(e *Engine) {
	x := &engineView{Engine: e, model: v.modelOf(e), ready: e.Ready && !e.Serving.Changing}
	o, busy := v.in.UnderWay[e.ID]
	x.free = !busy && e.Ready && e.Settled && !e.Serving.Changing
	if busy && o.interrupts() {
		x.ready = false
		v.changes[x.model]++
	}
	if busy && o.Kind == api.OrderLoadModel {
		x.model = o.Model
	}
	v.engines = append(v.engines, x)
	at := place{x.model, e.FailureDomain}
	v.count(at, 1)
	if x.ready {
		v.ready[x.model]++
		l := v.loads[at]
		v.loads[at] = load{l.ready + 1, l.sum + e.Load}
	}
}

// modelOf returns the model that the engine serves. The report of an unsettled engine may be older than the end of its
// last order, so a load that succeeded counts instead.
func (v *view) modelOf(e *Engine) string {
	last, known := v.in.Endings[e.ID]
	if !e.Settled && known && last.Order.Kind == api.OrderLoadModel && last.Code == api.CodeOK {
		return last.Order.Model
	}
	return e.Serving.Model
}

// count changes the number of replicas that there are or will be at the place.
func (v *view) count(at place, by int) {
	v.have[at] += by
	v.haveTotal[at.model] += by
}

// load sums up the ready replicas of a place.
type load struct {
	ready int
	sum   float64
}

// loadOf returns the number of ready replicas at the place and their mean load.
func (v *view) loadOf(at place) (int, float64) {
	l := v.loads[at]
	return l.ready, l.sum / float64(max(1, l.ready))
}

// total returns the replicas of the model that are wanted, and those that there are or will be.
func (v *view) total(model string) (want, have int) { return v.wantTotal[model], v.haveTotal[model] }

// interruptible reports whether an order may stop the engine from serving: another ready replica of its model remains,
// or the model is not wanted.
func (v *view) interruptible(e *engineView) bool {
	want, _ := v.total(e.model)
	return want == 0 || !e.ready || v.ready[e.model] > 1
}

// backedOff reports whether an equal order had no effect a short time ago.
func (v *view) backedOff(e *engineView, kind api.OrderKind, argument string) bool {
	last, known := v.in.Endings[e.ID]
	if !known || last.Order.Kind != kind || last.Order.Argument != argument {
		return false
	}
	passed := v.in.Now.Sub(time.UnixMilli(last.AtMS))
	return passed >= 0 && passed < v.planner.settings.backoff(last, v.in.Jitter())
}

// give adds an order and returns true, or returns false when the weight store may not be read yet.
func (v *view) give(e *engineView, kind api.OrderKind, model, argument, reason string) bool {
	o := Order{Engine: e.ID, Kind: kind, Argument: argument, Model: model, Reason: reason, Revision: v.in.Revision}
	if o.Fetches() && !v.planner.pace.take(v.in.Now, v.in.FetchInterval) {
		return false
	}
	v.orders = append(v.orders, o)
	e.free = false
	if o.interrupts() {
		v.interrupt(e)
	}
	if kind == api.OrderLoadModel {
		v.count(place{e.model, e.FailureDomain}, -1)
		v.count(place{model, e.FailureDomain}, 1)
		e.model = model
	}
	return true
}

// interrupt counts the engine as not serving.
func (v *view) interrupt(e *engineView) {
	if e.ready {
		v.ready[e.model]--
		e.ready = false
	}
	v.changes[e.model]++
}

func reasonReplica(d policy.Deployment, domain string, have, want int) string {
	return fmt.Sprintf("%d of %d replicas of %s in %s", have, want, d.Name, domain)
}
