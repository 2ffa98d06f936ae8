package schedule

import "time"

// EngineUsage is the capacity of an engine that calls use.
type EngineUsage struct {
	Calls         int
	PendingTokens int // Prompt tokens that the engine has not prefilled yet.
}

// Add returns the sum.
func (u EngineUsage) Add(v EngineUsage) EngineUsage {
	return EngineUsage{u.Calls + v.Calls, u.PendingTokens + v.PendingTokens}
}

// Sub returns the difference.
func (u EngineUsage) Sub(v EngineUsage) EngineUsage {
	return EngineUsage{u.Calls - v.Calls, u.PendingTokens - v.PendingTokens}
}

// EngineLimits bounds the calls that an engine has at the same time. Further calls wait in a WaitQueue, where their order
// can still change.
type EngineLimits struct {
	CallsPerSlot  float64 // Limit on calls, as a multiple of the engine's slots.
	ExtraCalls    int     // Calls beyond that limit, which keep the engine busy until the end of a call is known.
	PendingTokens int     // Pending prompt tokens from which on no further call is sent.
}

// DefaultEngineLimits returns the limits in use.
func DefaultEngineLimits() EngineLimits {
	return EngineLimits{CallsPerSlot: 1.25, ExtraCalls: 1, PendingTokens: 8000}
}

// Allows reports whether an engine with the given usage and slots gets a further call. An idle engine always does.
func (l EngineLimits) Allows(used EngineUsage, slots int) bool {
	return used.Calls == 0 || float64(used.Calls) < float64(slots)*l.CallsPerSlot+float64(l.ExtraCalls) && used.PendingTokens < l.PendingTokens
}

// withoutRoom returns the limits for calls that get hardly any of the room beyond an engine's slots: what keeps the engine busy until
// the end of a call is known, and 100 ms of prefill, which is half of the strictest objective for the first event.
func (l EngineLimits) withoutRoom() EngineLimits {
	return EngineLimits{CallsPerSlot: min(l.CallsPerSlot, 1.05), ExtraCalls: l.ExtraCalls, PendingTokens: l.PendingTokens / 2}
}

// AdmissionInterval estimates how long calls wait in an engine's queue, from the intervals between admissions.
type AdmissionInterval struct {
	average       time.Duration // Average interval between two admissions while calls were waiting; 0 if unknown.
	lastAdmission time.Time     // Time of the last admission; zero if no call was waiting after it.
}

// intervalWeight is the weight of one interval in the moving average, which covers about the last ten admissions.
const intervalWeight = 0.1

// Admitted records an admission. waiting reports whether further calls are waiting.
func (a *AdmissionInterval) Admitted(now time.Time, waiting bool) {
	if !a.lastAdmission.IsZero() {
		interval := now.Sub(a.lastAdmission)
		if a.average == 0 {
			a.average = interval
		}
		a.average += time.Duration(intervalWeight * float64(interval-a.average))
	}
	a.lastAdmission = time.Time{}
	if waiting {
		a.lastAdmission = now
	}
}

// idle records that no call waits any longer although none was admitted: the time until the next admission says nothing about the
// engine.
func (a *AdmissionInterval) idle() { a.lastAdmission = time.Time{} }

// Wait returns the expected wait of a call with the given number of calls ahead of it, or 0 if it is unknown.
func (a *AdmissionInterval) Wait(ahead int) time.Duration { return time.Duration(ahead+1) * a.average }
