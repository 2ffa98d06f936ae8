package schedule

import "time"

// Capacity is what a sidecar knows of its backend server when it estimates a wait.
type Capacity struct {
	Slots       int
	Running     int
	PrefillRate float64       // Tokens per second.
	CallTime    time.Duration // Typical time that a call occupies a slot.
}

// EstimateWait returns the expected wait of an item in front of the queue's items of lower priority.
func (q *Queue) EstimateWait(priority int, c Capacity) time.Duration {
	ahead := q.levels.atLeast(priority)
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

// Admission limits the estimated wait at which calls are still taken.
type Admission struct {
	MaxWaitNew      time.Duration // Limit for the first call of a program.
	MaxWaitUnderway time.Duration // Limit for a program that has already used capacity.
	PriorityFactor  float64       // Factor on the limit for each step of priority.
}

// DefaultAdmission returns the settings in force when the operators give none.
func DefaultAdmission() Admission {
	return Admission{
		MaxWaitNew:      5 * time.Second,
		MaxWaitUnderway: 30 * time.Second,
		PriorityFactor:  1,
	}
}

// Admit reports whether a call with the estimated wait is taken. Programs under way keep a higher limit than new ones:
// refusing them wastes the work they have done.
func (a Admission) Admit(priority int, attained uint64, wait time.Duration) bool {
	return wait <= a.limit(priority, attained)
}

// AdmitCost does what Admit does for a program whose cost is a multiple of the average: a new program that costs more is
// taken only at a shorter wait.
func (a Admission) AdmitCost(priority int, attained uint64, wait time.Duration, factor float64) bool {
	if attained > 0 {
		return a.Admit(priority, attained, wait)
	}
	return a.Admit(priority, 0, seconds(wait.Seconds()*factor))
}

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

// maxPrioritySteps bounds the steps of priority that raise an admission limit.
const maxPrioritySteps = 8
