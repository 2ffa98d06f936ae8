package schedule

import (
	"math"
	"slices"
)

// minPriority is not higher than any priority, so that atLeast(minPriority) covers all calls.
const minPriority = math.MinInt

// priorityCount holds the number of queued calls of one priority and the sum of their prompt tokens.
type priorityCount struct {
	priority int
	calls    int
	tokens   int
}

// priorityCounts is sorted by priority in ascending order. It is a slice because operators configure few priorities.
type priorityCounts []priorityCount

// add adjusts the counts of a priority and removes the priority when no call is left.
func (c *priorityCounts) add(priority, calls, tokens int) {
	i, found := slices.BinarySearchFunc(*c, priority, func(a priorityCount, p int) int { return a.priority - p })
	if !found {
		*c = slices.Insert(*c, i, priorityCount{priority: priority})
	}
	count := &(*c)[i]
	count.calls += calls
	count.tokens += tokens
	if count.calls == 0 {
		*c = slices.Delete(*c, i, i+1)
	}
}

// atLeast returns the totals of all priorities that are equal to or higher than the given one.
func (c priorityCounts) atLeast(priority int) priorityCount {
	sum := priorityCount{priority: priority}
	for i := len(c) - 1; i >= 0 && c[i].priority >= priority; i-- {
		sum.calls += c[i].calls
		sum.tokens += c[i].tokens
	}
	return sum
}
