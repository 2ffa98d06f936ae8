package schedule

// Place is what an entry knows of a backend server when it places a call.
type Place struct {
	Local         bool    // In the entry's failure domain.
	Slots         int     // Calls that the server runs at once.
	Calls         int     // Calls that it is believed to run or to queue.
	PendingTokens int     // Prompt tokens of those calls that it has still to read.
	CachedTokens  int     // Tokens of this call's prompt that it is believed to hold.
	Slowness      float64 // Its time for a call as a multiple of its peers'; 1 is usual.
	Suspended     bool    // Lately failed: used only when no other server is left.
}

// PlaceCosts weigh what a placement costs, in milliseconds.
type PlaceCosts struct {
	PrefillRate float64 // Prompt tokens that an engine reads in a millisecond.
	MissWeight  float64 // Cost of a millisecond of prefill: it delays the calls beside it as well.
	PerCall     float64 // Delay that each call beside it adds to a call.
	CallTime    float64 // Typical time for which a call occupies a slot.
	RemoteCost  float64 // Cost of a server in another failure domain.
	SuspectCost float64 // Cost of a server that lately failed.
}

// DefaultPlaceCosts returns the costs in force when the settings give none. The weight of a miss was measured: with less,
// sessions wander from engine to engine and read their prompts again; with twice as much they pile up.
func DefaultPlaceCosts() PlaceCosts {
	return PlaceCosts{
		PrefillRate: 40,
		MissWeight:  3,
		PerCall:     4,
		CallTime:    250,
		RemoteCost:  1.5,
		SuspectCost: 5000,
	}
}

// BestEngine returns the position of the engine on which a call with a prompt of the given size costs least, or -1. It
// weighs the prompt tokens that an engine need not read again against the calls beside which the call would run. It
// answers bursts: beyond its slots an engine costs the time until one is free.
//
// current says that Calls and PendingTokens are those of this moment. Where they are older, only a few engines drawn by lot
// are compared: if all entries compared all engines by the same old loads, they would send to the same one.
func (c PlaceCosts) BestEngine(places []Place, promptTokens int, current bool, random Random) int {
	candidates := allPositions(places)
	if !current {
		candidates = engineCandidates(places, random)
	}
	return c.best(places, candidates, random, func(p *Place) float64 {
		missing := max(promptTokens-p.CachedTokens, 0)
		cost := float64(missing) / c.PrefillRate * c.MissWeight
		cost += float64(p.PendingTokens) / c.PrefillRate
		return cost + c.occupancy(p)*max(p.Slowness, 1)
	})
}

// BestService returns the position of the plain server on which a call costs least, or -1.
func (c PlaceCosts) BestService(places []Place, random Random) int {
	return c.best(places, allPositions(places), random, func(p *Place) float64 {
		return (1 + float64(p.Calls)) / float64(max(p.Slots, 1)) * c.CallTime * max(p.Slowness, 0.1)
	})
}

// occupancy is the cost of the calls beside which the call would run, and of waiting for a slot.
func (c PlaceCosts) occupancy(p *Place) float64 {
	cost := float64(min(p.Calls, p.Slots)) * c.PerCall
	if over := p.Calls + 1 - p.Slots; over > 0 {
		cost += c.CallTime * float64(over) / float64(max(p.Slots, 1))
	}
	return cost
}

// best returns the position of the lowest cost; equal costs are drawn by lot.
func (c PlaceCosts) best(places []Place, candidates []int, random Random, cost func(*Place) float64) int {
	best, lowest, ties := -1, 0.0, 0
	for _, i := range candidates {
		p := &places[i]
		total := cost(p)
		if !p.Local {
			total += c.RemoteCost
		}
		if p.Suspended {
			total += c.SuspectCost
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

// randomChoices is the number of servers drawn by lot from each group.
const randomChoices = 2

// engineCandidates returns the positions that are compared: some of the servers that hold most of the prompt, and some of
// all.
func engineCandidates(places []Place, random Random) []int {
	most := 0
	for i := range places {
		if !places[i].Suspended {
			most = max(most, places[i].CachedTokens)
		}
	}
	var holders []int
	for i := range places {
		if most > 0 && places[i].CachedTokens == most {
			holders = append(holders, i)
		}
	}
	all := allPositions(places)
	return append(draw(holders, randomChoices, random), draw(all, randomChoices, random)...)
}

// draw returns n of the positions by lot, or all. It reorders the slice.
func draw(positions []int, n int, random Random) []int {
	n = min(n, len(positions))
	for i := range n {
		j := i + random.IntN(len(positions)-i)
		positions[i], positions[j] = positions[j], positions[i]
	}
	return positions[:n]
}

func allPositions(places []Place) []int {
	positions := make([]int, len(places))
	for i := range positions {
		positions[i] = i
	}
	return positions
}
