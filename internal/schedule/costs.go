package schedule

const (
	costWeight       = 1.0 / 32 // Weight of one program in its class's average.
	costMinimumCount = 8        // Ended programs below which a class has no factor.
	costLowest       = 0.25     // Bounds of a factor.
	costHighest      = 4.0
)

// ClassCosts observes how many tokens the ended programs of each class had used, so that overload refuses the programs
// first whose refusal saves most. It keeps a bounded number of classes; further ones have no factor.
type ClassCosts struct {
	max     int
	classes map[string]*classCost
}

// classCost is the average of one class.
type classCost struct {
	priority int
	tokens   float64
	count    int
}

// NewClassCosts returns costs of at most maximum classes.
func NewClassCosts(maximum int) *ClassCosts {
	return &ClassCosts{max: maximum, classes: make(map[string]*classCost)}
}

// Observe records the tokens that an ended program of the class had used.
func (c *ClassCosts) Observe(class string, priority int, attained uint64) {
	cost := c.classes[class]
	if cost == nil {
		if len(c.classes) >= c.max {
			return
		}
		cost = &classCost{tokens: float64(attained)}
		c.classes[class] = cost
	}
	cost.priority = priority
	cost.count++
	cost.tokens += (float64(attained) - cost.tokens) * max(costWeight, 1/float64(cost.count))
}

// Factor returns the cost of a program of the class as a multiple of the average program of the same priority, within
// bounds. It is 1 for a class of which too little is known. Programs of other priorities do not count, so that cost
// never goes before priority.
func (c *ClassCosts) Factor(class string) float64 {
	cost := c.classes[class]
	if cost == nil || cost.count < costMinimumCount {
		return 1
	}
	tokens, count := 0.0, 0
	for _, other := range c.classes {
		if other.priority == cost.priority {
			tokens += other.tokens * float64(other.count)
			count += other.count
		}
	}
	if tokens == 0 {
		return 1
	}
	return min(max(cost.tokens*float64(count)/tokens, costLowest), costHighest)
}
