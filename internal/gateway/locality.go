package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/locality"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Which calls leave their failure domain is decided from the calls in progress between domains: at the hub for the turns of all
// gateways, at each gateway for its own calls of plain services. Members report their loads in any case; the hub adds them up by
// domain in its digests. All of this happens only where the settings name a price of the traffic between failure domains.

const (
	domainInterval = 250 * time.Millisecond // Between decisions; digests are as frequent.
	// maxDomainLoadsAge is how long the calls of other gateways count.
	maxDomainLoadsAge = time.Second
	// hubLearningTime is the time after which a new hub has got reports from all members.
	hubLearningTime = 2 * reportInterval
	// domainWay is the one-way latency between failure domains in milliseconds. It is not measured: 0.9 to 1.4 ms are usual.
	domainWay = 0.9
	// Slowness of a server within these limits counts as usual, as single calls vary.
	minUnusualSlowness, maxUsualSlowness = 0.67, 1.5
	maxShareLines                        = 8 // Log lines of one decision.
)

// domainState is what a process knows of the calls between failure domains.
type domainState struct {
	table     *locality.Table
	outcomes  locality.Outcomes // Of the calls that this process has placed.
	own       map[peers.DomainCalls]int
	callTimes map[string]*average // Average time of a call in milliseconds, by service.
	others    []peers.DomainCalls // Of other gateways, by the last digest.
	othersAt  time.Time           // When that came; zero if the hub does not collect them.
	hubSince  time.Time           // When this process became the hub; zero if it is not.
}

// newDomainState returns the state for the price in milliseconds, or nil if there is none: then a constant cost applies.
func newDomainState(price *float64) *domainState {
	if price == nil {
		return nil
	}
	return &domainState{
		table: locality.NewTable(*price), own: make(map[peers.DomainCalls]int), callTimes: make(map[string]*average),
	}
}

// setDomainCosts sets the cost of the candidates of other failure domains than the caller's. The caller holds mu.
func (l *loads) setDomainCosts(now time.Time, service string, r *placeRequest, candidates []schedule.PlacementCandidate, servers []*fleet.BackendServer) {
	if l.domains == nil {
		return
	}
	call := l.domains.table.Call(now, service, r.failureDomain, rand.Float64())
	cachedAtHome := 0
	for i := range candidates {
		if candidates[i].Local {
			cachedAtHome = max(cachedAtHome, candidates[i].CachedTokens)
		}
	}
	for i := range candidates {
		if !candidates[i].Local {
			candidates[i].DomainCost = call.Cost(servers[i].FailureDomain, candidates[i].CachedTokens > cachedAtHome)
		}
	}
}

// startDomainCall counts the placed call between the domains. The caller holds mu.
func (l *loads) startDomainCall(t *ticket, service, from, to string) {
	if l.domains != nil {
		t.domains = peers.DomainCalls{Service: service, From: from, To: to}
		l.domains.own[t.domains]++
	}
}

// endDomainCall removes the call from those between the domains and records its outcome. The caller holds mu.
func (l *loads) endDomainCall(t *ticket, o outcome) {
	d := l.domains
	if d == nil || t.domains.Service == "" {
		return
	}
	d.own[t.domains]--
	if d.own[t.domains] <= 0 {
		delete(d.own, t.domains)
	}
	if o != outcomeNeutral {
		d.outcomes.Add(time.Now(), locality.Pair{From: t.domains.From, To: t.domains.To}, o == outcomeFailed)
	}
	if o == outcomeServed {
		mean := d.callTimes[t.domains.Service]
		if mean == nil {
			mean = &average{}
			d.callTimes[t.domains.Service] = mean
		}
		mean.count++
		mean.value += (float64(t.age())/float64(time.Millisecond) - mean.value) / float64(min(mean.count, 200))
	}
}

// setDomainLoads replaces the calls of other gateways by those of a digest.
func (l *loads) setDomainLoads(d *peers.DomainLoads) {
	if l.domains == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains.others, l.domains.othersAt = nil, time.Time{}
	if d != nil {
		l.domains.others, l.domains.othersAt = d.List(), time.Now()
	}
}

// ownDomainCalls returns the calls between domains that this process has placed.
func (l *loads) ownDomainCalls() []peers.DomainCalls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownDomainCallsLocked()
}

// ownDomainCallsLocked is ownDomainCalls for a caller that holds mu.
func (l *loads) ownDomainCallsLocked() []peers.DomainCalls {
	list := make([]peers.DomainCalls, 0, len(l.domains.own))
	for c, n := range l.domains.own {
		c.Calls = n
		list = append(list, c)
	}
	return list
}

