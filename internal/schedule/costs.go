package schedule

const (
	costSampleWeight = 1.0 / 32 // Weight of one program in the moving average of its class.
	minCostSamples   = 8        // Ended programs below which the factor of a class is 1.
	minCostFactor    = 0.25     // Bounds of the factor.
	maxCostFactor    = 4.0
)

// ClassCosts averages the tokens that ended programs of each class have used, so that under overload the programs whose
// refusal saves most are refused first. It holds a bounded number of classes; the factor of any other class is 1.
type ClassCosts struct {
	maxClasses int
	classes    map[string]*classCost
}

// classCost is the average cost of one class.
type classCost struct {
	priority int
	tokens   float64
	count    int
}

// NewClassCosts returns an empty ClassCosts for at most maximum classes.
func NewClassCosts(maximum int) *ClassCosts {
	return &ClassCosts{maxClasses: maximum, classes: make(map[string]*classCost)}
}

// Observe records the tokens that an ended program of the class has used.
func (c *ClassCosts) Observe(class string, priority int, attained uint64) {
	cost := c.classes[class]
	if cost == nil {
		if len(c.classes) >= c.maxClasses {
			return
		}
		cost = &classCost{tokens: float64(attained)}
		c.classes[class] = cost
	}
	cost.priority = priority
	cost.count++
	cost.tokens += (float64(attained) - cost.tokens) * max(costSampleWeight, 1/float64(cost.count))
}

// Factor returns the cost of a program of the class as a multiple of the average over programs of the same priority,
// within bounds. It returns 1 for a class with too few observations. Programs of other priorities do not count, so that
// cost never takes precedence over priority.
func (c *ClassCosts) Factor(class string) float64 {
	cost := c.classes[class]
	if cost == nil || cost.count < minCostSamples {
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
	return min(max(cost.tokens*float64(count)/tokens, minCostFactor), maxCostFactor)
}
