package schedule

import (
	"math"
	"slices"
)

const minPriority = math.MinInt

// level counts the queued calls of one priority.
type level struct {
	priority int
	calls    int
	tokens   int
}

// levels counts queued calls per priority, in ascending order. Operators use few priorities.
type levels []level

// add changes the counts of a priority and forgets it when no call is left.
func (l *levels) add(priority, calls, tokens int) {
	i, found := slices.BinarySearchFunc(*l, priority, func(a level, p int) int { return a.priority - p })
	if !found {
		*l = slices.Insert(*l, i, level{priority: priority})
	}
	at := &(*l)[i]
	at.calls += calls
	at.tokens += tokens
	if at.calls == 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// atLeast returns the counts of all priorities from the given one upwards.
func (l levels) atLeast(priority int) level {
	sum := level{priority: priority}
	for i := len(l) - 1; i >= 0 && l[i].priority >= priority; i-- {
		sum.calls += l[i].calls
		sum.tokens += l[i].tokens
	}
	return sum
}
