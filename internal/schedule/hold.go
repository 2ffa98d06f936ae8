package schedule

import "time"

// forecastQuantiles is the number of quantiles in a PauseForecast.
const forecastQuantiles = 20

// PauseForecast approximates the distribution of a pause by equally likely values in ascending order.
type PauseForecast [forecastQuantiles]time.Duration

// HoldAction is what an engine does with a program's cached prefix during a pause.
type HoldAction int

// Actions on a cached prefix.
const (
	ActionRelease HoldAction = iota // Free the memory now; the next call computes the prefix again.
	ActionHold                      // Keep the prefix in the engine's memory for the hold time.
	ActionExport                    // Copy the prefix out, free the memory, and import the prefix at the next call.
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

// HoldSettings configure the decision about cached prefixes.
type HoldSettings struct {
	// BreakEven is the hold time at which, in a half-full cache, holding a prefix costs as much as computing it again.
	BreakEven time.Duration
	MaxHold   time.Duration
}

// DefaultHoldSettings returns the settings that apply unless the operators configure others.
func DefaultHoldSettings() HoldSettings {
	return HoldSettings{BreakEven: 30 * time.Second, MaxHold: 5 * time.Minute}
}

// HoldInput describes a program at the start of a pause.
type HoldInput struct {
	Tokens        int           // Length of the prefix.
	PrefillRate   float64       // Tokens per second.
	ExportTime    time.Duration // Time to export and import the prefix; 0 if the engine does not support that.
	CacheUsed     int           // Tokens.
	CacheCapacity int           // Tokens.
	Pause         PauseForecast
}

// HoldDecision is the chosen action.
type HoldDecision struct {
	Action HoldAction
	Hold   time.Duration // Hold time of ActionHold, after which the prefix is released.
}

// Decide returns the action with the lowest expected cost: hold the prefix for some time, export it, or release it.
//
// Costs are in seconds of engine time. Releasing costs the prefill of the prefix, and exporting costs its transfer. Holding
// costs the expected hold time at a price that rises with the share of the cache that is in use.
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

// price returns the cost of holding the prefix for one second.
func (s HoldSettings) price(recompute float64, in HoldInput) float64 {
	if in.CacheCapacity <= 0 {
		return recompute / s.BreakEven.Seconds()
	}
	used := min(float64(in.CacheUsed)/float64(in.CacheCapacity), 1)
	return recompute / s.BreakEven.Seconds() * cachePressure(used)
}

// cachePressure returns the factor on the price of cache memory: 0 for an empty cache, 1 for a half-full one, rising
// steeply as the cache fills up.
func cachePressure(used float64) float64 {
	const nearlyFull = 0.98
	used = min(used, nearlyFull)
	return used / (1 - used)
}

// holdMargin returns the time that is added to a pause so that a hold does not expire just before the next call.
func holdMargin(pause time.Duration) time.Duration { return pause / 4 }

// holdCost returns the expected cost of holding the prefix for the given time and of computing it again if the pause is
// longer.
func (f *PauseForecast) holdCost(hold time.Duration, price, recompute float64) float64 {
	total := 0.0
	for _, pause := range f {
		if pause <= hold {
			total += price * pause.Seconds()
			continue
		}
		total += price*hold.Seconds() + recompute
	}
	return total / forecastQuantiles
}
