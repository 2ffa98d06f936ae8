package schedule

import "time"

// PlacementCandidate is the state of a backend server as known when a call is placed.
type PlacementCandidate struct {
	Local         bool          // In the failure domain of the process that serves the caller.
	Slots         int           // Calls that the server runs concurrently.
	Calls         int           // Calls believed to be running or queued at the server.
	PendingTokens int           // Prompt tokens of those calls that are not prefilled yet.
	CachedTokens  int           // Tokens of the prompt that the server is believed to have cached.
	SharedTokens  int           // Of the others, those that so many calls share that more than one server should have them cached.
	Slowness      float64       // Duration of a call as a multiple of that on other servers; 1 is normal, 0 unknown.
	Suspended     bool          // Failed recently: used only if no other server is left.
	DomainCost    float64       // Cost of a server in another failure domain in milliseconds; 0: that of PlacementCosts applies.
	Connected     bool          // The process has an idle connection to the server that may carry the call.
	RequestBytes  int64         // Bytes of large requests believed to be in flight to the server.
	LimitWait     time.Duration // Time until the server may get the call under the limit that it has named.

	// Learned speeds of the server; 0 if unknown. They matter only where the candidates differ: see speeds.go.
	PrefillRate float64 // Prompt tokens prefilled per millisecond.
	OutputTime  float64 // Milliseconds of an output token, under the usual load.
	CallTime    float64 // Milliseconds for which a call occupies a slot.
}

// PlacementCosts are the weights of the cost of a placement, which is in milliseconds.
type PlacementCosts struct {
	PrefillRate   float64 // Prompt tokens that an engine prefills per millisecond.
	MissWeight    float64 // Cost of a millisecond of prefill, which also delays the concurrent calls.
	SharedWeight  float64 // The same for SharedTokens, which are prefilled once for many calls.
	PerCallDelay  float64 // Delay that each concurrent call adds.
	CallTime      float64 // Typical time for which a call occupies a slot.
	RemoteCost    float64 // Cost of a server in another failure domain, unless the candidate names another.
	SuspendedCost float64 // Cost of a suspended server.
	ConnectCost   float64 // Cost of opening a connection to a server of a plain service.
	OutputWeight  float64 // Cost of a millisecond by which the output of an urgent turn takes longer than at a usual engine.
	WaitWeight    float64 // Cost of a millisecond of waiting for a slot where engines are of unequal speed. It delays the first event.
}

// DefaultPlacementCosts returns the costs that apply unless the settings give others. With a lower MissWeight, sessions
// move from engine to engine and their prompts are prefilled again; with twice this MissWeight, they pile up on few engines.
// ConnectCost is that of about one and a half calls at a server with six slots. With a higher OutputWeight, or a WaitWeight of 1,
// fewer programs are late at engines of three speeds, but more first events come after 200 ms.
func DefaultPlacementCosts() PlacementCosts {
	return PlacementCosts{
		PrefillRate:   40,
		MissWeight:    3,
		SharedWeight:  0.5,
		PerCallDelay:  4,
		CallTime:      250,
		RemoteCost:    1.5,
		SuspendedCost: 5000,
		ConnectCost:   60,
		OutputWeight:  0.2,
		WaitWeight:    1.2,
	}
}

// BestEngine returns the index of the engine on which a call with the given number of prompt tokens costs least, or -1 if
// there is no candidate. It weighs the cached prompt tokens against the calls that would run concurrently. In bursts, an
// engine without a free slot also costs the expected time until a slot is free.
//
// current reports whether Calls and PendingTokens are up to date. If they are not, only a few randomly sampled engines are
// compared: if all processes compared all engines by the same stale loads, they would all choose the same one.
func (c PlacementCosts) BestEngine(candidates []PlacementCandidate, promptTokens int, current bool, random Random) int {
	return c.BestEngineForTurn(candidates, Turn{PromptTokens: promptTokens}, current, random)
}

// bestEqualEngine is BestEngine among the positions, for engines of the same speed.
func (c PlacementCosts) bestEqualEngine(candidates []PlacementCandidate, positions []int, promptTokens int, random Random) int {
	return c.lowestCost(candidates, positions, random, func(p *PlacementCandidate) float64 {
		return c.engineCost(p, promptTokens, c.PrefillRate, max(p.Slowness, 1))
	})
}

