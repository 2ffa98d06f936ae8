package entry

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// maxCostClasses is the number of program classes for which an entry keeps the typical cost.
const maxCostClasses = 256

// classCosts tracks the tokens that ended programs of each class used. Under overload, sidecars can then refuse first the
// calls whose refusal saves most.
type classCosts struct {
	mu    sync.Mutex // Guards costs.
	costs *schedule.ClassCosts
}

func newClassCosts() *classCosts {
	return &classCosts{costs: schedule.NewClassCosts(maxCostClasses)}
}

// observe records the tokens that an ended program and its sub-agents used.
func (c *classCosts) observe(class string, priority, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.costs.Observe(class, priority, uint64(tokens))
}

// factor returns the typical cost of programs of the class, as a multiple of the cost of programs of the same priority.
func (c *classCosts) factor(class string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.costs.Factor(class)
}
