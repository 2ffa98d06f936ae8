package schedule

import "time"

// forecastShares is the number of equally likely values that describe a distribution of pauses.
const forecastShares = 20

// PauseForecast describes the distribution of a pause by equally likely values in ascending order.
type PauseForecast [forecastShares]time.Duration

// HoldAction is what happens to a program's prefix during a pause.
type HoldAction int

// Actions on a prefix.
const (
	ActionRelease HoldAction = iota // Give the memory back now; the prefix is computed again.
	ActionHold                      // Keep the prefix in the engine's memory for the hold time.
	ActionExport                    // Copy the prefix out now, give the memory back, and import it at the next call.
)

// String returns the action's name.
func (a HoldAction) String() string {
	switch a {
	case ActionHold:
		return "hold"
	case ActionExport:
		return "export"
	default:
		return "release"
	}
}

// HoldSettings tune the decision about prefixes.
type HoldSettings struct {
	// BreakEven is the time for which holding a prefix in a half full cache costs as much as computing it again.
	BreakEven time.Duration
	MaxHold   time.Duration
}

// DefaultHoldSettings returns the settings in force when the operators give none.
func DefaultHoldSettings() HoldSettings {
	return HoldSettings{BreakEven: 30 * time.Second, MaxHold: 5 * time.Minute}
}

// HoldInput describes a program that begins a pause.
type HoldInput struct {
	Tokens        int           // Of the prefix.
	PrefillRate   float64       // Tokens per second.
	ExportTime    time.Duration // To export and import the prefix; 0 if the engine cannot.
	CacheUsed     int           // Tokens.
	CacheCapacity int           // Tokens.
	Pause         PauseForecast
}

// HoldDecision is an action with the time for which it holds.
type HoldDecision struct {
	Action HoldAction
	Hold   time.Duration // Of ActionHold: when it lapses, the prefix is released.
}

// Decide returns the cheapest action on the prefix: hold it for some time, export it, or release it.
//
// Costs are in seconds of the engine. Computing again costs the prefill of the prefix; exporting costs its transfer;
// holding costs the expected time of holding at a price that rises with the share of the cache in use.
func (s HoldSettings) Decide(in HoldInput) HoldDecision {
	if in.Tokens <= 0 || in.PrefillRate <= 0 {
		return HoldDecision{Action: ActionRelease}
	}
	recompute := float64(in.Tokens) / in.PrefillRate
	price := s.price(recompute, in)
	best := HoldDecision{Action: ActionRelease}
	lowest := recompute
	if in.ExportTime > 0 && in.ExportTime.Seconds() < lowest {
		best = HoldDecision{Action: ActionExport}
		lowest = in.ExportTime.Seconds()
	}
	for i := range in.Pause {
		hold := min(in.Pause[i]+holdMargin(in.Pause[i]), s.MaxHold)
		cost := in.Pause.holdCost(hold, price, recompute)
		if cost < lowest {
			best = HoldDecision{Action: ActionHold, Hold: hold}
			lowest = cost
		}
	}
	return best
}

// price returns the cost of holding the prefix for a second.
func (s HoldSettings) price(recompute float64, in HoldInput) float64 {
	if in.CacheCapacity <= 0 {
		return recompute / s.BreakEven.Seconds()
	}
	used := min(float64(in.CacheUsed)/float64(in.CacheCapacity), 1)
	return recompute / s.BreakEven.Seconds() * pressure(used)
}

// pressure returns the factor on the price of memory: 1 in a half full cache, 0 in an empty one, rising steeply as the
// cache fills up.
func pressure(used float64) float64 {
	const nearlyFull = 0.98
	used = min(used, nearlyFull)
	return used / (1 - used)
}

// holdMargin is added to a pause so that a hold does not lapse just before the next call.
func holdMargin(pause time.Duration) time.Duration { return pause / 4 }

// holdCost returns the expected cost of holding for a time and computing the prefix again when the pause is longer.
func (f *PauseForecast) holdCost(hold time.Duration, price, recompute float64) float64 {
	total := 0.0
	for _, pause := range f {
		if pause <= hold {
			total += price * pause.Seconds()
			continue
		}
		total += price*hold.Seconds() + recompute
	}
	return total / forecastShares
}
