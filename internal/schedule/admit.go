package schedule

import "time"

// Capacity is the capacity of a backend server, from which its sidecar estimates waits.
type Capacity struct {
	Slots       int
	Running     int
	PrefillRate float64       // Tokens per second.
	CallTime    time.Duration // Typical time for which a call occupies a slot.
}

// EstimateWait returns the expected wait of a new item behind the queued items of the same or a higher priority.
func (q *Queue) EstimateWait(priority int, c Capacity) time.Duration {
	ahead := q.counts.atLeast(priority)
	prefill := 0.0
	if c.PrefillRate > 0 {
		prefill = float64(ahead.tokens) / c.PrefillRate
	}
	over := ahead.calls + c.Running + 1 - c.Slots
	if over <= 0 || c.Slots <= 0 {
		return seconds(prefill)
	}
	slot := c.CallTime.Seconds() * float64(over) / float64(c.Slots)
	return seconds(max(prefill, slot))
}

// Admission limits the estimated wait up to which calls are admitted.
type Admission struct {
	MaxWaitNew      time.Duration // Limit for the first call of a program.
	MaxWaitUnderway time.Duration // Limit for a program that has already used capacity.
	PriorityFactor  float64       // Factor by which the limit is multiplied for each step of priority.
}

// DefaultAdmission returns the settings that apply unless the operators configure others.
func DefaultAdmission() Admission {
	return Admission{
		MaxWaitNew:      5 * time.Second,
		MaxWaitUnderway: 30 * time.Second,
		PriorityFactor:  1,
	}
}

// Admit reports whether a call with the estimated wait is admitted. Programs under way have a higher limit than new ones,
// because refusing them wastes the work that they have done.
func (a Admission) Admit(priority int, attained uint64, wait time.Duration) bool {
	return wait <= a.limit(priority, attained)
}

// AdmitCost is like Admit for a program whose expected cost is the given multiple of the average. A new program that costs
// more is admitted only at a shorter wait; programs under way are admitted regardless of their cost.
func (a Admission) AdmitCost(priority int, attained uint64, wait time.Duration, factor float64) bool {
	if attained > 0 {
		return a.Admit(priority, attained, wait)
	}
	return a.Admit(priority, 0, seconds(wait.Seconds()*factor))
}

// limit returns the longest estimated wait at which a call is admitted.
func (a Admission) limit(priority int, attained uint64) time.Duration {
	limit := a.MaxWaitNew
	if attained > 0 {
		limit = a.MaxWaitUnderway
	}
	factor := 1.0
	for range min(max(priority, 0), maxPrioritySteps) {
		factor *= a.PriorityFactor
	}
	return seconds(limit.Seconds() * factor)
}

// maxPrioritySteps bounds the number of priority steps that scale an admission limit.
const maxPrioritySteps = 8