// memberDomainCalls holds the calls between domains that members last reported to the hub, and their sum, as the hub answers many
// reports. It is safe for concurrent use.
type memberDomainCalls struct {
	mu       sync.Mutex
	byMember map[string]reportedDomainCalls // Guarded by mu.
	total    map[peers.DomainCalls]int      // Guarded by mu. Calls is 0 in the keys.
}

// reportedDomainCalls is one member's last report.
type reportedDomainCalls struct {
	calls map[peers.DomainCalls]int
	at    time.Time
}

// set replaces the calls of a member.
func (m *memberDomainCalls) set(now time.Time, member string, calls map[peers.DomainCalls]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byMember == nil {
		m.byMember, m.total = make(map[string]reportedDomainCalls), make(map[peers.DomainCalls]int)
	}
	m.add(m.byMember[member].calls, -1)
	m.add(calls, 1)
	m.byMember[member] = reportedDomainCalls{calls: calls, at: now}
}

// add adds the calls to the sum, sign times. The caller holds mu.
func (m *memberDomainCalls) add(calls map[peers.DomainCalls]int, sign int) {
	for c, n := range calls {
		if m.total[c] += sign * n; m.total[c] == 0 {
			delete(m.total, c)
		}
	}
}

// except returns the calls of all members but one. Reports older than maxReportAge are deleted.
func (m *memberDomainCalls) except(now time.Time, member string) []peers.DomainCalls {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, r := range m.byMember {
		if now.Sub(r.at) > maxReportAge {
			m.add(r.calls, -1)
			delete(m.byMember, id)
		}
	}
	list := make([]peers.DomainCalls, 0, len(m.total))
	own := m.byMember[member].calls
	for c, n := range m.total {
		if n -= own[c]; n > 0 {
			c.Calls = n
			list = append(list, c)
		}
	}
	return list
}

// recordDomainCalls records at the hub the calls between domains in a member's report.
func (g *Gateway) recordDomainCalls(r peers.Report) {
	if g.loads.domains == nil {
		return
	}
	view, calls := g.directory.View(), make(map[peers.DomainCalls]int)
	for _, load := range r.Loads {
		if s := view.Server(load.Server); s != nil {
			calls[peers.DomainCalls{Service: s.Service, From: r.From.FailureDomain, To: s.FailureDomain}] += load.Calls
		}
	}
	g.memberDomains.set(time.Now(), r.From.ID, calls)
}

// domainLoads returns the part of the digest for a member; nil if this process does not decide by domains.
func (g *Gateway) domainLoads(member string) *peers.DomainLoads {
	view := g.directory.View()
	if g.loads.domains == nil || view.Config == nil {
		return nil
	}
	list := append(g.loads.ownDomainCalls(), g.memberDomains.except(time.Now(), member)...)
	return peers.NewDomainLoads(slices.DeleteFunc(list, func(c peers.DomainCalls) bool {
		return view.Config.Services[c.Service].Engine != nil // The hub places the turns.
	}))
}

// domainLoop decides on the shares of all services until ctx ends.
func (g *Gateway) domainLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, domainInterval)
		g.updateDomainShares(time.Now())
	}
}

// updateDomainShares decides on the shares of all services, and logs and exports what has changed.
func (g *Gateway) updateDomainShares(now time.Time) {
	view := g.directory.View()
	if view.Config == nil {
		return
	}
	hub := g.isHub()
	var others []peers.DomainCalls
	if hub {
		others = g.memberDomains.except(now, "")
	}
	lines := 0
	for _, c := range g.loads.updateDomains(now, view, hub, others) {
		if !hub || view.Config.Services[c.Service].Engine == nil {
			if c.Pair.From != g.settings.FailureDomain {
				continue
			}
		}
		g.metrics.domains.setShare(g.metrics.set, c.Service, c.Pair, c.Share)
		if lines++; lines > maxShareLines {
			continue
		}
		g.log.Info("share of calls that leave the failure domain", "service", c.Service, "from", c.Pair.From, "to", c.Pair.To,
			"share", c.Share, "previous", c.Previous, "reason", string(c.Reason), "raise_ms", c.Raise,
			"from_slots", c.From.Slots, "from_calls", c.From.Calls, "from_demand", c.From.Demand,
			"to_slots", c.To.Slots, "to_calls", c.To.Calls, "to_demand", c.To.Demand, "age_ms", c.age.Milliseconds(), "hub", hub)
	}
	if lines > maxShareLines {
		g.log.Warn("changes of shares not logged", "changes", lines-maxShareLines)
	}
}

// domainChange is a change of a share, with the age of the other gateways' calls by which it was decided.
type domainChange struct {
	locality.Change
	age time.Duration
}

