package locality

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the averages of demand and calls. With a shorter one the shares follow single calls; a
	// longer one lags behind demand that swings within 13 s.
	demandTime = 300 * time.Millisecond
	// shareStep is the part of the way to new shares that one update takes. Deciders whose views are a few updates old then
	// correct each other without oscillation.
	shareStep = 0.5
	// maxAge is how long shares hold without an update. After it the constant cost applies.
	maxAge = time.Second
	// baseCost is the largest cost in milliseconds of leaving a domain that has no room, whatever the price. It is the constant that
	// applies without a decision: a constant of 20 ms at any load made many programs late.
	baseCost = 1.5
	// lowLoad is the fullness of the home domain below which leaving it may cost more. With 0.5 in its place, a price of 125 ms kept
	// less than half as many calls of plain services at home.
	lowLoad = 0.7
	// lowLoadCalls bounds that additional cost, in concurrent calls of an engine.
	lowLoadCalls = 3
	// lowLoadPlainCalls is the same in concurrent calls of a server of a plain service. It is twice that of opening a connection:
	// gateways would otherwise stay with servers of other domains to which they are connected.
	lowLoadPlainCalls = 3
	// stayCalls is the additional cost of leaving for calls of a plain service that the shares keep at home, in concurrent calls.
	// Gateways see each other's calls late: without it, all calls of a full domain would go to the servers that were idle last.
	stayCalls = 1
	// full is the fullness of the home domain from which on calls do not go to a fuller domain, whatever its servers.
	full = 0.8
	// avoidCost is the additional cost in directions that are to be avoided. It is lower than that of a suspended server.
	avoidCost = 1000
	// loggedStep is the change of a share that is reported.
	loggedStep = 0.05
	// minShare is the smallest share that counts.
	minShare = 0.005
)

// Table holds the damped shares of all services. It is not safe for concurrent use.
type Table struct {
	price    float64
	services map[string]*service
}

// service is the state of one service.
type service struct {
	updated time.Time
	domains map[string]Domain // With averages of Calls and Demand.
	names   []string          // Of domains, sorted.
	pairs   map[Pair]*pair
}

// pair is the state of one direction.
type pair struct {
	share    float64
	reported float64 // Share in the last Change.
	reason   Reason
	raise    float64 // Additional cost of leaving for calls that the shares keep at home, in milliseconds.
	avoided  bool
}

// Reason tells why a share is what it is.
type Reason string

// Values of Reason.
const (
	ReasonRoom     Reason = "home has room"
	ReasonSaves    Reason = "leaving saves time"
	ReasonLost     Reason = "home has no usable server"
	ReasonNoServer Reason = "target has no usable server"
	ReasonFuller   Reason = "target is fuller"
	ReasonFailing  Reason = "calls to the target fail"
	ReasonLowLoad  Reason = "low load at home"
	ReasonUnknown  Reason = "loads of other gateways are not known"
)

// Change is a change of the share of a direction, or of its reason, with the inputs.
type Change struct {
	Service         string
	Pair            Pair
	Share, Previous float64
	Reason          Reason
	Raise           float64
	From, To        Domain
}

// NewTable returns a Table. price is the cost of a call between failure domains in milliseconds.
func NewTable(price float64) *Table {
	return &Table{price: price, services: make(map[string]*service)}
}

// Update decides on the shares of one service anew and returns what has changed notably. The price of in is that of the table.
func (t *Table) Update(now time.Time, in Inputs) []Change {
	in.Price = t.price
	s := t.services[in.Service]
	if s == nil || now.Sub(s.updated) > maxAge {
		s = &service{domains: make(map[string]Domain), pairs: make(map[Pair]*pair)}
		t.services[in.Service] = s
	}
	current := in.Domains
	in.Domains = s.average(now, current)
	targets := Shares(in, func(p Pair) bool { return s.pairs[p] != nil && s.pairs[p].share > minShare })
	var changes []Change
	known := make(map[Pair]bool)
	for i := range in.Domains {
		for j := range in.Domains {
			if i == j {
				continue
			}
			key := Pair{in.Domains[i].Name, in.Domains[j].Name}
			known[key] = true
			p := s.pairs[key]
			if p == nil {
				p = &pair{reason: ReasonRoom}
				s.pairs[key] = p
			}
			reason := p.reason
			p.update(&in, i, j, current, targets[key])
			if math.Abs(p.share-p.reported) >= loggedStep || p.reason != reason && (p.avoided || p.reason != ReasonLowLoad && reason != ReasonLowLoad) {
				changes = append(changes, Change{
					Service: in.Service, Pair: key, Share: p.share, Previous: p.reported, Reason: p.reason, Raise: p.raise,
					From: in.Domains[i], To: in.Domains[j],
				})
				p.reported = p.share
			}
		}
	}
	for key := range s.pairs {
		if !known[key] {
			delete(s.pairs, key)
		}
	}
	return changes
}

