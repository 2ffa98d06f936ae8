// Package locality decides which part of a failure domain's calls are served in other failure domains.
//
// Calls stay in their own failure domain (home) while it has room. They leave it when the expected time saved exceeds the latency
// between the domains plus the price of the traffic, and only so many that both domains are equally full afterwards. Nothing in
// this package sends a message or reads a clock.
package locality

import "math"

// Pair is a direction of traffic between failure domains.
type Pair struct{ From, To string }

// Domain is what is known about one failure domain and a service.
type Domain struct {
	Name   string
	Slots  float64 // Calls that its usable servers run concurrently at the usual speed; 0 if it has no usable server.
	Calls  float64 // Calls in progress at its servers.
	Demand float64 // Calls of its own callers in progress, at the servers of any domain.
}

// fullness returns the share of the slots that calls would use.
func (d *Domain) fullness(calls float64) float64 {
	if d.Slots <= 0 {
		return math.Inf(1)
	}
	return calls / d.Slots
}

// Inputs is what the decision for one service depends on. Times are in milliseconds.
type Inputs struct {
	Service     string
	Domains     []Domain
	ServerSlots float64       // Slots of one server.
	CallTime    float64       // Time for which a call occupies a slot.
	CallDelay   float64       // Time that each concurrent call of a server adds to the others; 0 at plain services.
	Way         float64       // One-way latency between the domains.
	Price       float64       // Price of a call between the domains, as a delay.
	Failing     map[Pair]bool // Directions in which too many calls fail.
}

const (
	// maxMoves bounds the steps of Shares. Three domains whose loads differ by a factor of two take about 15.
	maxMoves = 64
	// moveShare is the part of what would make two domains equally full that one step moves, so that the third domain is
	// considered in between.
	moveShare = 0.25
	// minMove is the smallest step, as a share of the domain's demand.
	minMove = 0.01
	// stopFactor is the part of the latency and price that calls which already leave must still save. Without this hysteresis,
	// shares near the threshold begin and end with each variation of the demand.
	stopFactor = 0.5
	// noSlotsDelay is the delay in a domain without usable servers. It exceeds any other.
	noSlotsDelay = 1e9
	// fullerBy is the difference in fullness from which on a domain counts as fuller. Domains have about 70 slots of a plain
	// service, half of them used at random: their fullness varies by 0.08 without any difference in demand.
	fullerBy = 0.1
)

// Shares returns the shares of the domains' demand that should be served elsewhere. It depends on the demand, which does not
// depend on where calls are served, so several deciders with the same views come to the same shares. leaving reports whether
// calls leave in a direction already.
func Shares(in Inputs, leaving func(Pair) bool) map[Pair]float64 {
	plan := make([]planned, len(in.Domains))
	for i, d := range in.Domains {
		plan[i] = planned{load: d.Demand, stay: d.Demand}
	}
	shares := make(map[Pair]float64)
	for range maxMoves {
		from, to := in.bestMove(plan, leaving)
		if from < 0 {
			break
		}
		a, b := &in.Domains[from], &in.Domains[to]
		amount := moveShare * (plan[from].load*b.Slots - plan[to].load*a.Slots) / (a.Slots + b.Slots)
		if a.Slots <= 0 {
			amount = a.Demand / (maxMoves / 4)
		}
		amount = min(max(amount, a.Demand*minMove), plan[from].stay)
		plan[from].load, plan[from].stay = plan[from].load-amount, plan[from].stay-amount
		plan[to].load, plan[to].receives = plan[to].load+amount, true
		shares[Pair{a.Name, b.Name}] += amount / a.Demand
	}
	return shares
}

// planned is the state of a domain while Shares moves calls.
type planned struct {
	load     float64 // Calls at its servers.
	stay     float64 // Calls of its own callers that stay.
	receives bool
}

// bestMove returns the domains between which moving a call saves most, or -1 if no move saves more than it costs.
func (in *Inputs) bestMove(plan []planned, leaving func(Pair) bool) (from, to int) {
	from, to = -1, -1
	delays := make([]float64, len(in.Domains))
	for i := range in.Domains {
		delays[i] = in.delay(in.Domains[i].fullness(plan[i].load))
	}
	most := 0.0
	for i := range in.Domains {
		if plan[i].stay <= 0 || plan[i].receives {
			continue
		}
		for j := range in.Domains {
			if i == j || !in.mayLeave(i, j, plan) {
				continue
			}
			cost := 2*in.Way + in.Price
			if leaving(Pair{in.Domains[i].Name, in.Domains[j].Name}) {
				cost *= stopFactor
			}
			if saved := delays[i] - delays[j] - cost; saved > most {
				from, to, most = i, j, saved
			}
		}
	}
	return from, to
}

// mayLeave reports whether calls of domain i may be sent to domain j at all: never to a domain that is clearly fuller by the calls
// that its servers have. One that is fuller by the planned load has a longer delay. Domains that send get no calls: traffic in both directions gains nothing.
func (in *Inputs) mayLeave(i, j int, plan []planned) bool {
	a, b := &in.Domains[i], &in.Domains[j]
	return b.Slots > 0 && plan[j].stay == b.Demand && !in.Failing[Pair{a.Name, b.Name}] &&
		b.fullness(b.Calls) <= a.fullness(a.Calls)+fullerBy
}

// nearlyFull is the fullness above which delay is linear: the formula for the wait has a pole at 1.
const nearlyFull = 0.95

// delay returns the expected delay of a call by the others in a domain of the given fullness. The wait for a slot is Sakasegawa's
// approximation for servers with ServerSlots slots each: calls are not pooled over all servers of a domain, as placing is not perfect.
func (in *Inputs) delay(fullness float64) float64 {
	if math.IsInf(fullness, 1) {
		return noSlotsDelay
	}
	slots := max(in.ServerSlots, 1)
	exponent := math.Sqrt(2*(slots+1)) - 1
	u := min(fullness, nearlyFull)
	wait := math.Pow(u, exponent) / (slots * (1 - u))
	if fullness > nearlyFull {
		wait += (fullness - nearlyFull) * wait / (1 - u)
	}
	return in.CallDelay*slots*fullness + in.CallTime*wait
}
