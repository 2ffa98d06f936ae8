package schedule

import (
	"slices"
	"time"
)

// Turn is what the placement of a turn at engines of unequal speed depends on.
type Turn struct {
	PromptTokens int
	OutputTokens int     // Expected output tokens; 0 if unknown.
	Urgency      float64 // From MinUrgency, for a turn that can wait, to 1, for one that is due.
}

const (
	// MinUrgency is the urgency of turns that can wait. It is above 0, so that these also use fast engines while those are idle.
	MinUrgency = 0.15
	// UnknownUrgency is the urgency of turns of which it is not known how much time their program has or needs.
	UnknownUrgency = 0.5
	// A turn is due if its program has less than dueRatio of the time that it is expected to need, and can wait if it has more
	// than waitRatio of it.
	dueRatio  = 1.2
	waitRatio = 3.0
)

// Urgency returns the urgency of a turn whose program should be finished within left and is expected to need the given time at
// engines of usual speed; 0 stands for unknown. overdue reports that the time in which it should have finished has passed: then
// it gains least from a fast engine.
func Urgency(left, need time.Duration, overdue bool) float64 {
	switch {
	case overdue:
		return MinUrgency
	case left <= 0 || need <= 0:
		return UnknownUrgency
	}
	ratio := float64(left) / float64(need)
	return min(max(MinUrgency+(1-MinUrgency)*(waitRatio-ratio)/(waitRatio-dueRatio), MinUrgency), 1)
}

// BestEngineForTurn returns the index of the engine at which the turn is expected to finish at the least cost, or -1 if there is
// no candidate. Where the engines are of the same speed, or their speeds are unknown, it chooses by the constants, as BestEngine
// describes.
//
// It answers the load of a deployment with engines of 0.6, 1.0 and 1.6 times the usual speed. The cost has the wait for a slot, the
// concurrent calls, the prefill of what is not cached and the output, all at the speed of the engine. Output weighs by the urgency of
// the turn: turns that can wait leave the fast engines to those that are due. The wait for a slot of a full fast engine can be shorter
// than what its output saves over an idle slow one. Prefill counts relative to that of a usual engine: measured rates contain the fixed
// time to the first event, and with them sessions pile up at the engines that have their prompts.
func (c PlacementCosts) BestEngineForTurn(candidates []PlacementCandidate, turn Turn, current bool, random Random) int {
	positions := allPositions(candidates)
	if !current {
		positions = sampleEngines(candidates, random)
	}
	usualOutput, unequalOutput := typical(candidates, func(p *PlacementCandidate) float64 { return p.OutputTime })
	usualRate, unequalRate := typical(candidates, func(p *PlacementCandidate) float64 { return p.PrefillRate })
	if !unequalOutput && !unequalRate {
		return c.bestEqualEngine(candidates, positions, turn.PromptTokens, random)
	}
	return c.lowestCost(candidates, positions, random, func(p *PlacementCandidate) float64 {
		rate, slowness, output := c.PrefillRate, max(p.Slowness, 1), 0.0
		if p.PrefillRate > 0 {
			rate *= p.PrefillRate / usualRate
		}
		if p.OutputTime > 0 {
			slowness = p.OutputTime / usualOutput
			output = float64(turn.OutputTokens) * (p.OutputTime - usualOutput)
		}
		cost := c.engineCost(p, turn.PromptTokens, rate, slowness) + output*c.OutputWeight*turn.Urgency
		if over := p.Calls + 1 - p.Slots; over > 0 { // The wait for a slot is known better and weighs more than engineCost takes it for.
			usual := c.CallTime * slowness
			cost += (max(p.CallTime, usual)*c.WaitWeight - usual) * float64(over) / float64(max(p.Slots, 1))
		}
		return cost
	})
}

// knownSlowness returns the time of a call at a server that is not of usual speed as a multiple of the usual one. What all gateways learned of the server counts unless
// this process's own recent calls took longer.
func knownSlowness(p *PlacementCandidate, usual float64) float64 {
	return max(p.CallTime/usual, p.Slowness)
}

// typical returns the median of the known (positive) values of the candidates, and whether they differ. The median is that of a
// usual server also if a few others are much slower.
func typical(candidates []PlacementCandidate, value func(*PlacementCandidate) float64) (median float64, unequal bool) {
	var buffer [128]float64
	known := buffer[:0]
	for i := range candidates {
		if v := value(&candidates[i]); v > 0 {
			known = append(known, v)
			unequal = unequal || v != known[0]
		}
	}
	if len(known) == 0 {
		return 0, false
	}
	if unequal {
		slices.Sort(known)
	}
	return known[(len(known)-1)/2], unequal
}
