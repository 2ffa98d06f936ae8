package schedule

// Levels of urgency that engines know: 0 is served first.
const (
	firstUrgency = 2 // Of the operators' highest priority.
	maxPriority  = 5 // Lower priorities count as this one.
)

// Urgency returns the level at which an engine serves a call of a route with the operators' priority (0: the highest).
//
// Programs that can no longer finish in time keep their level. When they yield to others, they wait at the engines until
// their callers' time is up and come again, and an engine that is full after an outage does not recover.
func Urgency(priority int) int { return firstUrgency + min(max(priority, 0), maxPriority) }