// updateDomains decides on the shares of all services that this process places. others are the calls of other gateways, if this
// process is the hub.
func (l *loads) updateDomains(now time.Time, view *fleet.View, hub bool, others []peers.DomainCalls) []domainChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.domains
	at := now
	switch {
	case !hub:
		others, at, d.hubSince = d.others, d.othersAt, time.Time{}
	case d.hubSince.IsZero():
		d.hubSince = now
	}
	failing, calls := d.outcomes.Failing(now), append(l.ownDomainCallsLocked(), others...)
	var changes []domainChange
	for _, name := range view.Services() {
		service := view.Config.Services[name]
		known := hub && now.Sub(d.hubSince) >= hubLearningTime ||
			!hub && service.Engine == nil && now.Sub(at) <= maxDomainLoadsAge
		var list []locality.Change
		if known {
			in := l.domainInputs(now, view.Usable(name), service, calls)
			in.Failing = failing
			list = d.table.Update(now, in)
		} else {
			list = d.table.Forget(name)
		}
		for _, c := range list {
			changes = append(changes, domainChange{Change: c, age: now.Sub(at)})
		}
	}
	return changes
}

// domainInputs returns what the decision for a service depends on. The caller holds mu.
func (l *loads) domainInputs(now time.Time, servers []*fleet.BackendServer, service fleet.Service, list []peers.DomainCalls) locality.Inputs {
	in := locality.Inputs{Service: service.Name, Way: domainWay, CallTime: l.costs.CallTime}
	if service.Engine != nil {
		in.CallDelay = l.costs.PerCallDelay
	}
	if mean := l.domains.callTimes[service.Name]; mean != nil && mean.count >= minRouteSamples {
		in.CallTime = mean.value
	}
	domain := func(name string) *locality.Domain {
		i := slices.IndexFunc(in.Domains, func(d locality.Domain) bool { return d.Name == name })
		if i < 0 {
			in.Domains = append(in.Domains, locality.Domain{Name: name})
			i = len(in.Domains) - 1
		}
		return &in.Domains[i]
	}
	ejected := l.eject(servers, now, nil)
	slots := 0
	for i, s := range servers {
		slots += s.Slots
		load, d := l.load(s.ID), domain(s.FailureDomain)
		if now.Before(load.suspendedUntil) || ejected[i] || l.ejected[s.ID] {
			continue
		}
		speed := 1.0
		if load.slowness > 0 && (load.slowness < minUnusualSlowness || load.slowness > maxUsualSlowness) {
			speed = 1 / max(load.slowness, 0.25)
		}
		d.Slots += float64(s.Slots) * speed
	}
	in.ServerSlots = float64(slots) / float64(max(len(servers), 1))
	for _, c := range list {
		if c.Service == service.Name {
			domain(c.From).Demand += float64(c.Calls)
			domain(c.To).Calls += float64(c.Calls)
		}
	}
	return in
}

// domainMetrics holds the metrics of traffic between failure domains. It is safe for concurrent use.
type domainMetrics struct {
	mu     sync.Mutex
	labels map[string]bool // Guarded by mu.
}

// maxDomainLabels bounds the combinations of labels. Further ones share the label other.
const maxDomainLabels = 200

// label returns the labels of a service and a pair of failure domains.
func (m *domainMetrics) label(service string, p locality.Pair) string {
	label := `{service="` + service + `",from="` + p.From + `",to="` + p.To + `"}`
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labels == nil {
		m.labels = make(map[string]bool)
	}
	if !m.labels[label] && len(m.labels) >= maxDomainLabels {
		return `{service="other",from="other",to="other"}`
	}
	m.labels[label] = true
	return label
}

func (m *domainMetrics) setShare(set *vm.Set, service string, p locality.Pair, share float64) {
	set.GetOrCreateGauge("redwinggauge_domain_share"+m.label(service, p), nil).Set(share)
}

// countDomainCall counts a call that is sent to a server of another failure domain, and the bytes of its body. It does nothing where
// the settings name no price.
func (x *exchange) countDomainCall(server *fleet.BackendServer) {
	x.domainBytes = nil
	g := x.g
	if g.loads.domains == nil || server.FailureDomain == g.settings.FailureDomain {
		return
	}
	label := g.metrics.domains.label(server.Service, locality.Pair{From: g.settings.FailureDomain, To: server.FailureDomain})
	g.metrics.set.GetOrCreateCounter("redwinggauge_domain_calls_total" + label).Inc()
	x.domainBytes = g.metrics.set.GetOrCreateCounter("redwinggauge_domain_bytes_total" + label)
	x.countDomainBytes(len(x.body))
}

// countDomainBytes counts bytes of the call's body or answer between failure domains.
func (x *exchange) countDomainBytes(n int) {
	if x.domainBytes != nil {
		x.domainBytes.Add(n)
	}
}
