package schedule

import "time"

// Levels of urgency that engines know: 0 is served first.
const (
	firstUrgency = 2 // Of the operators' highest priority.
	lateUrgency  = 8 // Of programs that can no longer finish in time.
	maxPriority  = 5 // Lower priorities count as this one.
)

// Urgency returns the level at which an engine serves a call. A program that can no longer finish in time yields to those
// that can: in a burst, programs that share the engines evenly would all be late.
func Urgency(priority int, inProgram bool, finishIn time.Duration) int {
	if inProgram && finishIn <= 0 {
		return lateUrgency
	}
	return firstUrgency + min(max(priority, 0), maxPriority)
}