// average updates the averages of the domains, and returns them. The slots are those of now.
func (s *service) average(now time.Time, current []Domain) []Domain {
	weight := 1.0
	if !s.updated.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(s.updated))/float64(demandTime))
	}
	s.updated = now
	averages := make(map[string]Domain, len(current))
	list := make([]Domain, 0, len(current))
	for _, d := range current {
		if old, known := s.domains[d.Name]; known {
			d.Calls = old.Calls + (d.Calls-old.Calls)*weight
			d.Demand = old.Demand + (d.Demand-old.Demand)*weight
		}
		averages[d.Name] = d
		list = append(list, d)
	}
	s.domains, s.names = averages, slices.Sorted(maps.Keys(averages))
	slices.SortFunc(list, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(current, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// update moves the pair of the domains i and j towards the target share. current holds the domains without averages.
func (p *pair) update(in *Inputs, i, j int, current []Domain, target float64) {
	from, to := &in.Domains[i], &in.Domains[j]
	p.share += (target - p.share) * shareStep
	p.raise, p.avoided = 0, false
	// Whichever of the average and the latest value gives less reason to raise the cost, so that a rising load takes effect at once.
	home := max(from.fullness(from.Calls), current[i].fullness(current[i].Calls))
	there := min(to.fullness(to.Calls), current[j].fullness(current[j].Calls))
	fuller := there - home - fullerBy
	callCost, lowCost := in.CallTime/max(in.ServerSlots, 1), in.CallTime/max(in.ServerSlots, 1)*lowLoadPlainCalls
	if in.CallDelay > 0 {
		callCost, lowCost = 0, in.CallDelay*lowLoadCalls
	}
	switch {
	case in.Failing[Pair{from.Name, to.Name}]:
		p.share, p.avoided, p.reason = 0, true, ReasonFailing
	case to.Slots <= 0:
		p.share, p.reason = 0, ReasonNoServer
	case from.Slots <= 0:
		p.share, p.reason = target, ReasonLost
	case home >= full && fuller > 0:
		p.share, p.avoided, p.reason = 0, true, ReasonFuller
	case p.share <= minShare && home < lowLoad && (fuller > 0 || in.Price > baseCost):
		p.reason = ReasonLowLoad
		p.raise = max(min(in.Price-baseCost, lowCost), lowCost*min(fuller/fullerBy, 1)) * (1 - home/lowLoad)
	case p.share > minShare:
		p.reason = ReasonSaves
		emptier := from.fullness(from.Calls) - to.fullness(to.Calls) - fullerBy
		p.raise = callCost * stayCalls * min(max(emptier/fullerBy, 0), 1)
	default:
		p.reason = ReasonRoom
	}
	if p.share <= minShare {
		p.share = 0
	}
}

// Forget drops the shares of a service whose loads are no longer known, so that the constant cost applies. It returns the
// shares that end.
func (t *Table) Forget(service string) []Change {
	s := t.services[service]
	if s == nil {
		return nil
	}
	delete(t.services, service)
	var changes []Change
	for key, p := range s.pairs {
		if p.share > 0 || p.avoided {
			changes = append(changes, Change{
				Service: service, Pair: key, Previous: p.reported, Reason: ReasonUnknown, From: s.domains[key.From], To: s.domains[key.To],
			})
		}
	}
	return changes
}

// Share returns the share of the calls of pair.From that goes to pair.To.
func (t *Table) Share(service string, key Pair) float64 {
	if s := t.services[service]; s != nil && s.pairs[key] != nil {
		return s.pairs[key].share
	}
	return 0
}

// Call gives the costs of placing one call.
type Call struct {
	price   float64
	from    string
	leaveTo string // The domain to which the call leaves by the shares; empty if it stays at home.
	pairs   map[Pair]*pair
}

// Call decides whether a call from a domain leaves it, by the shares. draw is a random number from 0 to 1.
func (t *Table) Call(now time.Time, serviceName, from string, draw float64) Call {
	c := Call{price: t.price, from: from}
	s := t.services[serviceName]
	if s == nil || now.Sub(s.updated) > maxAge {
		return c
	}
	c.pairs = s.pairs
	for _, to := range s.names {
		share := 0.0
		if p := s.pairs[Pair{from, to}]; p != nil {
			share = p.share
		}
		if draw < share {
			c.leaveTo = to
			break
		}
		draw -= share
	}
	return c
}

// Cost returns the cost in milliseconds of serving the call in the domain to, which is not its home. cached means that more of the
// call's prompt is cached there than at home.
func (c *Call) Cost(to string, cached bool) float64 {
	p, base := c.pairs[Pair{c.from, to}], min(c.price, baseCost)
	switch {
	case p == nil:
		return base
	case p.avoided && (!cached || p.reason == ReasonFailing):
		return base + avoidCost
	case cached, c.leaveTo == to:
		return base
	}
	return base + p.raise
}