// engineCost returns the cost of a turn at an engine with the rate of prefill, whose calls take slowness times as long as usual.
func (c PlacementCosts) engineCost(p *PlacementCandidate, promptTokens int, rate, slowness float64) float64 {
	missing := max(promptTokens-p.CachedTokens, 0)
	shared := min(p.SharedTokens, missing)
	cost := float64(missing-shared)/rate*c.MissWeight + float64(shared)/rate*c.SharedWeight
	cost += float64(p.PendingTokens) / rate
	return cost + c.occupancyCost(p)*slowness
}

// minSlowness bounds how much a server is preferred because its calls were short.
const minSlowness = 0.1

// BestService returns the index of the plain service's server on which a call costs least, or -1 if there is no candidate.
//
// It answers the load of a large deployment, in which a process has few calls and many servers to choose from: chosen by load
// alone, hardly two calls in a row go to the same server, and each opens a connection. By its connections a process stays with a
// few servers while they are not busier than others, and uses more of them as its own load grows.
func (c PlacementCosts) BestService(candidates []PlacementCandidate, random Random) int {
	usual, unequal := typical(candidates, func(p *PlacementCandidate) float64 { return p.CallTime })
	return c.lowestCost(candidates, allPositions(candidates), random, func(p *PlacementCandidate) float64 {
		slowness := p.Slowness
		if slowness == 0 {
			slowness = 1
		}
		if unequal && p.CallTime > 0 && p.CallTime != usual {
			slowness = knownSlowness(p, usual)
		}
		cost := (1 + float64(p.Calls)) / float64(max(p.Slots, 1)) * c.CallTime * max(slowness, minSlowness)
		if !p.Connected {
			cost += c.ConnectCost
		}
		return cost
	})
}

// occupancyCost returns the cost of the concurrent calls and of waiting for a slot.
func (c PlacementCosts) occupancyCost(p *PlacementCandidate) float64 {
	cost := float64(min(p.Calls, p.Slots)) * c.PerCallDelay
	if over := p.Calls + 1 - p.Slots; over > 0 {
		cost += c.CallTime * float64(over) / float64(max(p.Slots, 1))
	}
	return cost
}

// lowestCost returns the index of the candidate with the lowest cost among the positions, or -1. Ties are broken at random.
func (c PlacementCosts) lowestCost(candidates []PlacementCandidate, positions []int, random Random, cost func(*PlacementCandidate) float64) int {
	best, lowest, ties := -1, 0.0, 0
	for _, i := range positions {
		p := &candidates[i]
		total := cost(p) + float64(p.LimitWait)/float64(time.Millisecond)
		switch {
		case p.Local:
		case p.DomainCost > 0:
			total += p.DomainCost
		default:
			total += c.RemoteCost
		}
		if p.Suspended {
			total += c.SuspendedCost
		}
		switch {
		case best < 0 || total < lowest:
			best, lowest, ties = i, total, 1
		case total == lowest:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// samplesPerGroup is the number of servers that are sampled from each group.
const samplesPerGroup = 2

// sampleEngines returns the positions to compare: random samples of the engines with the longest cached prefix and of all
// engines.
func sampleEngines(candidates []PlacementCandidate, random Random) []int {
	longest := 0
	for i := range candidates {
		if !candidates[i].Suspended {
			longest = max(longest, candidates[i].CachedTokens)
		}
	}
	var cached []int
	for i := range candidates {
		if longest > 0 && candidates[i].CachedTokens == longest {
			cached = append(cached, i)
		}
	}
	all := allPositions(candidates)
	return append(sample(cached, samplesPerGroup, random), sample(all, samplesPerGroup, random)...)
}

// sample returns n random positions, or all if there are fewer. It reorders the slice.
func sample(positions []int, n int, random Random) []int {
	n = min(n, len(positions))
	for i := range n {
		j := i + random.IntN(len(positions)-i)
		positions[i], positions[j] = positions[j], positions[i]
	}
	return positions[:n]
}

func allPositions(candidates []PlacementCandidate) []int {
	positions := make([]int, len(candidates))
	for i := range positions {
		positions[i] = i
	}
	return positions
}
